"""Urgencies that hold slots much longer than more urgent ones defer to them."""

import json
import os
import pathlib
import random
import time

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_core.events import Event
from tallyhall_dispatch.class_priority import ClassPriority, held_s
from tallyhall_dispatch.desired import (
    DesiredState,
    Limits,
    Service,
    Upstream,
)
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import Decision, GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_dispatch.switches import ALL_ENABLED
from tallyhall_dispatch.urgency_stats import ServedFractions
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_entry.exposition import exposed
from tallyhall_entry.logs import EventLog, setup_logging
from tallyhall_entry.metrics import Metrics
from tallyhall_entry.reports import Reports
from tallyhall_platform.call_counts import CallCounts

_EVENT_TOKENS = 5
# Mean hold times of deployment A in docs/HARD-LOAD.md, by urgency.
_HOLDS_S = (0.44, 0.29, 1.26)
_DEFERRING = 2
_RUNS = 20
_UPSTREAMS = 2
_SLOTS = 3


def _upstream(name: str, slots: int = _SLOTS) -> Upstream:
    return Upstream(name, 'svc', '127.0.0.1', 1, 'a', slots, leaving=False)


def _job(key: str, urgency: int, now: float, **changes: bool | float) -> Job:
    job = Job(key, 'svc', 'a', urgency, 0, 50, now, now + 0.8, now + 3)
    return msgspec.structs.replace(job, **changes)


def _answered(total_s: float) -> RunReport:
    return RunReport(AttemptOutcome.answered, total_s, 0.05, 9, 0.1)


def _pool(slots: int = _SLOTS, *, enabled: bool = True) -> ServicePool:
    switches = msgspec.structs.replace(ALL_ENABLED, class_priority=enabled)
    pool = ServicePool('svc', _EVENT_TOKENS, random.Random(1), switches)
    pool.set_upstreams(
        [_upstream(f'u{number}', slots) for number in range(_UPSTREAMS)]
    )
    return pool


def _learn(pool: ServicePool, *holds_s: float) -> None:
    """Complete as many runs of each urgency as make its hold time known."""
    for urgency, hold_s in enumerate(holds_s):
        for number in range(_RUNS):
            key = f'learn/{urgency}/{number}'
            pool.add_running(_job(key, urgency, 0), 'u0')
            pool.finish(key, _answered(hold_s), 0)


def _granted(decisions: list[Decision]) -> list[str]:
    return [
        decision.key
        for decision in decisions
        if isinstance(decision, GrantDecision)
    ]


def _priority(fractions: ServedFractions | None = None) -> ClassPriority:
    return ClassPriority(fractions or ServedFractions())


def _record_runs(
    priority: ClassPriority, urgency: int, hold_s: float, runs: int = _RUNS
) -> None:
    for _ in range(runs):
        priority.record_start(urgency)
        priority.record_end(urgency, hold_s)


# -- which urgencies defer


def test_nothing_defers_before_both_hold_times_are_known() -> None:
    """A single long run must not reorder a service."""
    priority = _priority()
    _record_runs(priority, 0, 0.4)
    _record_runs(priority, 1, 2, _RUNS - 1)
    assert not priority.is_deferring(1)
    _record_runs(priority, 1, 2, 1)
    assert priority.has_deferring
    assert priority.is_deferring(1)
    assert not priority.is_deferring(0)


def test_urgency_defers_from_twice_the_hold_time_on() -> None:
    priority = _priority()
    _record_runs(priority, 0, 0.5)
    _record_runs(priority, 1, 0.99)
    _record_runs(priority, 2, 1)
    assert [priority.is_deferring(urgency) for urgency in range(3)] == [
        False,
        False,
        True,
    ]


def test_more_urgent_class_never_defers() -> None:
    """The least urgent class may be the shortest one."""
    priority = _priority()
    for urgency, hold_s in enumerate((1.8, 1.2, 0.16)):
        _record_runs(priority, urgency, hold_s)
    assert not priority.has_deferring


def test_small_variations_do_not_stop_a_deferral() -> None:
    """Near the threshold, each run would change the order otherwise."""
    priority = _priority()
    _record_runs(priority, 0, 0.5)
    _record_runs(priority, 1, 1)
    _record_runs(priority, 1, 0.91, 300)
    assert priority.is_deferring(1)
    _record_runs(priority, 1, 0.8, 300)
    assert not priority.is_deferring(1)
    changes = priority.take_changes()
    assert [change.is_deferring for change in changes] == [True, False]
    assert changes[1].hold_s < 0.9
    assert changes[1].other_hold_s == 0.5
    assert not priority.take_changes()


def test_hold_time_follows_about_a_hundred_runs() -> None:
    """The first run must not dominate the mean of the first hundred."""
    priority = _priority()
    _record_runs(priority, 0, 10, 1)
    _record_runs(priority, 0, 1, 99)
    assert 1.08 < (priority.mean_hold_s(0) or 0) < 1.1
    _record_runs(priority, 0, 2, 100)
    assert 1.6 < (priority.mean_hold_s(0) or 0) < 1.7


def test_only_requests_that_ran_count_towards_the_hold_time() -> None:
    """Refused connections would make an urgency look short."""
    for ending in AttemptOutcome:
        ran = ending not in {
            AttemptOutcome.unsent,
            AttemptOutcome.withheld,
            AttemptOutcome.no_path,
            AttemptOutcome.rejected,
            AttemptOutcome.misplaced,
        }
        assert held_s(RunReport(ending, 0.3)) == (0.3 if ran else None)


# -- order and slot limit


def test_deferring_urgencies_go_last_unless_starved() -> None:
    fractions = ServedFractions()
    priority = _priority(fractions)
    for urgency, hold_s in enumerate((0.3, 0.3, 1, 2)):
        _record_runs(priority, urgency, hold_s)
    for _ in range(40):
        fractions.record(1, served=False)
        fractions.record(2, served=False)
    assert priority.order([3, 2, 1, 0]) == [0, 1, 2, 3]
    for _ in range(150):
        fractions.record(2, served=False)
    assert priority.order([3, 2, 1, 0]) == [0, 2, 1, 3]
    assert priority.is_deferring(2)


def test_slot_limit_is_what_more_urgent_classes_do_not_need() -> None:
    fractions = ServedFractions()
    priority = _priority(fractions)
    for urgency, hold_s in enumerate(_HOLDS_S):
        _record_runs(priority, urgency, hold_s)
    for number in range(100):
        priority.record_arrival(0, number / 100)
        priority.record_arrival(1, number / 100)
    # 100 x 0.44 + 100 x 0.29 of 180 slots are needed.
    assert priority.slot_limit(_DEFERRING, 180, 0.99) == 107
    assert priority.slot_limit(0, 180, 0.99) == 180
    assert priority.slot_limit(_DEFERRING, 70, 0.99) == 0
    assert priority.slot_limit(_DEFERRING, 180, 3) == 180
    for _ in range(150):
        fractions.record(_DEFERRING, served=False)
    assert priority.slot_limit(_DEFERRING, 70, 0.99) == 70


def test_deferring_urgency_gets_the_only_slot_if_it_is_mostly_idle() -> None:
    """A limit rounded down to 0 would starve it on a small service."""
    priority = _priority()
    for urgency, hold_s in enumerate(_HOLDS_S):
        _record_runs(priority, urgency, hold_s)
    priority.record_arrival(0, 1)
    assert priority.slot_limit(_DEFERRING, 1, 1) == 1


def test_pool_counts_arrivals_within_the_quota_only() -> None:
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    for number in range(4):
        pool.enqueue(_job(f'over{number}', 0, 1, over_quota=True))
    pool.decide(1)
    assert pool.slot_limit(_DEFERRING, 1) == 6
    for number in range(4):
        pool.enqueue(_job(f'in{number}', 0, 1))
    pool.decide(1)
    # 4 x 0.44 slots are needed.
    assert pool.slot_limit(_DEFERRING, 1) == 5


def test_instance_that_decides_alone_limits_its_share_of_the_slots() -> None:
    pool = _pool(slots=4)
    _learn(pool, *_HOLDS_S)
    pool.apply_share(0.5)
    assert pool.slot_limit(_DEFERRING, 1) == 4


def test_long_runs_leave_the_slots_for_urgent_arrivals() -> None:
    """Without a limit, long runs fill the gaps between urgent arrivals."""
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    for number in range(9):
        key = f'urgent{number}'
        pool.enqueue(_job(key, 0, 1))
        pool.decide(1)
        pool.finish(key, _answered(0.44), 1)
        pool.dequeue(key)
    for number in range(6):
        pool.enqueue(_job(f'long{number}', _DEFERRING, 1.1))
    # 9 x 0.44 of 6 slots are needed.
    assert _granted(pool.decide(1.1)) == ['long0', 'long1', 'long2']
    pool.enqueue(_job('new', 0, 1.1))
    assert _granted(pool.decide(1.1)) == ['new']


def test_late_job_goes_before_a_deferring_one_in_time() -> None:
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    for number in range(5):
        pool.add_running(_job(f'runs{number}', 1, 0.9), f'u{number // 3}')
    pool.enqueue(_job('long', _DEFERRING, 1))
    pool.enqueue(_job('late', 1, 1, due_at=0.9))
    assert _granted(pool.decide(1)) == ['late']


def test_late_job_gets_the_last_slot_before_a_deferring_one() -> None:
    """Late jobs leave slots free for arrivals, not for deferring jobs."""
    pool = _pool(slots=10)
    _learn(pool, *_HOLDS_S)
    for number in range(19):
        pool.add_running(_job(f'runs{number}', 1, 0.9), f'u{number // 10}')
    pool.enqueue(_job('late', 1, 1, due_at=0.9))
    assert not _granted(pool.decide(1))
    pool.enqueue(_job('long', _DEFERRING, 1))
    assert _granted(pool.decide(1)) == ['late']


def test_starved_urgency_is_lifted_only_up_to_its_floor() -> None:
    """One response in time ends the exception, also within a pass."""
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    for number in range(6):
        pool.add_running(_job(f'runs{number}', 1, 0), f'u{number // 3}')
    # The moving average of 149 refused jobs is 0.98 ** 149 = 0.0493.
    for number in range(149):
        refused = _job(f'refused{number}', _DEFERRING, 1, reject_at=1)
        pool.enqueue(refused)
        assert len(pool.decide(1)) == 1
    for number in range(3):
        pool.finish(f'runs{number}', _answered(_HOLDS_S[1]), 1)
    pool.enqueue(_job('late', 1, 1, due_at=0.9))
    pool.enqueue(_job('long0', _DEFERRING, 1))
    pool.enqueue(_job('long1', _DEFERRING, 1))
    assert _granted(pool.decide(1)) == ['long0', 'late', 'long1']


def test_many_free_slots_go_to_the_urgent_jobs_first() -> None:
    """After a loss of all upstreams, the whole queue meets free slots.

    The bound for the number of jobs considered in one pass let deferring jobs
    start before the thirteenth urgent one.
    """
    pool = _pool(slots=10)
    _learn(pool, *_HOLDS_S)
    for number in range(30):
        pool.enqueue(_job(f'long{number}', _DEFERRING, 1))
        pool.enqueue(_job(f'urgent{number:02}', 0, 1))
    granted = _granted(pool.decide(1))
    assert granted == [f'urgent{number:02}' for number in range(20)]


# -- properties


class _Load:
    """A random load on a pool, checked after each decision."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._pool = _pool()
        _learn(self._pool, *_HOLDS_S)
        self._running: set[str] = set()
        self._queued: dict[str, Job] = {}
        self._now = 1.0

    def step(self, number: int) -> None:
        self._now += self._rng.random() * 0.1
        for copy in range(self._rng.randrange(3)):
            job = self._random_job(f'j{number}/{copy}')
            self._queued[job.key] = job
            self._pool.enqueue(job)
        for key in sorted(self._running):
            if self._rng.random() < 0.08:
                self._running.remove(key)
                urgency = int(key.rsplit('/', 1)[1])
                report = _answered(_HOLDS_S[urgency])
                self._pool.finish(key, report, self._now)
        self._check()

    def _random_job(self, key: str) -> Job:
        urgency = self._rng.randrange(3)
        job = _job(f'{key}/{urgency}', urgency, self._now)
        if self._rng.random() < 0.3:
            return msgspec.structs.replace(job, due_at=self._now)
        return job

    def _check(self) -> None:
        priority = self._pool.class_priority
        was_last = priority.goes_last(_DEFERRING)
        decisions = self._pool.decide(self._now)
        decided = [self._queued.pop(one.key) for one in decisions]
        granted = set(_granted(decisions))
        self._running |= granted
        deferring_started = any(
            job.key in granted and job.urgency == _DEFERRING for job in decided
        )
        if was_last and deferring_started:
            rejected = [job for job in decided if job.key not in granted]
            passed = (*rejected, *self._queued.values())
            assert {job.urgency for job in passed} <= {_DEFERRING}
        if self._queued and self._pool.upstreams.free(self._now):
            # Only the slot limit holds jobs back.
            limit = self._pool.slot_limit(_DEFERRING, self._now)
            assert priority.running(_DEFERRING) >= limit
            assert {job.urgency for job in self._queued.values()} == {
                _DEFERRING
            }


@settings(deadline=None)
@given(st.integers(0, 10_000))
def test_no_urgent_job_is_passed_and_no_slot_idles(seed: int) -> None:
    """A deferring job starts only if no other job could.

    No slot stays free while a queued job could use it, except because of the
    slot limit.
    """
    load = _Load(seed)
    for number in range(150):
        load.step(number)


@settings(deadline=None)
@given(st.integers(0, 10_000), st.floats(0.3, 1.9))
def test_without_a_deferring_urgency_decisions_are_the_same(
    seed: int, ratio: float
) -> None:
    """The addition must not affect deployments with similar hold times."""
    rng = random.Random(seed)
    pools = [_pool(), _pool(enabled=False)]
    running: list[str] = []
    now: float = 0
    for number in range(150):
        now += rng.random() * 0.05
        late = rng.random() < 0.3
        job = _job(f'{number}', rng.randrange(2), now)
        job = msgspec.structs.replace(job, due_at=now if late else job.due_at)
        ended = rng.choice(running) if len(running) > 3 else ''
        found: list[list[Decision]] = []
        for pool in pools:
            if ended:
                hold_s = ratio if int(ended) % 2 else 1.0
                pool.finish(ended, _answered(hold_s), now)
            pool.enqueue(job)
            found.append(pool.decide(now))
        if ended:
            running.remove(ended)
        running.extend(_granted(found[0]))
        assert found[0] == found[1]


# -- failures


def test_loss_of_all_upstreams_keeps_the_counts() -> None:
    """Runs on lost upstreams must not count for ever."""
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    for number in range(3):
        pool.enqueue(_job(f'long{number}', _DEFERRING, 1))
    assert len(_granted(pool.decide(1))) == 3
    pool.set_upstreams([])
    assert pool.slot_limit(_DEFERRING, 1) == 0
    pool.enqueue(_job('urgent', 0, 1))
    pool.enqueue(_job('long', _DEFERRING, 1))
    assert all(
        isinstance(decision, RejectDecision) for decision in pool.decide(1.1)
    )
    for number in range(3):
        broken = RunReport(AttemptOutcome.broken, 0.1)
        pool.finish(f'long{number}', broken, 1.1)
    assert not pool.class_priority.running(_DEFERRING)
    pool.set_upstreams([_upstream('new')])
    pool.enqueue(_job('after', _DEFERRING, 1.2))
    assert _granted(pool.decide(1.2)) == ['after']


def test_runs_of_a_lost_instance_are_not_counted() -> None:
    pool = _pool()
    _learn(pool, *_HOLDS_S)
    pool.add_running(_job('lost/1', _DEFERRING, 1), 'u0')
    pool.add_running(_job('kept/1', _DEFERRING, 1), 'u0')
    pool.remove_jobs('lost/')
    assert pool.class_priority.running(_DEFERRING) == 1


def test_job_that_is_granted_again_counts_once() -> None:
    """An instance asks again if the grant is lost.

    A run that is never taken off the count would lower what its urgency may
    start until the instance restarts.
    """
    pool = _pool()
    for _ in range(2):
        pool.enqueue(_job('long', _DEFERRING, 1))
        assert _granted(pool.decide(1)) == ['long']
    assert pool.class_priority.running(_DEFERRING) == 1
    pool.finish('long', _answered(1), 2)
    assert pool.class_priority.running(_DEFERRING) == 0


def test_new_owner_decides_as_before_until_it_has_learned() -> None:
    """It has no hold times, and counts the runs that it is told of."""
    pool = _pool()
    for number in range(4):
        key = f'long{number}'
        pool.add_running(_job(key, _DEFERRING, 0), f'u{number // 3}')
    pool.add_running(_job('urgent', 0, 0), 'u1')
    pool.enqueue(_job('late', 1, 1, due_at=0.9))
    pool.enqueue(_job('long', _DEFERRING, 1))
    assert not pool.class_priority.is_deferring(_DEFERRING)
    assert _granted(pool.decide(1)) == ['long']
    _learn(pool, *_HOLDS_S)
    assert pool.class_priority.is_deferring(_DEFERRING)
    assert pool.class_priority.running(_DEFERRING) == 5


# -- observability


async def test_deferral_is_logged_and_in_the_metrics(
    tmp_path: pathlib.Path,
) -> None:
    """Operators see which urgency defers, and both hold times."""
    path = tmp_path / 'log'
    writer = os.open(path, os.O_WRONLY | os.O_CREAT)
    stream = setup_logging('test', time.monotonic, writer)
    metrics = Metrics(stream)
    reports = Reports('test', CallCounts(), EventLog(stream), metrics)
    dispatcher = Dispatcher(random.Random(1))
    dispatcher.apply_state(
        DesiredState(
            1,
            (),
            {'svc': Service('svc', 0, _EVENT_TOKENS)},
            Limits(0, 0, 0, 0),
            {},
            {},
            checks_keys=False,
        )
    )
    dispatcher.apply_upstreams((_upstream('u0'),))
    reports.update_urgencies(dispatcher, 1)
    assert b'tallyhall_slot_limit{' not in exposed(metrics)
    _learn(dispatcher.pools['svc'], 0.5, 0.5, 1.5)
    reports.update_urgencies(dispatcher, 1)
    reports.update_urgencies(dispatcher, 1)
    os.close(writer)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    fields = ('service', 'urgency', 'other', 'hold_s', 'other_hold_s')
    assert [
        tuple(line[name] for name in fields)
        for line in lines
        if line['number'] == Event.deferral_changed and line['is_deferring']
    ] == [('svc', 2, 0, 1.5, 0.5), ('svc', 2, 1, 1.5, 0.5)]
    text = exposed(metrics).decode()
    assert 'tallyhall_slot_limit{service="svc",urgency="2"} 3.0' in text
    assert 'tallyhall_running_requests{service="svc",urgency="0"} 0.0' in text
