"""Sends a request to an upstream once and waits for its answer."""

from __future__ import annotations

import asyncio
import contextlib
import functools

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import RouteKind, Upstream
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.jobs import (
    COMPLETE,
    INTERRUPTED,
    AttemptOutcome,
    Job,
    RunReport,
)

from .client import ClientConnection
from .connections import ConnectionPool
from .dialect import HeaderCodec, ResponseInfo, UpstreamRequestInfo
from .errors import (
    BackoffError,
    NoPathError,
    NotSentError,
)
from .guard import Guard
from .longest_runs import LongestRuns
from .messages import encode_head
from .relay import Relay
from .request_context import RequestContext
from .request_log import RequestLog
from .retry_policy import SAFE_TO_RESEND, RetryPolicy
from .scheduling import Scheduler
from .stopping import StopGuard
from .stream_versions import StreamVersions
from .unread_sends import SendPath
from .upstream_status import UpstreamStatusReader

# A kept connection may have died unnoticed. Repeatable requests use any kept
# connection; others use only one that was in use a moment ago. In seconds.
_MAX_IDLE_REPEATABLE_S = 10.0
_MAX_IDLE_NON_REPEATABLE_S = 1.0
# An answer that has not begun after this fraction of the route's objective is
# treated as lost, so that another upstream can still meet the objective. The
# timeout is extended by the time that a slow engine with queued requests needs
# for each token of the prompt.
_SILENCE_FRACTION = 0.65
_PREFILL_S_PER_TOKEN = 0.00006


class Sender:
    """Sends the requests of one instance to upstreams."""

    def __init__(
        self,
        gate: AdmissionGate,
        scheduler: Scheduler,
        conns: ConnectionPool,
        codec: HeaderCodec,
        log: RequestLog,
        guard: Guard,
        versions: StreamVersions,
    ) -> None:
        """Send requests over connections of this pool."""
        self._versions = versions
        self._guard = guard
        self._gate = gate
        self._scheduler = scheduler
        self._conns = conns
        self._unread = conns.unread
        self._codec = codec
        self._log = log
        self._runs = LongestRuns()
        self.stopping = StopGuard(self._runs)
        self.retries = RetryPolicy(
            gate, scheduler, log, conns.unread, self.stopping
        )
        self._status = UpstreamStatusReader(scheduler, conns, log)
        self.backoffs = self._status.backoffs
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        context: RequestContext,
        job: Job,
        upstream: Upstream,
    ) -> tuple[AttemptOutcome, Relay]:
        """Send a request once; return how that ended and the answer."""
        relay = self._make_relay(context, job, upstream)
        if context.relay is not None:
            context.relay.discard()
        context.relay = relay
        context.not_sent = None
        context.stalled_s = 0
        context.via = ''
        context.tunnel = ''
        ending = AttemptOutcome.left
        try:
            ending = await self._send_once(context, upstream, relay)
        except BackoffError as exc:
            ending = AttemptOutcome.withheld
            context.not_sent = exc
        except NotSentError as exc:
            ending = AttemptOutcome.unsent
            if isinstance(exc, NoPathError):
                ending = AttemptOutcome.no_path
            context.not_sent = exc
        finally:
            # Read before this instance writes an answer of its own.
            context.begun = context.exchange.started
            # An ending that was reached before the wait was cancelled counts.
            report = relay.report(relay.ending or ending)
            self._scheduler.finish(
                job, upstream, self._evidence(context, report)
            )
            self._record_end(context, upstream, relay, report)
        return report.ending, relay

    # -- steps

    def _record_end(
        self,
        context: RequestContext,
        upstream: Upstream,
        relay: Relay,
        report: RunReport,
    ) -> None:
        context.pause_s = max(context.pause_s, report.pause_s)
        if report.ending is AttemptOutcome.answered:
            self._runs.record(context.admitted, report.total_s)
        self._log.send_ended(context, upstream, report)
        self._update_guard(context, upstream)
        relay.detach()

    def _evidence(
        self, context: RequestContext, report: RunReport
    ) -> RunReport:
        """Return what a report says about its upstream, for the scheduler.

        If this instance reaches no upstream, what it loses is lost on its own
        links. The time for which an upstream was silent says nothing about how
        fast it works.
        """
        is_interrupted = report.ending in INTERRUPTED
        if is_interrupted and self._conns.connector.is_isolated:
            return RunReport(AttemptOutcome.no_path, 0)
        if context.stalled_s:
            return _without_stall(report, context.stalled_s)
        return report

    def _update_guard(
        self, context: RequestContext, upstream: Upstream
    ) -> None:
        permit = context.permit
        relay = context.relay
        if permit is None or relay is None:
            return
        context.permit = None
        if relay.lost_connection:
            self._guard.record_connection_lost(
                permit, upstream, is_established=relay.is_established
            )
        elif relay.succeeded:
            self._guard.answered(permit)
        if permit.trials:
            self._guard.release(permit)

    def _make_relay(
        self,
        context: RequestContext,
        job: Job,
        upstream: Upstream,
    ) -> Relay:
        streaming = context.admitted.route.kind is RouteKind.streaming
        relay = Relay(
            context.exchange,
            self._codec,
            context.last_event,
            streaming=streaming,
        )
        relay.on_answer_info = functools.partial(
            self._on_answer_info,
            context,
            upstream,
            self._loop.time(),
        )
        relay.on_first_event = functools.partial(
            self._on_first_event,
            context,
            job,
            upstream,
            context.relay,
        )
        return relay

    def _on_answer_info(
        self,
        context: RequestContext,
        upstream: Upstream,
        asked_at: float,
        info: ResponseInfo,
    ) -> None:
        if context.unread_send is not None:
            self._unread.record_answer(context.unread_send)
        self._status.apply(upstream, asked_at, info)

    def _on_first_event(
        self,
        context: RequestContext,
        job: Job,
        upstream: Upstream,
        earlier: Relay | None,
    ) -> None:
        """Record the first event; measure the pause if it resumes a stream."""
        self._versions.begun(context, upstream, self._loop.time())
        self._scheduler.record_first_byte(job)
        if earlier is not None and earlier.last_event_at:
            pause_s = self._loop.time() - earlier.last_event_at
            context.resumed_pause_s = max(context.resumed_pause_s, pause_s)

    async def _send_once(
        self,
        context: RequestContext,
        upstream: Upstream,
        relay: Relay,
    ) -> AttemptOutcome:
        repeatable = context.admitted.route.repeatable
        max_idle_s = (
            _MAX_IDLE_REPEATABLE_S if repeatable else _MAX_IDLE_NON_REPEATABLE_S
        )
        conn = await self._conns.acquire(upstream, max_idle_s)
        context.via = conn.via
        context.tunnel = conn.tunnel
        try:
            await self._write_request(context, upstream, relay, conn)
            ending = await self._await_answer(context, upstream, conn, relay)
        finally:
            context.exchange.on_writable = None
            self._record_unread(context, conn)
            self._conns.release(upstream, conn)
        if ending in SAFE_TO_RESEND:
            context.may_have_run -= 1
        return ending

    async def _write_request(
        self,
        context: RequestContext,
        upstream: Upstream,
        relay: Relay,
        conn: ClientConnection,
    ) -> None:
        """Write a request after checking again that it may still be sent.

        Connecting takes up to 0.3 s. In that time a request with the same
        content may have crashed another upstream, this upstream may have
        started to leave or asked for a backoff, and the API key may have been
        revoked.
        """
        context.permit = await self._guard.request_permit(context.fingerprint)
        now = self._loop.time()
        if not self._scheduler.is_usable(upstream):
            conn.close()
            raise NotSentError('the upstream takes no new requests')
        if self.backoffs.is_backing_off(upstream.incarnation, now):
            raise BackoffError('the upstream asked for a backoff')
        if not self._gate.is_still_valid(context.admitted, now):
            refusal = Refusal.of(Reason.state_not_confirmed, retry_after=1)
            raise RefusedError(refusal)
        relay.bind(conn)
        relay.on_established = functools.partial(
            self._guard.established, context.permit
        )
        conn.send(
            self._encode_head(context, upstream),
            relay,
            context.call.request_id,
            context.exchange.request_body.blocks,
        )
        context.may_have_run += 1
        path = SendPath(upstream.incarnation, conn.via)
        context.unread_send = self._unread.add(
            path, context.sent, context.retry
        )
        context.retry = None

    def _record_unread(
        self, context: RequestContext, conn: ClientConnection
    ) -> None:
        """Record what is known of a send whose answer was waited for."""
        send = context.unread_send
        if send is None:
            return
        is_answered = send not in context.sent.unread
        self._unread.record_end(
            send,
            # The end of a tunnel says nothing about the upstream.
            is_closed=conn.was_lost and not conn.via,
            is_acknowledged=is_answered or conn.is_acknowledged,
        )
        context.stalled_s = send.stalled_s
        context.unread_send = None

    async def _await_answer(
        self,
        context: RequestContext,
        upstream: Upstream,
        conn: ClientConnection,
        relay: Relay,
    ) -> AttemptOutcome:
        """Wait for the end of an answer, or until it is overdue to begin.

        An upstream may hang, or lose the answer of a request that it ran. A
        repeatable request is then sent to another upstream, once there is one
        that answers, if the retry budget allows it; otherwise waiting on is the
        better chance.

        After a stall of the process, one iteration of the event loop may both
        read an answer and find the timer expired. What counts is therefore
        whether the answer has begun, not whether the timer expired.
        """
        asked_at = self._loop.time()
        timeout_s = self._silence_timeout_s(context)
        if await _begins(relay, timeout_s):
            return await relay.done
        self._conns.connector.record_silence(upstream, conn, asked_at)
        self._record_overdue(context, conn)
        while not self.retries.has_alternative(context, upstream):
            if await _begins(relay, timeout_s):
                return await relay.done
        waited_s = self._loop.time() - asked_at
        if self.retries.may_abandon(context, waited_s):
            return AttemptOutcome.unknown
        return await relay.done

    def _record_overdue(
        self, context: RequestContext, conn: ClientConnection
    ) -> None:
        """Record that an upstream may have stopped reading."""
        if context.unread_send is not None:
            self._unread.record_overdue(
                context.unread_send, is_acknowledged=conn.is_acknowledged
            )

    def _silence_timeout_s(self, context: RequestContext) -> float:
        objective_s = context.admitted.route.objective_s
        prefill_s = context.call.prompt_tokens * _PREFILL_S_PER_TOKEN
        return _SILENCE_FRACTION * objective_s + prefill_s

    def _encode_head(
        self, context: RequestContext, upstream: Upstream
    ) -> bytes:
        exchange = context.exchange
        workspace = context.admitted.workspace
        resumes = context.last_event != context.call.last_event
        info = UpstreamRequestInfo(
            context.end_at - self._loop.time(),
            upstream.name,
            None if workspace is None else workspace.name,
            context.last_event if resumes else None,
        )
        head = exchange.head
        headers = self._codec.upstream_headers(
            head,
            exchange.request_body.size,
            info,
        )
        line = b'%b %b HTTP/1.1' % (head.method, head.target)
        return encode_head(line, headers)


async def _begins(relay: Relay, timeout_s: float) -> bool:
    """Return whether an answer begins, or ends, within the timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await relay.begun.wait()
    return relay.begun.is_set()


def _without_stall(report: RunReport, stalled_s: float) -> RunReport:
    """Return a report as if the upstream had not been silent for so long."""
    if report.ending not in COMPLETE:
        return msgspec.structs.replace(report, total_s=0)
    first_s = report.first_s
    if first_s is not None:
        first_s = max(0, first_s - stalled_s)
    total_s = max(0, report.total_s - stalled_s)
    return msgspec.structs.replace(report, total_s=total_s, first_s=first_s)
