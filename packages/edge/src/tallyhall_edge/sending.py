"""One send of a request to an upstream, and whether another one may follow.

What must not run twice is written to one upstream, and written again only if
that upstream says that it did not run it or nothing was written at all.
"""

from __future__ import annotations

import asyncio
import functools

from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import RouteKind, Upstream
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.jobs import NOT_SENT, Ending, Job, RunReport
from tallyhall_dispatch.rests import Rests

from .client import ClientConnection
from .connections import ConnectionPool
from .dialect import AnswerInfo, Dialect, SendInfo
from .errors import LostError, NotSentError, RestingError
from .guard import Guard
from .messages import head_bytes
from .relay import Relay
from .request_log import RequestLog
from .scheduling import Scheduler
from .visit import Visit

# A kept connection may have died unnoticed. What may be sent again uses any
# that is kept; what may not uses only one that worked a moment ago. Seconds.
_IDLE_REPEATABLE_S = 10.0
_IDLE_ONCE_S = 1.0
# Sends of one request at the most, with those that upstreams rejected.
_MOST_SENDS = 4
# An answer that has not begun after this part of its objective is taken as
# lost, so that another upstream can still be in time; longer by the time that
# a slow engine with others ahead needs for each token of the prompt.
_SILENCE_PART = 0.65
_SLOW_TOKEN_S = 0.00006
# A request that waited longer for its place met full engines; asking an owner
# takes 3 ms.
_LOADED_WAIT_S = 0.03

_SAFE_TO_RESEND = frozenset(
    (Ending.rejected, Ending.misplaced, Ending.unsent, Ending.withheld),
)


class Sending:
    """Sends requests of one instance to upstreams."""

    def __init__(
        self,
        gate: Gate,
        scheduler: Scheduler,
        conns: ConnectionPool,
        dialect: Dialect,
        log: RequestLog,
        guard: Guard,
    ) -> None:
        """Send over these connections."""
        self._guard = guard
        self._gate = gate
        self._scheduler = scheduler
        self._conns = conns
        self._dialect = dialect
        self._log = log
        # What upstreams asked this instance for.
        self.rests = Rests()
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        visit: Visit,
        job: Job,
        upstream: Upstream,
    ) -> tuple[Ending, Relay]:
        """Return how the send ended, and its answer."""
        relay = self._relay(visit, job, upstream)
        visit.relay = relay
        ending = Ending.left
        try:
            ending = await self._exchange(visit, upstream, relay)
        except RestingError:
            ending = Ending.withheld
        except NotSentError:
            ending = Ending.unsent
        finally:
            # Before an answer of this instance's own is written.
            visit.begun = visit.exchange.started
            # What ended before the wait for it was broken off has ended.
            report = relay.report(relay.ending or ending)
            self._scheduler.finish(job, upstream, report)
            self._note_end(visit, upstream, report)
        return report.ending, relay

    def may_send_again(self, visit: Visit, ending: Ending) -> bool:
        """Return whether a request may be sent once more; spend its budget."""
        if visit.sends >= _MOST_SENDS:
            return False
        if ending in _SAFE_TO_RESEND:
            if ending in NOT_SENT:
                # What did not leave costs no budget.
                return True
            return self._spend(visit)
        route = visit.admitted.route
        if not route.repeatable or visit.may_have_run >= route.attempts:
            return False
        if visit.exchange.started and not route.resumable:
            return False
        return self._spend(visit)

    # -- steps

    def _note_end(
        self,
        visit: Visit,
        upstream: Upstream,
        report: RunReport,
    ) -> None:
        visit.pause_s = max(visit.pause_s, report.pause_s)
        self._log.send_ended(visit, upstream, report)
        self._tell_guard(visit, upstream)

    def _tell_guard(self, visit: Visit, upstream: Upstream) -> None:
        permit = visit.permit
        relay = visit.relay
        if permit is None or relay is None:
            return
        visit.permit = None
        if isinstance(relay.broken, LostError):
            self._guard.lost(visit.content, permit, upstream)
        elif relay.succeeded:
            self._guard.answered(visit.content)
        if permit.is_trial:
            self._guard.release(visit.content)

    def _take_said(
        self,
        upstream: Upstream,
        asked_at: float,
        info: AnswerInfo,
    ) -> None:
        self._take_limit(upstream, asked_at, info)
        if info.leaving:
            self._scheduler.upstream_news.leaves(upstream.incarnation)
            self._conns.drop(upstream.incarnation)
        if info.rest_s:
            now = self._loop.time()
            self.rests.ask(upstream.incarnation, info.rest_s, now)
        for name in info.unread:
            self._log.header_unread(upstream, name)

    def _take_limit(
        self,
        upstream: Upstream,
        asked_at: float,
        info: AnswerInfo,
    ) -> None:
        # One that turns a request away may do so before it knows its state.
        has_run = info.proven and not info.not_executed
        if has_run or info.limit_per_s is not None:
            self._scheduler.upstream_news.names_limit(
                upstream.incarnation,
                info.limit_per_s,
                asked_at,
            )

    def _relay(
        self,
        visit: Visit,
        job: Job,
        upstream: Upstream,
    ) -> Relay:
        streaming = visit.admitted.route.kind is RouteKind.streaming
        relay = Relay(
            visit.exchange,
            self._dialect,
            visit.last_event,
            streaming=streaming,
        )
        relay.on_said = functools.partial(
            self._take_said,
            upstream,
            self._loop.time(),
        )
        relay.on_first = functools.partial(
            self._note_first,
            visit,
            job,
            visit.relay,
        )
        return relay

    def _note_first(
        self,
        visit: Visit,
        job: Job,
        earlier: Relay | None,
    ) -> None:
        """Take that an answer has begun, maybe where an earlier one broke."""
        self._scheduler.first_byte(job)
        if earlier is not None and earlier.last_at:
            pause_s = self._loop.time() - earlier.last_at
            visit.resumed_pause_s = max(visit.resumed_pause_s, pause_s)

    async def _exchange(
        self,
        visit: Visit,
        upstream: Upstream,
        relay: Relay,
    ) -> Ending:
        repeatable = visit.admitted.route.repeatable
        idle_s = _IDLE_REPEATABLE_S if repeatable else _IDLE_ONCE_S
        conn = await self._conns.take(upstream, idle_s)
        try:
            await self._write(visit, upstream, relay, conn)
            ending = await self._answer(visit, relay)
        finally:
            visit.exchange.on_writable = None
            self._conns.give_back(upstream, conn)
        if ending in _SAFE_TO_RESEND:
            visit.may_have_run -= 1
        return ending

    async def _write(
        self,
        visit: Visit,
        upstream: Upstream,
        relay: Relay,
        conn: ClientConnection,
    ) -> None:
        """Write a request, unless it must not reach this upstream any more.

        A connection takes up to 0.3 s. Meanwhile its like may have ended
        another upstream, this one may leave or ask for rest, and the key may
        have been taken away.
        """
        visit.permit = await self._guard.permit(visit.content)
        now = self._loop.time()
        if not self._scheduler.is_usable(upstream):
            conn.close()
            raise NotSentError('the upstream has left')
        if self.rests.rests(upstream.incarnation, now):
            raise RestingError('the upstream rests')
        if not self._gate.still_holds(visit.admitted, now):
            refusal = Refusal.of(Reason.state_not_confirmed, retry_after=1)
            raise RefusedError(refusal)
        relay.bind(conn)
        conn.send(
            self._request(visit, upstream),
            relay,
            visit.call.request_id,
        )
        visit.may_have_run += 1

    async def _answer(self, visit: Visit, relay: Relay) -> Ending:
        """Wait for the end of an answer, or for one that never begins.

        An upstream may hang, or lose the answer of a request that it ran. A
        request that may run again goes elsewhere then, if the retry budget
        bears it; otherwise waiting on is the better chance.

        After a standstill one turn of the loop reads an answer and finds the
        timer due, so what counts is whether it has begun, not the timer.
        """
        if not self._takes_silence_as_loss(visit):
            return await relay.done
        try:
            async with asyncio.timeout(self._patience_s(visit)):
                await relay.begun.wait()
        except TimeoutError:
            silent = not relay.begun.is_set()
            if silent and self._spend(visit):
                visit.repeat_paid = True
                return Ending.unknown
        return await relay.done

    def _takes_silence_as_loss(self, visit: Visit) -> bool:
        """Return whether a request may go elsewhere if no answer begins.

        Where requests wait for places, silence is more likely the load.
        """
        route = visit.admitted.route
        if not route.repeatable:
            return False
        if visit.may_have_run >= route.attempts:
            return False
        return visit.waited_s <= _LOADED_WAIT_S

    def _patience_s(self, visit: Visit) -> float:
        objective_s = visit.admitted.route.objective_s
        reading_s = visit.call.prompt_tokens * _SLOW_TOKEN_S
        return _SILENCE_PART * objective_s + reading_s

    def _request(self, visit: Visit, upstream: Upstream) -> bytes:
        exchange = visit.exchange
        workspace = visit.admitted.workspace
        resumes = visit.last_event != visit.call.last_event
        info = SendInfo(
            visit.end_at - self._loop.time(),
            upstream.name,
            None if workspace is None else workspace.name,
            visit.last_event if resumes else None,
        )
        head = exchange.head
        headers = self._dialect.upstream_headers(
            head,
            len(exchange.body),
            info,
        )
        line = b'%b %b HTTP/1.1' % (head.method, head.target)
        return head_bytes(line, headers) + exchange.body

    def _spend(self, visit: Visit) -> bool:
        if visit.repeat_paid:
            visit.repeat_paid = False
            return True
        service = visit.admitted.service
        allowed = self._gate.may_repeat(service, self._loop.time())
        if not allowed:
            self._log.budget_binds(visit)
        return allowed
