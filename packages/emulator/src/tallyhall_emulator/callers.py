"""Callers: each sends a request, and comes back when it is told to."""

from __future__ import annotations

import enum
import itertools
import random

import msgspec
import simpy
from tallyhall_dispatch.desired import Route, RouteKind, Upstream
from tallyhall_dispatch.first_attempts import FirstAttempts
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import GrantDecision
from tallyhall_dispatch.queue_timeout import max_queue_time_s
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_dispatch.retries import RetryReservation
from tallyhall_dispatch.switches import Switches

from .arrivals import Arrival
from .clock import Waiting
from .engine import Run
from .retry_budgets import RetryBudgets
from .scenario import Fault, Kind, Scenario
from .service import SERVICE, ZONE, Service, engine_number


# Maximum sends of one try, as instances have it.
_MAX_SENDS = 4
# Kinds of faults: an engine takes no request, or does not answer it.
_REJECTING = frozenset(('reject',))
_BREAKING = frozenset(('fail', 'lose'))


@enum.unique
class Outcome(enum.Enum):
    """What a caller got."""

    in_time = 'in time'
    late = 'late'
    refused = 'refused'
    refused_again = 'refused again'
    failed = 'failed'


class Served(msgspec.Struct, frozen=True):
    """What became of one request; waited_s: for places, over all its tries."""

    arrival: Arrival
    outcome: Outcome
    waited_s: float


class Callers:
    """All callers of one play."""

    def __init__(
        self,
        env: simpy.Environment,
        scenario: Scenario,
        service: Service,
        seed: int,
        switches: Switches,
    ) -> None:
        """Call this service; by the seed each is struck by the same faults."""
        self.served: list[Served] = []
        # When requests came, and when they were sent to another engine.
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.budgets = RetryBudgets(
            scenario.instances, random.Random(f'{seed}/retries')
        )
        self._env = env
        self._scenario = scenario
        self._service = service
        self._seed = seed
        self._switches = switches
        self._routes = {kind.name: _route(kind) for kind in scenario.kinds}
        self._first_tries = FirstAttempts()
        self._keys = itertools.count()

    def call(self, arrival: Arrival) -> Waiting[None]:
        """Send one request until it is answered, refused or failed."""
        yield self._env.timeout(arrival.at_s)
        rng = random.Random(f'{self._seed}/{arrival.number}')
        visit = _Visit(arrival, self._env.now, rng)
        outcome = yield from self._try(visit)
        for _ in range(arrival.kind.returns):
            if outcome is not Outcome.refused:
                break
            yield self._env.timeout(_return_delay_s(visit, self._env.now))
            if self._env.now >= visit.end_at:
                break
            outcome = yield from self._try(visit)
            if outcome is Outcome.refused:
                outcome = Outcome.refused_again
        self.served.append(Served(arrival, outcome, visit.waited_s))

    # -- one try

    def _try(self, visit: _Visit) -> Waiting[Outcome]:
        visit.instance = visit.rng.randrange(self._scenario.instances)
        self.requests.append(self._env.now)
        self.budgets.of(visit.instance).record_request(self._env.now)
        group = self._service.group_of(visit.instance)
        visit.group = group
        yield self._env.timeout(self._scenario.ask_s)
        job = self._job(visit)
        while True:
            asked_at = self._env.now
            decision: GrantDecision | RejectDecision = yield self._service.ask(
                job, group
            )
            visit.waited_s += self._env.now - asked_at
            if isinstance(decision, RejectDecision):
                self._release_retry(visit)
                visit.retry_after_s = decision.retry_after_s
                return Outcome.refused
            ending = yield from self._send(visit, job, decision.upstream)
            if ending is AttemptOutcome.answered:
                return self._judged(visit)
            if not self._may_send_again(visit, ending):
                return Outcome.failed
            job = msgspec.structs.replace(
                self._job(visit),
                excluded=job.excluded | {decision.upstream.incarnation},
            )

    def _send(
        self,
        visit: _Visit,
        job: Job,
        upstream: Upstream,
    ) -> Waiting[AttemptOutcome]:
        arrival = visit.arrival
        if self._fault(visit, upstream, _REJECTING) is not None:
            self._record_retry(visit)
            rejected = AttemptOutcome.rejected
            self._service.finish(job, RunReport(rejected, 0))
            return rejected
        run = self._service.send(job, upstream, arrival)
        if run is None:
            self._service.finish(job, RunReport(AttemptOutcome.unsent, 0))
            return AttemptOutcome.unsent
        self._record_retry(visit)
        fault = self._fault(visit, upstream, _BREAKING)
        yield run.begun | run.ended
        self._service.report_load(upstream, visit.group)
        if fault is None:
            self._service.first_byte(job)
        else:
            yield from self._break(visit, run, upstream, fault)
        report: RunReport = yield run.ended
        self._service.report_load(upstream, visit.group)
        self._service.finish(job, report)
        if report.ending is AttemptOutcome.answered:
            visit.begun_at = run.started_at + (report.first_s or 0)
            visit.pause_s = report.pause_s
        return report.ending

    def _break(
        self,
        visit: _Visit,
        run: Run,
        upstream: Upstream,
        fault: Fault,
    ) -> Waiting[None]:
        """Fail a run at its first event, or lose its answer for good."""
        if fault.kind == 'fail':
            self._service.cut(upstream, run, AttemptOutcome.failed)
            return
        left_s = visit.end_at - self._env.now
        yield run.ended | self._env.timeout(max(0, left_s))
        self._service.cut(upstream, run, AttemptOutcome.unknown)

    def _fault(
        self, visit: _Visit, upstream: Upstream, kinds: frozenset[str]
    ) -> Fault | None:
        number = engine_number(upstream)
        for fault in self._scenario.faults:
            if fault.kind not in kinds or number >= fault.count:
                continue
            if not fault.at_s <= self._env.now < fault.at_s + fault.for_s:
                continue
            if visit.rng.random() < fault.chance:
                return fault
        return None

    def _may_send_again(self, visit: _Visit, ending: AttemptOutcome) -> bool:
        visit.sends += 1
        if self._env.now >= visit.end_at or visit.sends >= _MAX_SENDS:
            self._release_retry(visit)
            return False
        if ending is AttemptOutcome.unsent:
            return True
        if ending is not AttemptOutcome.rejected:
            visit.runs += 1
            if visit.runs >= visit.arrival.kind.attempts:
                return False
        budget = self.budgets.of(visit.instance)
        visit.retry = budget.reserve(self._env.now)
        return visit.retry is not None

    def _record_retry(self, visit: _Visit) -> None:
        """Count a send that is a retry."""
        if visit.retry is not None:
            visit.retry.commit()
            # Emulated upstreams read at once.
            visit.retry.settle()
            visit.retry = None
            self.retries.append(self._env.now)

    def _release_retry(self, visit: _Visit) -> None:
        if visit.retry is not None:
            visit.retry.release()
            visit.retry = None

    def _judged(self, visit: _Visit) -> Outcome:
        kind = visit.arrival.kind
        late = visit.begun_at - visit.first_at > kind.objective_s
        paused = 0 < kind.pause_s < visit.pause_s
        return Outcome.late if late or paused else Outcome.in_time

    def _job(self, visit: _Visit) -> Job:
        arrival = visit.arrival
        kind = arrival.kind
        route = self._routes[kind.name]
        now = self._env.now
        left_s = visit.end_at - now
        since_s: float = 0
        if self._switches.first_tries:
            since_s = self._first_tries.elapsed_s(route, '', left_s, now)
        events_stated = arrival.events * kind.stated
        tokens = round(events_stated * self._scenario.engines.event_tokens)
        return Job(
            key=f'emulated/{next(self._keys)}',
            service=SERVICE,
            zone=ZONE,
            urgency=kind.urgency,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=tokens,
            asked_at=now,
            due_at=now - since_s + kind.objective_s,
            reject_at=now + max_queue_time_s(route, left_s),
            pause_s=kind.pause_s,
        )


class _Visit(msgspec.Struct):
    arrival: Arrival
    first_at: float
    rng: random.Random
    instance: int = 0
    group: int = 0
    waited_s: float = 0
    retry_after_s: float = 0
    sends: int = 0
    # Sends that an engine ran, and the reservation of the next send.
    runs: int = 0
    retry: RetryReservation | None = None
    begun_at: float = 0
    pause_s: float = 0

    @property
    def end_at(self) -> float:
        return self.first_at + self.arrival.kind.timeout_s


def _return_delay_s(visit: _Visit, now: float) -> float:
    honoured = visit.arrival.kind.honoured
    if honoured == 1:
        return visit.retry_after_s
    return min(visit.retry_after_s, honoured * (visit.end_at - now))


def _route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        host='emulated',
        prefix='/',
        kind=RouteKind.streaming,
        targets=(),
        timeout_s=kind.timeout_s,
        objective_s=kind.objective_s,
        priority=kind.urgency,
        attempts=kind.attempts,
        public=True,
        sticky=False,
        resumable=False,
        gap_s=kind.pause_s,
    )
