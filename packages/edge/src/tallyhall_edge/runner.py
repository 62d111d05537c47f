"""The request pipeline: admission, queueing, sending, relaying, answering.

Only the instance that holds the caller's connection knows the whole request,
so it alone enforces the guarantees on execution and deadlines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tallyhall_core.content import content_digest
from tallyhall_core.refusals import Executed, Reason, Refusal, RefusedError
from tallyhall_dispatch.first_attempts import FirstAttempts
from tallyhall_dispatch.gate import AdmissionGate, Admitted, OverQuotaError
from tallyhall_dispatch.jobs import AttemptOutcome, Job, SlotGrant

from .connections import ConnectionPool
from .dialect import HeaderCodec, InvalidHeaderError, RequestInfo
from .exchange import Exchange
from .guard import Fingerprint, Guard
from .job_factory import JobFactory, JobSource
from .memory_shedding import MemoryShedding, wait_error
from .messages import RequestHead
from .relay import Relay
from .request_context import ANSWERED, RequestContext, record_send
from .request_log import RequestLog
from .scheduling import Scheduler
from .sending import Sender
from .stopping import StopSchedule, stopping_error
from .stream_versions import StreamOrigins, StreamVersions
from .telemetry import Telemetry

# Minimum Retry-After in seconds for requests that upstreams rejected.
_REJECTED_RETRY_S = 0.3
# How long requests wait for the first desired state, in seconds. A starting
# instance reads it within 10 ms if the store answers; a caller that was refused
# instead would come back in 500 ms.
_STATE_WAIT_S = 0.15
_STATE_POLL_S = 0.01


class RequestPipeline:
    """Handles the requests of all callers."""

    def __init__(
        self,
        gate: AdmissionGate,
        scheduler: Scheduler,
        conns: ConnectionPool,
        codec: HeaderCodec,
        telemetry: Telemetry,
        source: JobSource,
        guard: Guard,
        origins: StreamOrigins,
    ) -> None:
        """Create the handler from the components of the instance."""
        # Refreshes the quota use from other instances; returns whether this
        # brought newer values.
        self.refresh_quota_use: Callable[[], Awaitable[bool]] = _no_refresh
        self.shedding = MemoryShedding()
        self._gate = gate
        self._scheduler = scheduler
        self._codec = codec
        self._log = RequestLog(telemetry)
        self._versions = StreamVersions(origins, scheduler)
        self._sender = Sender(
            gate,
            scheduler,
            conns,
            codec,
            self._log,
            guard,
            self._versions,
        )
        self._unread = conns.unread
        self._guard = guard
        self._jobs = JobFactory(source)
        self._first_tries = FirstAttempts()
        self._stopping = self._sender.stopping
        # Admitted requests that have not ended, by identity.
        self._running: dict[int, RequestContext] = {}
        # Requests that wait for an upstream.
        self._pending: dict[asyncio.Timeout, RequestContext] = {}
        self._loop = asyncio.get_running_loop()

    def begin_stop(self, stop: StopSchedule) -> None:
        """Refuse requests that could not finish, including waiting ones."""
        self._stopping.begin(stop)
        for timeout, context in self._pending.items():
            timeout.reschedule(self._stopping.send_deadline(context))

    def end_unanswered(self) -> None:
        """Answer the requests that have no answer, as the process ends now."""
        for context in self._running.values():
            limit = context.time_limit
            if context.exchange.started or limit is None or limit.expired():
                continue
            context.is_stopped = True
            limit.reschedule(self._loop.time())

    def shed_waiting(self) -> None:
        """Refuse waiting requests if the memory budget is used up."""
        self.shedding.refuse_waiting(self._pending, self._loop.time())

    def workspace_of(self, head: RequestHead) -> str:
        """Return the workspace of a request, empty if it is unknown."""
        try:
            call = self._codec.parse_request(head)
        except InvalidHeaderError:
            return ''
        return self._gate.workspace_name(call.key)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        try:
            call = self._codec.parse_request(exchange.head)
        except InvalidHeaderError as exc:
            refusal = Refusal.of(Reason.bad_request, detail=str(exc))
            self._refuse(exchange, refusal, '')
            return
        await self._wait_for_state(exchange.received_at)
        try:
            context = await self._admit_with_refresh(exchange, call)
        except RefusedError as exc:
            self._refuse(exchange, exc.refusal, call.id_text, exc)
            return
        self.shedding.assign_workspace(context)
        await self._process(context)

    # -- steps

    async def _process(self, context: RequestContext) -> None:
        self._running[id(context)] = context
        context.time_limit = asyncio.timeout_at(context.end_at)
        try:
            async with context.time_limit:
                await self._serve(context)
        except RefusedError as exc:
            self._end_refused(context, exc.refusal, exc)
        except TimeoutError:
            self._on_timeout(context)
        except asyncio.CancelledError:
            context.outcome = context.outcome or 'caller_left'
            self._log.caller_left(context)
            raise
        finally:
            self._finalize(context)

    async def _wait_for_state(self, received_at: float) -> None:
        """Wait for the first desired state, for a limited time."""
        while self._gate.version < 0:
            if self._loop.time() - received_at > _STATE_WAIT_S:
                return
            await asyncio.sleep(_STATE_POLL_S)

    async def _admit_with_refresh(
        self, exchange: Exchange, call: RequestInfo
    ) -> RequestContext:
        """Admit a request; refresh the quota usage before refusing for it."""
        try:
            return self._admit(exchange, call)
        except OverQuotaError:
            if not await self.refresh_quota_use():
                raise
        return self._admit(exchange, call)

    def _admit(self, exchange: Exchange, call: RequestInfo) -> RequestContext:
        admitted = self._gate.admit(
            call.host,
            exchange.head.path,
            call.key,
            call.prompt_tokens + call.output_tokens,
            self._loop.time(),
        )
        age_s = self._gate.freshness.age(self._loop.time())
        self._log.admitted(call, admitted, age_s)
        limit_s = admitted.route.timeout_s
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        return RequestContext(
            exchange,
            call,
            admitted,
            exchange.received_at + limit_s,
            call.last_event,
            self._fingerprint(exchange, call, admitted),
            self._since_first_s(exchange, call, admitted),
        )

    def _fingerprint(
        self,
        exchange: Exchange,
        call: RequestInfo,
        admitted: Admitted,
    ) -> Fingerprint:
        workspace = admitted.workspace
        caller = call.key if workspace is None else workspace.name
        head = exchange.head
        blocks = exchange.request_body.blocks
        # Callers may count their attempts in the query.
        target = head.path.encode('latin-1') if blocks else head.target
        content = content_digest(
            call.host.encode(),
            head.method,
            target,
            caller.encode(),
            body=blocks,
        )
        service = admitted.service
        parts = tuple(f'{service}/{part}' for part in call.parts)
        return Fingerprint(content, parts)

    def _since_first_s(
        self,
        exchange: Exchange,
        call: RequestInfo,
        admitted: Admitted,
    ) -> float:
        workspace = admitted.workspace
        return self._first_tries.elapsed_s(
            admitted.route,
            '' if workspace is None else workspace.name,
            call.deadline_s,
            exchange.received_at,
        )

    async def _serve(self, context: RequestContext) -> None:
        self.shedding.check_body(context)
        await self._versions.find(context)
        while True:
            self._versions.check(context)
            self.shedding.check(context)
            # The body of a request may be complete long after its head.
            self._stopping.check(context, self._loop.time())
            context.suspect = await self._guard.admit(context.fingerprint)
            job = self._jobs.create(
                context,
                self._sender.retries.excluded(context),
                self._sender.backoffs.current(self._loop.time()),
            )
            grant = await self._acquire(context, job)
            record_send(context, grant, self._loop.time())
            self._log.permitted(
                context, grant, self._scheduler.known_slowdown(job)
            )
            ending, relay = await self._sender.send(
                context,
                job,
                grant.upstream,
            )
            if ending is AttemptOutcome.answered:
                self._complete(context, relay)
                return
            context.last_event = relay.last_event
            if ending is not AttemptOutcome.no_path:
                context.excluded.add(grant.upstream.incarnation)
            if not self._sender.retries.may_retry(context, ending):
                self._fail(context, ending, relay)
                return

    async def _acquire(self, context: RequestContext, job: Job) -> SlotGrant:
        """Return an upstream; refuse a waiting request before a stop ends."""
        timeout = asyncio.timeout_at(self._stopping.send_deadline(context))
        try:
            async with timeout:
                self._pending[timeout] = context
                return await self._scheduler.acquire(job)
        except TimeoutError as exc:
            raise wait_error(context) from exc
        finally:
            self._pending.pop(timeout, None)

    # -- outcomes

    def _complete(self, context: RequestContext, relay: Relay) -> None:
        context.outcome = ANSWERED
        if not context.exchange.ended:
            relay.deliver()

    def _fail(
        self, context: RequestContext, ending: AttemptOutcome, relay: Relay
    ) -> None:
        if context.exchange.started:
            context.outcome = 'broken'
            context.exchange.abort()
            return
        if ending is AttemptOutcome.failed:
            context.outcome = 'upstream_error'
            relay.deliver()
            return
        if context.may_have_run:
            refusal = Refusal.of(Reason.upstream_broken)
        elif ending is AttemptOutcome.rejected:
            refusal = Refusal.of(
                Reason.upstream_full,
                retry_after=self._rejected_retry_s(context.admitted.service),
            )
        else:
            refusal = Refusal.of(
                Reason.no_upstream,
                retry_after=_REJECTED_RETRY_S,
            )
        self._end_refused(context, refusal)

    def _rejected_retry_s(self, service: str) -> float:
        """Return when to retry after a rejection; covers pending backoffs."""
        backoffs = self._sender.backoffs.current(self._loop.time())
        backoff_s = self._scheduler.backoff_ends_in_s(service, backoffs)
        return max(_REJECTED_RETRY_S, backoff_s)

    def _on_timeout(self, context: RequestContext) -> None:
        relay = context.relay
        # After a stall of the process, the timeout may expire in the same
        # iteration of the event loop that read the complete answer; the answer
        # counts.
        if relay is not None and relay.ending is AttemptOutcome.answered:
            self._complete(context, relay)
            return
        if context.exchange.started:
            context.outcome = 'timed_out'
            context.exchange.abort()
            return
        if context.is_stopped:
            error = stopping_error()
            self._end_refused(context, error.refusal, error)
            return
        reason = Reason.deadline_unreachable
        if context.may_have_run:
            reason = Reason.timed_out
        self._end_refused(context, Refusal.of(reason))

    def _end_refused(
        self,
        context: RequestContext,
        refusal: Refusal,
        cause: RefusedError | None = None,
    ) -> None:
        if context.exchange.started:
            context.outcome = 'broken'
            context.exchange.abort()
            return
        if context.may_have_run and refusal.executed is Executed.no:
            refusal = Refusal.of(Reason.upstream_broken)
        over_quota_s = context.admitted.over_quota_s
        if over_quota_s and refusal.reason is Reason.deadline_unreachable:
            refusal = Refusal.of(
                Reason.rate_limited,
                retry_after=over_quota_s,
            )
        context.outcome = refusal.reason.value
        self._refuse(
            context.exchange,
            refusal,
            context.request_id,
            cause,
            is_retry=context.is_retry,
        )

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        request_id: str,
        cause: RefusedError | None = None,
        *,
        is_retry: bool = False,
    ) -> None:
        self._log.refused(request_id, refusal, cause, is_retry=is_retry)
        answer = self._codec.encode_refusal(refusal)
        exchange.answer(
            answer.status,
            answer.reason,
            answer.headers,
            answer.body,
        )

    def _finalize(self, context: RequestContext) -> None:
        now = self._loop.time()
        self._running.pop(id(context))
        # It refers to the task, whose end refers to the request.
        context.time_limit = None
        if context.relay is not None:
            context.relay.discard()
        if context.retry is not None:
            context.retry.release()
        self._unread.close(context.sent)
        if not context.may_have_run:
            # This includes requests whose caller disconnected or whose time
            # ran out before they were sent.
            self._gate.refund(context.admitted, now)
        self._log.ended(context, now)


async def _no_refresh() -> bool:
    return False
