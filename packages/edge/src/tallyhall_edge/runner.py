"""A request's way: admitted, queued, sent, relayed, answered.

Only the instance that holds the caller's connection knows the request, so
it alone keeps the promises: what must not run twice is written to one
upstream, and written again only if that upstream says that it did not run
it or nothing was written at all.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.refusals import Executed, Reason, Refusal, RefusedError
from tallyhall_dispatch.callers import FirstTries
from tallyhall_dispatch.desired import RouteKind, Upstream
from tallyhall_dispatch.gate import Admitted, Gate, OverQuotaError
from tallyhall_dispatch.jobs import Ending, Grant, Job, RunReport
from tallyhall_dispatch.quota import QuotaSeen
from tallyhall_dispatch.switches import ALL_ON, Switches

from .connections import ConnectionPool
from .dialect import BadCallError, CallInfo, Dialect, SendInfo
from .errors import NotSentError
from .messages import head_bytes
from .relay import Relay
from .scheduling import Scheduler
from .server import Exchange

# A kept connection may have died unnoticed. What may be sent again uses any
# that is kept; what may not uses only one that worked a moment ago. Seconds.
_IDLE_REPEATABLE_S = 10.0
_IDLE_ONCE_S = 1.0
# Sends of one request at the most, with those that upstreams rejected.
_MOST_SENDS = 4
# Callers leave a stream after this long without an event: the longest of
# 2 s, four objectives and eight of its longest pauses.
_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4
_PATIENCE_GAPS = 8
# Part of a caller's patience after which a waiting request is given up: it
# leaves the upstream time for the first event.
_WAIT_PART = 0.7
# Told to callers whose request an upstream turned away, in seconds.
_FULL_RETRY_S = 0.3
# An answer that has not begun after this part of its objective is taken as
# lost, so that another upstream can still be in time; longer by the time that
# a slow engine with others ahead needs for each token of the prompt.
_SILENCE_PART = 0.65
_SLOW_TOKEN_S = 0.00006
# A request that waited longer for its place met full engines; asking an owner
# takes 3 ms.
_LOADED_WAIT_S = 0.03
# A starting instance reads the desired state within 10 ms where the store
# answers; a caller that was refused instead would come back in 500 ms.
_FIRST_STATE_S = 0.15
_STATE_LOOK_S = 0.01
# Told to callers that came to a stopping instance: others are there at once.
_ELSEWHERE_S = 0.1
# A first send later than this before the end would likely be cut: nine of ten
# runs take at most 2.2 s (3,323 logged ones of three plays).
_LAST_RUN_S = 2.2
# What still waits to be sent again is answered this long before the end.
_LAST_ANSWER_S = 0.1
_MILLI = 1000
_ANSWERED = 'answered'

_SAFE_TO_RESEND = frozenset(
    (Ending.rejected, Ending.misplaced, Ending.unsent),
)


class Stop(msgspec.Struct, frozen=True):
    """When a stopping instance ends, and from when it refuses longer requests.

    Both on the clock of the loop; the second at the latest when a first send
    would likely be cut.
    """

    refuses_at: float
    ends_at: float

    @property
    def sends_until(self) -> float:
        """Return until when a first send has time to be answered."""
        return self.ends_at - _LAST_RUN_S

    def refuses(self, now: float) -> bool:
        """Return whether requests are refused that may outlast the end."""
        return now >= min(self.refuses_at, self.sends_until)


class Telemetry(Protocol):
    """Takes numbered events and what a request came to."""

    def event(self, event: Event, **fields: object) -> None:
        """Log an event."""

    def ended(self, outcome: str, total_s: float, route_kind: str) -> None:
        """Count a request that has ended."""


class Visit(msgspec.Struct):
    """One request under way."""

    exchange: Exchange
    call: CallInfo
    admitted: Admitted
    end_at: float
    last_event: int | None
    # Time between the caller's first try and this one, in seconds.
    since_first_s: float = 0
    excluded: set[str] = msgspec.field(default_factory=set)
    sends: int = 0
    may_have_run: int = 0
    repeat_paid: bool = False
    waited_s: float = 0
    forecast_s: float = 0
    begun: bool = False
    outcome: str = ''
    # The answer of the last send.
    relay: Relay | None = None

    @property
    def request_id(self) -> str:
        """Return the caller's id."""
        return self.call.id_text


class Runner:
    """Handles the requests of all callers."""

    def __init__(
        self,
        gate: Gate,
        scheduler: Scheduler,
        conns: ConnectionPool,
        dialect: Dialect,
        telemetry: Telemetry,
        instance: str,
        zone: str,
        switches: Switches = ALL_ON,
    ) -> None:
        """Work with these parts of the instance."""
        self._gate = gate
        self._scheduler = scheduler
        self._conns = conns
        self._dialect = dialect
        self._telemetry = telemetry
        # Job keys begin with the instance, which makes them unique.
        self._instance = instance
        self._zone = zone
        self._switches = switches
        self._jobs = itertools.count()
        self._first_tries = FirstTries()
        # Set once the instance is told to stop.
        self._stop: Stop | None = None
        # Requests that wait for an upstream.
        self._waits: dict[asyncio.Timeout, Visit] = {}
        self._loop = asyncio.get_running_loop()

    def begin_stop(self, stop: Stop) -> None:
        """Refuse what could not be finished, also what waits already."""
        self._stop = stop
        for timeout, visit in self._waits.items():
            timeout.reschedule(self._waits_until(visit))

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        try:
            call = self._dialect.call(exchange.head)
        except BadCallError as exc:
            refusal = Refusal.of(Reason.bad_request, detail=str(exc))
            self._refuse(exchange, refusal, '')
            return
        await self._until_state(exchange.received_at)
        try:
            visit = self._enter(exchange, call)
        except OverQuotaError as exc:
            inputs = _quota_inputs(exc.seen)
            self._refuse(exchange, exc.refusal, call.id_text, **inputs)
            return
        except RefusedError as exc:
            self._refuse(exchange, exc.refusal, call.id_text)
            return
        await self._visit(visit)

    # -- steps

    async def _visit(self, visit: Visit) -> None:
        try:
            async with asyncio.timeout_at(visit.end_at):
                await self._serve(visit)
        except RefusedError as exc:
            self._give_up(visit, exc.refusal)
        except TimeoutError:
            self._time_over(visit)
        except asyncio.CancelledError:
            visit.outcome = visit.outcome or 'caller_left'
            self._telemetry.event(
                Event.caller_left,
                request=visit.request_id,
                sends=visit.sends,
                begun=visit.exchange.started,
            )
            raise
        finally:
            self._end(visit)

    async def _until_state(self, received_at: float) -> None:
        """Wait a little for the first desired state."""
        while self._gate.version < 0:
            if self._loop.time() - received_at > _FIRST_STATE_S:
                return
            await asyncio.sleep(_STATE_LOOK_S)

    def _enter(self, exchange: Exchange, call: CallInfo) -> Visit:
        admitted = self._gate.admit(
            call.host,
            exchange.head.path,
            call.key,
            call.prompt_tokens + call.output_tokens,
            self._loop.time(),
        )
        self._log_admitted(call, admitted)
        limit_s = admitted.route.timeout_s
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        return Visit(
            exchange,
            call,
            admitted,
            exchange.received_at + limit_s,
            call.last_event,
            self._since_first_s(exchange, call, admitted),
        )

    def _since_first_s(
        self,
        exchange: Exchange,
        call: CallInfo,
        admitted: Admitted,
    ) -> float:
        if not self._switches.first_tries:
            return 0
        workspace = admitted.workspace
        return self._first_tries.since_s(
            admitted.route,
            '' if workspace is None else workspace.name,
            call.deadline_s,
            exchange.received_at,
        )

    async def _serve(self, visit: Visit) -> None:
        self._check_stop(visit)
        while True:
            job = self._job(visit)
            grant = await self._acquire(visit, job)
            upstream = grant.upstream
            visit.sends += 1
            visit.waited_s = grant.waited_s
            visit.forecast_s = grant.forecast_s
            self._log_grant(visit, grant)
            ending, relay = await self._send(visit, job, upstream)
            if ending is Ending.answered:
                self._answered(visit, relay)
                return
            visit.last_event = relay.last_event
            visit.excluded.add(upstream.incarnation)
            if not self._may_send_again(visit, ending):
                self._fail(visit, ending, relay)
                return

    def _check_stop(self, visit: Visit) -> None:
        """Refuse what could still run when the instance ends.

        Counted from now: a body may end long after its head came.
        """
        stop = self._stop
        if stop is None or not stop.refuses(self._loop.time()):
            return
        if visit.end_at > stop.ends_at:
            raise _stopping_error()

    async def _acquire(self, visit: Visit, job: Job) -> Grant:
        """Return an upstream; what waits is refused before the end, not cut."""
        timeout = asyncio.timeout_at(self._waits_until(visit))
        try:
            async with timeout:
                self._waits[timeout] = visit
                return await self._scheduler.acquire(job)
        except TimeoutError as exc:
            raise _stopping_error() from exc
        finally:
            self._waits.pop(timeout, None)

    def _waits_until(self, visit: Visit) -> float | None:
        """Return when a stop ends the wait of a request, None if it does not.

        What was sent before may have run; another send is its best chance.
        """
        stop = self._stop
        if stop is None or visit.end_at <= stop.ends_at:
            return None
        if visit.sends:
            return stop.ends_at - _LAST_ANSWER_S
        return stop.sends_until

    async def _send(
        self,
        visit: Visit,
        job: Job,
        upstream: Upstream,
    ) -> tuple[Ending, Relay]:
        route = visit.admitted.route
        relay = Relay(
            visit.exchange,
            self._dialect,
            visit.last_event,
            streaming=route.kind is RouteKind.streaming,
        )
        relay.on_first = lambda: self._scheduler.first_byte(job)
        visit.relay = relay
        ending = Ending.left
        try:
            ending = await self._exchange(visit, upstream, relay)
        except NotSentError:
            ending = Ending.unsent
        finally:
            # Before an answer of this instance's own is written.
            visit.begun = visit.exchange.started
            # What ended before the wait for it was broken off has ended.
            report = relay.report(relay.ending or ending)
            self._scheduler.finish(job, upstream, report)
            self._log_send(visit, upstream, report)
        return report.ending, relay

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
            # A connection takes up to 0.3 s, and the upstream may leave
            # meanwhile.
            if not self._scheduler.is_usable(upstream):
                conn.close()
                raise NotSentError('the upstream has left')
            if not self._gate.still_holds(visit.admitted, self._loop.time()):
                refusal = Refusal.of(Reason.state_not_confirmed, retry_after=1)
                raise RefusedError(refusal)
            relay.bind(conn)
            conn.send(
                self._request(visit, upstream),
                relay,
                visit.call.request_id,
            )
            visit.may_have_run += 1
            ending = await self._answer(visit, relay)
        finally:
            visit.exchange.on_writable = None
            self._conns.give_back(upstream, conn)
        if ending in _SAFE_TO_RESEND:
            visit.may_have_run -= 1
        return ending

    async def _answer(self, visit: Visit, relay: Relay) -> Ending:
        """Wait for the end of an answer, or for one that never begins.

        An upstream may hang, or lose the answer of a request that it ran. A
        request that may run again goes elsewhere then, if the retry budget
        bears it; otherwise waiting on is the better chance. Where requests
        wait for places, silence is more likely the load than a loss.

        After a standstill one turn of the loop reads an answer and finds the
        timer due, so what counts is whether it has begun, not the timer.
        """
        route = visit.admitted.route
        last = visit.may_have_run >= route.attempts
        if not self._switches.silence:
            return await relay.done
        if last or not route.repeatable or visit.waited_s > _LOADED_WAIT_S:
            return await relay.done
        try:
            async with asyncio.timeout(self._patience_s(visit)):
                await relay.begun.wait()
        except TimeoutError:
            silent = not relay.begun.is_set()
            if silent and self._spend(visit, self._loop.time()):
                visit.repeat_paid = True
                return Ending.unknown
        return await relay.done

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

    def _job(self, visit: Visit) -> Job:
        route = visit.admitted.route
        call = visit.call
        received_at = visit.exchange.received_at
        wait_s = _WAIT_PART * (visit.end_at - received_at)
        if route.kind is RouteKind.streaming:
            patience_s = max(
                _PATIENCE_S,
                _PATIENCE_OBJECTIVES * route.objective_s,
                _PATIENCE_GAPS * route.gap_s,
            )
            wait_s = min(wait_s, _WAIT_PART * patience_s)
        if visit.sends:
            received_at = self._loop.time()
        return Job(
            key=f'{self._instance}/{next(self._jobs)}',
            service=visit.admitted.service,
            zone=self._zone,
            urgency=route.priority,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            asked_at=self._loop.time(),
            due_at=(
                visit.exchange.received_at
                - visit.since_first_s
                + route.objective_s
            ),
            give_up_at=min(visit.end_at, received_at + wait_s),
            excluded=frozenset(visit.excluded),
            spare=visit.admitted.over_quota_s > 0,
            pause_s=route.gap_s,
        )

    def _may_send_again(self, visit: Visit, ending: Ending) -> bool:
        if visit.sends >= _MOST_SENDS:
            return False
        now = self._loop.time()
        if ending in _SAFE_TO_RESEND:
            # What did not arrive anywhere costs no budget.
            if ending is Ending.unsent:
                return True
            return self._spend(visit, now)
        route = visit.admitted.route
        if not route.repeatable or visit.may_have_run >= route.attempts:
            return False
        if visit.exchange.started and not route.resumable:
            return False
        return self._spend(visit, now)

    def _spend(self, visit: Visit, now: float) -> bool:
        if visit.repeat_paid:
            visit.repeat_paid = False
            return True
        allowed = self._gate.may_repeat(visit.admitted.service, now)
        if not allowed:
            self._telemetry.event(
                Event.budget_binds,
                request=visit.request_id,
                service=visit.admitted.service,
            )
        return allowed

    # -- ends

    def _answered(self, visit: Visit, relay: Relay) -> None:
        visit.outcome = _ANSWERED
        if not visit.exchange.ended:
            relay.deliver()

    def _fail(self, visit: Visit, ending: Ending, relay: Relay) -> None:
        if visit.exchange.started:
            visit.outcome = 'broken'
            visit.exchange.abort()
            return
        if ending is Ending.failed:
            visit.outcome = 'upstream_error'
            relay.deliver()
            return
        if visit.may_have_run:
            refusal = Refusal.of(Reason.upstream_broken)
        elif ending is Ending.rejected:
            refusal = Refusal.of(
                Reason.upstream_full,
                retry_after=_FULL_RETRY_S,
            )
        else:
            refusal = Refusal.of(
                Reason.no_upstream,
                retry_after=_FULL_RETRY_S,
            )
        self._give_up(visit, refusal)

    def _time_over(self, visit: Visit) -> None:
        relay = visit.relay
        # After a standstill the limit may be found over in the turn of the
        # loop that read the whole answer; what is here counts.
        if relay is not None and relay.ending is Ending.answered:
            self._answered(visit, relay)
            return
        if visit.exchange.started:
            visit.outcome = 'timed_out'
            visit.exchange.abort()
            return
        reason = Reason.deadline_unreachable
        if visit.may_have_run:
            reason = Reason.timed_out
        self._give_up(visit, Refusal.of(reason))

    def _give_up(self, visit: Visit, refusal: Refusal) -> None:
        if visit.exchange.started:
            visit.outcome = 'broken'
            visit.exchange.abort()
            return
        if visit.may_have_run and refusal.executed is Executed.no:
            refusal = Refusal.of(Reason.upstream_broken)
        over_quota_s = visit.admitted.over_quota_s
        if over_quota_s and refusal.reason is Reason.deadline_unreachable:
            refusal = Refusal.of(
                Reason.rate_limited,
                retry_after=over_quota_s,
            )
        visit.outcome = refusal.reason.value
        self._refuse(visit.exchange, refusal, visit.request_id)

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        request_id: str,
        **inputs: object,
    ) -> None:
        self._telemetry.event(
            Event.refused,
            request=request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            **inputs,
        )
        answer = self._dialect.refusal(refusal)
        exchange.answer(
            answer.status,
            answer.reason,
            answer.headers,
            answer.body,
        )

    def _end(self, visit: Visit) -> None:
        now = self._loop.time()
        total_s = now - visit.exchange.received_at
        admitted = visit.admitted
        if not visit.may_have_run:
            # Also of callers that left and of time that ended unsent.
            self._gate.give_back(admitted, now)
        self._telemetry.ended(
            visit.outcome,
            total_s,
            admitted.route.kind.value,
        )
        served = visit.outcome == _ANSWERED
        # Without the lines before it, this one still tells what decided.
        inputs = {} if served else self._inputs(visit)
        self._telemetry.event(
            Event.finished,
            served=served,
            request=visit.request_id,
            outcome=visit.outcome,
            total_ms=round(total_s * _MILLI),
            sends=visit.sends,
            **inputs,
        )

    def _inputs(self, visit: Visit) -> dict[str, object]:
        admitted = visit.admitted
        workspace = admitted.workspace
        return {
            'route': admitted.route.name,
            'workspace': None if workspace is None else workspace.name,
            'service': admitted.service,
            'version': admitted.version,
            'tried': sorted(visit.excluded),
            'may_have_run': visit.may_have_run,
            'begun': visit.begun,
            'limit_ms': round(
                (visit.end_at - visit.exchange.received_at) * _MILLI,
            ),
        }

    def _log_admitted(self, call: CallInfo, admitted: Admitted) -> None:
        workspace = admitted.workspace
        age_s = self._gate.freshness.age(self._loop.time())
        self._telemetry.event(
            Event.admitted,
            served=True,
            request=call.id_text,
            route=admitted.route.name,
            workspace=None if workspace is None else workspace.name,
            service=admitted.service,
            version=admitted.version,
            confirmed_ms_ago=None if age_s is None else round(age_s * _MILLI),
            tokens=call.prompt_tokens + call.output_tokens,
            over_quota_s=admitted.over_quota_s,
            **_quota_inputs(admitted.seen),
        )

    def _log_grant(self, visit: Visit, grant: Grant) -> None:
        self._telemetry.event(
            Event.permitted,
            served=True,
            request=visit.request_id,
            upstream=grant.upstream.incarnation,
            by=grant.by,
            waited_ms=round(grant.waited_s * _MILLI),
            send=visit.sends,
            after_event=visit.last_event,
        )

    def _log_send(
        self,
        visit: Visit,
        upstream: Upstream,
        report: RunReport,
    ) -> None:
        first_ms = None
        if report.first_s is not None:
            first_ms = round(report.first_s * _MILLI)
        self._telemetry.event(
            Event.send_ended,
            served=report.ending is Ending.answered,
            request=visit.request_id,
            upstream=upstream.incarnation,
            ending=report.ending.value,
            first_ms=first_ms,
            forecast_ms=round(visit.forecast_s * _MILLI),
            events=report.events,
            pause_ms=round(report.pause_s * _MILLI),
            pause_after=report.pause_after,
            total_ms=round(report.total_s * _MILLI),
        )


def _stopping_error() -> RefusedError:
    refusal = Refusal.of(Reason.stopping, retry_after=_ELSEWHERE_S)
    return RefusedError(refusal)


def _quota_inputs(seen: QuotaSeen | None) -> dict[str, object]:
    if seen is None:
        return {}
    return {
        'used': round(seen.used),
        'limit': round(seen.limit),
        'heard': round(seen.heard, 3),
        'known_ms_ago': round(seen.known_s_ago * _MILLI),
    }
