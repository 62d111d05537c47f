"""Rejection of queued jobs and retries of their callers.

Guards against these failures. Waits that leave out which urgency gets the slots
that are released, so that jobs queue that cannot be served in time. Refusals
whose cause an operator cannot see. A job that is refused after it ran.
"""

import math
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_core.events import Event
from tallyhall_dispatch.class_priority import ClassPriority
from tallyhall_dispatch.desired import Route, RouteKind, Upstream
from tallyhall_dispatch.first_attempts import FirstAttempts
from tallyhall_dispatch.forecast import Forecast
from tallyhall_dispatch.group import UpstreamGroup
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import ServicePool
from tallyhall_dispatch.rejection import (
    RejectDecision,
    RejectionCause,
    RejectionPolicy,
)
from tallyhall_dispatch.switches import ALL_ENABLED
from tallyhall_dispatch.urgency_stats import GrantRates, ServedFractions
from tallyhall_dispatch.wait_forecast import WaitForecast
from tallyhall_edge.request_log import RequestLog
from tallyhall_edge.scheduling import JobRejectedError
from tallyhall_entry.logs import EventLog
from tallyhall_entry.metrics import Metrics
from tallyhall_entry.telemetry import RequestTelemetry
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer_codec import (
    decode_give_up,
    encode_give_up,
)

from tests.platform.harness import PLAIN, deployment, log_stream, until

_DEADLINE_S = 0.5
_REJECT_S = 1.4
_TIMEOUT_S = 5.0


def _learned_priority() -> ClassPriority:
    """Return priorities in which urgency 2 defers to 0 and 1."""
    priority = ClassPriority(ServedFractions())
    for _ in range(20):
        for urgency, hold_s in ((0, 0.2), (1, 0.2), (2, 1.0)):
            priority.record_start(urgency)
            priority.record_end(urgency, hold_s)
    assert priority.is_deferring(2)
    return priority


def _policy(
    priority: ClassPriority, rates: GrantRates | None = None
) -> RejectionPolicy:
    rng = random.Random(1)
    group = UpstreamGroup(ALL_ENABLED, rng)
    group.set_upstreams([Upstream('u', 'svc', '', 1, 'a', 9, leaving=False)])
    waits = WaitForecast(
        rates or GrantRates(),
        priority,
        lambda urgency, now: priority.slot_limit(urgency, 9, now),
    )
    policy = RejectionPolicy(group, waits, priority, rng, ALL_ENABLED)
    policy.in_time_count = 3
    return policy


def _job(key: str, urgency: int, asked_at: float, age_s: float = 0) -> Job:
    """Return a job whose caller made its first attempt `age_s` ago."""
    return Job(
        key,
        'svc',
        'a',
        urgency,
        500,
        50,
        asked_at,
        asked_at - age_s + _DEADLINE_S,
        asked_at + _REJECT_S,
    )


def _forecast(now: float, rate: float = 40) -> Forecast:
    return Forecast(now, rate, 0.03, 0.00003)


def test_late_retry_is_rejected_at_once_while_others_can_be_in_time() -> None:
    """It would take the slot of a first attempt, which would then be late."""
    policy = _policy(_learned_priority())
    retry = _job('retry', 0, 0, age_s=1)
    rejection = policy.evaluate(retry, 0, _forecast(0))
    assert rejection is not None
    assert rejection.cause is RejectionCause.late
    policy.in_time_count = 0
    assert policy.evaluate(retry, 0, _forecast(0)) is None


def test_rejections_state_no_cause_if_no_urgency_defers() -> None:
    policy = _policy(ClassPriority(ServedFractions()))
    rejection = policy.evaluate(_job('late', 0, 0, age_s=1), 0, _forecast(0))
    assert rejection is not None
    assert rejection.cause is None
    assert 1 <= rejection.retry_after_s <= 3


def test_rejection_states_its_cause() -> None:
    policy = _policy(_learned_priority())
    late = _job('late', 2, -1)
    over_quota = msgspec.structs.replace(late, over_quota=True)
    excluded = msgspec.structs.replace(late, excluded=frozenset('u'))
    backing_off = msgspec.structs.replace(late, backoffs={'u': 9})
    for job, cause in (
        (late, RejectionCause.late),
        (over_quota, RejectionCause.over_quota),
        (excluded, RejectionCause.no_upstream),
        (backing_off, RejectionCause.no_upstream),
    ):
        rejection = policy.evaluate(job, 0, _forecast(0))
        assert rejection is not None
        assert rejection.cause is cause


def test_wait_at_the_slot_limit_counts_the_own_releases_only() -> None:
    """Slots that others release are not available beyond the limit."""
    priority = _learned_priority()
    rates = GrantRates()
    policy = _policy(priority, rates)
    job = _job('long', 2, 0)
    assert policy.evaluate(job, 0, _forecast(0)) is None
    # Nine slots are needed by urgency 0, so the limit is 0 and one run is
    # above it, which ends after 1 s.
    for _ in range(45):
        priority.record_arrival(0, 0)
    priority.record_start(2)
    rejection = policy.evaluate(job, 0, _forecast(0.1))
    assert rejection is not None
    assert rejection.forecast.wait_s == pytest.approx(1)


def test_wait_leaves_slots_to_jobs_that_are_served_first() -> None:
    """Late jobs come after all in time, deferring urgencies last."""
    rates = GrantRates()
    for _ in range(30):
        rates.record(1, 0, late=False)
    policy = _policy(_learned_priority(), rates)
    for urgency, expected_s in ((0, 16.4), (2, 16.4)):
        late = _job('late', urgency, -1)
        rejection = policy.evaluate(late, 163, _forecast(0))
        assert rejection is not None
        assert rejection.forecast.wait_s == pytest.approx(expected_s)


def test_causes_survive_encoding_and_decoding() -> None:
    """Unknown ones, of later versions, are left out."""
    for cause in (None, *RejectionCause):
        message = peers_pb2.GiveUp()
        encode_give_up(message, RejectDecision('k', 1, cause=cause))
        sent = message.SerializeToString()
        decoded = decode_give_up(peers_pb2.GiveUp.FromString(sent))
        assert decoded.cause is cause
    later = peers_pb2.GiveUp(key='k', cause='something_new')
    assert decode_give_up(later).cause is None


class _Recorder(RequestTelemetry):
    """Also keeps the fields of the events."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(EventLog(metrics.stream), metrics)
        self.fields: list[dict[str, object]] = []

    def event(self, event: Event, **fields: object) -> None:
        super().event(event, **fields)
        self.fields.append(fields)


def test_refusals_state_their_cause_where_an_urgency_defers() -> None:
    """Elsewhere the line of a refusal stays as it was."""
    metrics = Metrics(log_stream())
    recorder = _Recorder(metrics)
    for cause in (None, RejectionCause.no_slot):
        error = JobRejectedError(RejectDecision('k', 1, cause=cause))
        RequestLog(recorder).refused('id', error.refusal, error, is_retry=True)
    before, stated = recorder.fields
    assert not {'retry', 'cause'} & before.keys()
    assert stated['retry'] is True
    assert stated['cause'] == 'no_slot'
    assert metrics.rejections == {'no_slot': 1}
    assert metrics.refusals == {'deadline_unreachable': 2}


def test_retries_are_counted_by_outcome() -> None:
    metrics = Metrics(log_stream())
    telemetry = RequestTelemetry(EventLog(metrics.stream), metrics)
    for outcome, is_retry in (
        ('answered', True),
        ('answered', False),
        ('deadline_unreachable', True),
    ):
        telemetry.record_request_end(outcome, 1, 'streaming', is_retry=is_retry)
    assert metrics.retries == {'answered': 1, 'deadline_unreachable': 1}


def _route() -> Route:
    return Route(
        name='r',
        host='h',
        prefix='/',
        kind=RouteKind.streaming,
        targets=(),
        timeout_s=_TIMEOUT_S,
        objective_s=_DEADLINE_S,
        priority=0,
        attempts=1,
        public=True,
        sticky=False,
        resumable=False,
        gap_s=0,
    )


def test_missing_and_wrong_timeouts_make_no_retry() -> None:
    attempts = FirstAttempts()
    route = _route()
    assert not attempts.elapsed_s(route, 'w', 5, 0)
    # Missing, above that of the route, and that of another workspace.
    assert not attempts.elapsed_s(route, 'w', None, 1)
    assert not attempts.elapsed_s(route, 'w', 50, 1)
    assert not attempts.elapsed_s(route, 'x', 4, 1)
    assert attempts.elapsed_s(route, 'w', 4, 1) == 1


class _PoolRun:
    """A pool with learned hold times, and what became of its jobs."""

    def __init__(self, slots: int, seed: int = 1) -> None:
        self.granted: dict[str, float] = {}
        self.rejected: dict[str, RejectDecision] = {}
        self._jobs: dict[str, Job] = {}
        self._ends: list[tuple[float, str, float]] = []
        self.pool = ServicePool('svc', 5, random.Random(seed))
        upstream = Upstream('u', 'svc', '', 1, 'a', slots, leaving=False)
        self.pool.set_upstreams([upstream])
        for number in range(63):
            self.add(_job(f'learn-{number}', number % 3, -100), -100)
            self.end_runs(0)
        assert self.pool.class_priority.is_deferring(2)

    def add(self, job: Job, now: float) -> None:
        """Queue a job and decide."""
        self._jobs[job.key] = job
        self.pool.enqueue(job)
        self.decide(now)

    def decide(self, now: float) -> None:
        """Decide; a job gets one decision, so none is refused after it ran."""
        for decision in self.pool.decide(now):
            assert decision.key not in self.granted
            assert decision.key not in self.rejected
            if isinstance(decision, RejectDecision):
                self.rejected[decision.key] = decision
                continue
            self.granted[decision.key] = now
            urgency = self._jobs[decision.key].urgency
            hold_s = 1 if urgency == 2 else 0.2
            self._ends.append((now + hold_s, decision.key, hold_s))
        self._ends.sort()

    def end_runs(self, now: float) -> None:
        """End the runs whose time is over, and decide after each."""
        while self._ends and self._ends[0][0] <= now:
            at, key, hold_s = self._ends.pop(0)
            report = RunReport(
                AttemptOutcome.answered, hold_s, 0.05, 9, hold_s - 0.05
            )
            self.pool.finish(key, report, at)
            self.decide(at)

    def run(self, jobs: list[tuple[float, Job]], until: float) -> None:
        """Add jobs at their times; decide every 20 ms as instances do."""
        waiting = sorted(jobs, key=lambda one: one[0], reverse=True)
        for tick in range(round(until * 50)):
            now = tick / 50
            self.end_runs(now)
            while waiting and waiting[-1][0] <= now:
                self.add(waiting.pop()[1], now)
            self.decide(now)
        self.end_runs(until)


def _load(
    per_s: float, from_s: float, to_s: float, urgency: int = 0
) -> list[tuple[float, Job]]:
    """Return first attempts at equal intervals."""
    times = [
        from_s + number / per_s
        for number in range(int((to_s - from_s) * per_s))
    ]
    return [
        (at, _job(f'first-{urgency}-{at:.4f}', urgency, at)) for at in times
    ]


def _retries(
    per_s: float, from_s: float, to_s: float
) -> list[tuple[float, Job]]:
    times = [
        from_s + number / per_s
        for number in range(int((to_s - from_s) * per_s))
    ]
    return [(at, _job(f'retry-{at:.4f}', 0, at, age_s=1)) for at in times]


def _keys(jobs: list[tuple[float, Job]]) -> set[str]:
    return {job.key for _, job in jobs}


def test_retries_are_rejected_early_in_a_burst_that_lasts() -> None:
    """They are not held until the caller's timeout, but told to return."""
    run = _PoolRun(10)
    retries = _retries(20, 1, 4)
    run.run(_load(80, 0, 6) + retries, 6)
    rejected = _keys(retries) & run.rejected.keys()
    assert len(rejected) > 40
    assert all(run.rejected[key].retry_after_s >= 0.25 for key in rejected)


def test_callers_that_retry_often_do_not_delay_others() -> None:
    """Late retries wait behind first attempts, which only wait for their runs.

    A run is not preempted, so some of 40 first attempts a second wait longer
    beside 300 retries a second. Ten slots run 50 requests a second.
    """
    load = _load(40, 0, 5)
    alone, beside = _PoolRun(10), _PoolRun(10)
    alone.run(load, 5)
    beside.run(load + _retries(300, 0, 5), 5)
    served = [
        sum(run.granted.get(job.key, math.inf) - at < 0.4 for at, job in load)
        for run in (alone, beside)
    ]
    assert served[0] == len(load)
    assert served[1] > 0.95 * len(load)
    # Unbounded, the queue would hold 420 retries; 70 can start in time.
    assert beside.pool.waiting < 140


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10_000))
def test_no_job_is_refused_after_it_ran(seed: int) -> None:
    """Over random loads, each job gets one decision, and gets it in time."""
    rng = random.Random(seed)
    run = _PoolRun(rng.randrange(1, 12), seed)
    jobs = []
    for number in range(200):
        at = rng.uniform(0, 3)
        age_s = rng.choice((0, 0, rng.uniform(0.25, 4)))
        job = _job(f'job-{number}', rng.randrange(3), at, age_s)
        jobs.append((at, job))
    run.run(jobs, 6)
    assert not run.pool.waiting
    for at, job in jobs:
        assert (job.key in run.granted) != (job.key in run.rejected)
        assert run.granted.get(job.key, at) <= job.reject_at


async def test_requests_with_less_time_than_others_are_retries() -> None:
    """The instance that holds the request counts what becomes of them."""
    async with deployment(1) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        metrics = made.instances[0]._metrics
        for number, deadline_ms in enumerate((1000, 1000, 600)):
            assert not metrics.retries
            answer = await made.caller().ask(
                '/safe/x',
                f'r{number}',
                X_Tallyhall_Deadline_Ms=str(deadline_ms),
            )
            assert answer.status == 200
        await until(lambda: metrics.retries == {'answered': 1})
