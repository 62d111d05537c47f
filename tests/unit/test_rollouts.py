"""Rollouts: versions in use, canary analysis and the exposure limit."""

import random
from collections.abc import Callable, Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.evidence import CanaryAnalysis
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rollout import (
    BLOCK_VALID_S,
    Rollout,
    RolloutBounds,
    RolloutRecord,
    Stage,
)
from tallyhall_dispatch.versions import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    ServiceVersions,
)

_BOUNDS = RolloutBounds(0.1, 50)
_ORDER = RolloutOrder('svc', 'v2', 16, 10)
_GOOD = RunReport(AttemptOutcome.answered, 0.2, 0.05, 8, 0.14)
_SLOW = RunReport(AttemptOutcome.answered, 1.6, 0.4, 8, 1.12)
_FAILED = RunReport(AttemptOutcome.failed, 0.05)
_CUT = RunReport(AttemptOutcome.broken, 0.05)
_PER_S = 80
_SEEDS = range(20)


def _upstream(name: str, version: str) -> Upstream:
    return Upstream(name, 'svc', '', 1, 'a', 4, leaving=False, version=version)


def _both() -> tuple[Upstream, ...]:
    return tuple(
        _upstream(f'{version}-{number}', version)
        for version in ('v1', 'v2')
        for number in range(3)
    )


def _job(key: str, route: str = 'r', *, once: bool = False) -> Job:
    return Job(
        key, 'svc', 'a', 0, 100, 30, 0, 5, 5, route=route, non_idempotent=once
    )


def _status(state: RolloutState, revision: int = 11) -> RolloutStatus:
    return RolloutStatus('v2', state, revision)


def _versions_by_use(
    versions: ServiceVersions, now: float = 1
) -> dict[str, set[str]]:
    """Return the versions in use, the canaries and the excluded ones."""
    taking: dict[str, set[str]] = {'used': set(), 'canary': set(), 'out': set()}
    for one in versions.classify(_both(), now):
        kind = 'canary' if one.canary else 'used'
        taking['out' if one.leaving else kind].add(one.version)
    return taking


def _known() -> ServiceVersions:
    versions = ServiceVersions()
    versions.classify(_both()[:3], 0)
    return versions


# -- versions


def test_version_without_an_order_gets_no_requests() -> None:
    assert _versions_by_use(_known()) == {
        'used': {'v1'},
        'canary': set(),
        'out': {'v2'},
    }


def test_target_is_a_canary_while_its_order_is_in_progress() -> None:
    versions = _known()
    versions.order = _ORDER
    for status in (None, _status(RolloutState.running)):
        versions.status = status
        taking = _versions_by_use(versions)
        assert taking == {'used': {'v1'}, 'canary': {'v2'}, 'out': set()}


@pytest.mark.parametrize(
    ('state', 'used'),
    [(RolloutState.completed, 'v2'), (RolloutState.rolled_back, 'v1')],
)
def test_final_status_leaves_one_version(
    state: RolloutState, used: str
) -> None:
    for versions in (_known(), ServiceVersions()):
        versions.order = _ORDER
        versions.status = _status(state)
        taking = _versions_by_use(versions)
        assert taking['used'] == {used}
        assert not taking['canary']


def test_status_older_than_the_order_is_ignored() -> None:
    versions = _known()
    versions.order = _ORDER
    versions.status = _status(RolloutState.rolled_back, revision=9)
    assert _versions_by_use(versions)['canary'] == {'v2'}


def test_another_version_is_used_once_the_accepted_one_is_gone() -> None:
    versions = _known()
    new = _both()[3:]
    assert all(one.leaving for one in versions.classify(new, 1))
    assert all(one.leaving for one in versions.classify(new, 4))
    assert versions.is_outdated(6)
    assert not any(one.leaving for one in versions.classify(new, 6))


def test_rolled_back_version_is_never_used_for_lack_of_others() -> None:
    versions = _known()
    versions.order = _ORDER
    versions.status = _status(RolloutState.rolled_back)
    for now in (1, 10, 100):
        assert all(one.leaving for one in versions.classify(_both()[3:], now))


@pytest.mark.parametrize('wait_s', [1, 9])
def test_version_that_appears_waits_for_an_order(wait_s: float) -> None:
    versions = _known()
    for now in (1, 1 + wait_s):
        assert _versions_by_use(versions, now)['used'] == {'v1'}
    versions.order = _ORDER
    assert _versions_by_use(versions, 1 + wait_s)['canary'] == {'v2'}


def test_versions_that_no_order_names_serve_side_by_side() -> None:
    versions = _known()
    _versions_by_use(versions, 1)
    assert versions.is_outdated(11)
    assert _versions_by_use(versions, 11)['used'] == {'v1', 'v2'}


def test_instance_that_starts_last_does_not_take_the_newer_version() -> None:
    created = {'v1': 7, 'v2': 9}
    upstreams = [
        msgspec.structs.replace(one, created=created[one.version])
        for one in (*_both(), _upstream('v2-3', 'v2'))
    ]
    marked = ServiceVersions().classify(upstreams, 1)
    assert {one.version for one in marked if not one.leaving} == {'v1'}


def test_target_of_a_withdrawn_order_gets_nothing_until_its_limit() -> None:
    versions = _known()
    versions.order = _ORDER
    assert _versions_by_use(versions, 1)['canary'] == {'v2'}
    versions.order = None
    for now in (5, 20):
        assert _versions_by_use(versions, now)['used'] == {'v1'}
    assert _versions_by_use(versions, 22)['used'] == {'v1', 'v2'}


def test_version_that_comes_after_a_completed_rollout_serves_beside_it() -> (
    None
):
    versions = ServiceVersions()
    versions.order = _ORDER
    versions.status = _status(RolloutState.completed)
    later = msgspec.structs.replace(_upstream('v3-0', 'v3'), created=12)
    for now in (1, 20):
        marked = versions.classify((*_both()[3:], later), now)
    assert not any(one.leaving for one in marked)


def test_new_version_begins_no_streams_that_may_resume_at_once() -> None:
    versions = ServiceVersions(has_rollouts=False)
    versions.classify(_both()[:3], 0)
    for now, is_new in ((10, True), (13, True), (14, False)):
        marked = versions.classify(_both(), now)
        assert not any(one.leaving for one in marked)
        assert {one.is_new for one in marked if one.version == 'v2'} == {is_new}
        assert not any(one.is_new for one in marked if one.version == 'v1')


def test_new_version_serves_at_once_if_no_other_is_left() -> None:
    versions = ServiceVersions(has_rollouts=False)
    versions.classify(_both()[:3], 0)
    marked = versions.classify(_both()[3:], 10)
    assert not any(one.leaving or one.is_new for one in marked)


def _new_of(
    versions: ServiceVersions, upstreams: Iterable[Upstream], now: float
) -> set[str]:
    marked = versions.classify(upstreams, now)
    return {one.version for one in marked if one.is_new}


def test_target_of_an_order_begins_no_stream_that_a_late_view_misplaces() -> (
    None
):
    versions = _known()
    versions.order = _ORDER
    assert _new_of(versions, _both(), 1) == {'v2'}
    assert _new_of(versions, _both(), 4.5) == {'v2'}
    assert not _new_of(versions, _both(), 4.7)


def test_new_run_begins_no_stream_at_a_version_that_may_be_new() -> None:
    versions = ServiceVersions(has_rollouts=False)
    created = {'v1': 7, 'v2': 9}
    upstreams = [
        msgspec.structs.replace(one, created=created[one.version])
        for one in _both()
    ]
    assert _new_of(versions, upstreams, 1) == {'v2'}
    assert not _new_of(versions, upstreams, 4.7)


def test_no_stream_begins_at_a_new_version_while_the_old_one_drains() -> None:
    versions = ServiceVersions(has_rollouts=False)
    versions.classify(_both()[:3], 0)
    drained = [
        msgspec.structs.replace(one, leaving=one.version == 'v1')
        for one in _both()
    ]
    assert _new_of(versions, drained, 10) == {'v2'}
    assert not _new_of(versions, drained, 13.7)


# -- evidence


def _analyzed(
    canary: Callable[[random.Random, float, str], RunReport],
    others: Callable[[random.Random], RunReport],
    seed: int,
    seconds: float = 15,
) -> CanaryAnalysis:
    """Record 80 responses per second, 5 of them from canaries."""
    rng = random.Random(seed)
    analysis = CanaryAnalysis()
    for number in range(int(seconds * _PER_S)):
        now = number / _PER_S
        route = rng.choice(('a', 'b', 'c'))
        is_canary = number % 16 == 0
        report = canary(rng, now, route) if is_canary else others(rng)
        upstream = f'{is_canary}-{rng.randrange(6)}'
        job = _job(str(number), route)
        analysis.record(job, upstream, report, now, canary=is_canary)
        analysis.check_speed()
    return analysis


def _sound(rng: random.Random) -> RunReport:
    return _FAILED if rng.random() < 0.01 else _GOOD


def _good(rng: random.Random, now: float, route: str) -> RunReport:
    return _sound(rng)


def _failing(rng: random.Random) -> RunReport:
    return _FAILED if rng.random() < 0.4 else _GOOD


def _failing_as_others(rng: random.Random, now: float, route: str) -> RunReport:
    return _failing(rng)


def _failing_often(rng: random.Random, now: float, route: str) -> RunReport:
    return _FAILED if rng.random() < 0.3 else _GOOD


def _failing_late(rng: random.Random, now: float, route: str) -> RunReport:
    return _failing_often(rng, now, route) if now > 6 else _GOOD


def _failing_on_one_route(
    rng: random.Random, now: float, route: str
) -> RunReport:
    return _failing_often(rng, now, route) if route == 'a' else _GOOD


def _sometimes_slow(rng: random.Random, now: float, route: str) -> RunReport:
    return _SLOW if rng.random() < 0.3 else _GOOD


def _always_slow(rng: random.Random, now: float, route: str) -> RunReport:
    return _SLOW


@pytest.mark.parametrize(
    'bad',
    [
        _failing_often,
        _failing_late,
        _failing_on_one_route,
        _sometimes_slow,
        _always_slow,
    ],
)
def test_bad_version_is_detected(
    bad: Callable[[random.Random, float, str], RunReport],
) -> None:
    found = [_analyzed(bad, _sound, seed).rejection_reason for seed in _SEEDS]
    # Only a third of the responses on one of three routes fail, within 15 s.
    least = 18 if bad is _failing_on_one_route else 20
    assert sum(cause is not None for cause in found) >= least


def test_good_version_is_not_rejected() -> None:
    found = [_analyzed(_good, _sound, seed).rejection_reason for seed in _SEEDS]
    assert found == [None] * len(_SEEDS)


def test_common_fault_does_not_reject_the_canary() -> None:
    found = [_analyzed(_failing_as_others, _failing, seed) for seed in _SEEDS]
    assert sum(one.rejection_reason is not None for one in found) <= 1


def test_crash_of_an_upstream_counts_as_one_bad_answer() -> None:
    analysis = CanaryAnalysis()
    for number in range(9):
        analysis.record(_job(str(number)), 'u', _CUT, 1, canary=True)
    assert analysis.bad == 1
    assert analysis.rejection_reason is None


# -- exposure


class _Fleet:
    """Instances that lead successively or concurrently, and the store."""

    def __init__(self) -> None:
        self.now: float = 0
        self.record = RolloutRecord(_ORDER.revision)
        self.reached = 0
        self.exposed = 0
        self.leaders: list[Rollout] = []

    def lead(self) -> None:
        """Let another instance lead from the stored record."""
        rollout = Rollout(_ORDER, _BOUNDS, self.record, 0)
        self.leaders.append(rollout)
        self.write(rollout)

    def write(self, rollout: Rollout) -> None:
        """Write the record of the current leader."""
        if rollout.exposed > self.record.exposed:
            raise AssertionError(
                'more requests were placed than the record allows'
            )
        self.record = rollout.next_record('me', self.now, 1)
        rollout.record_written(self.record, self.now)
        # Previous leaders find their record overwritten.
        self.leaders = [rollout]

    def run(self, seconds: float, rng: random.Random) -> None:
        """Send requests; every leader with a valid block places some."""
        for number in range(int(seconds * _PER_S)):
            self.now += 1 / _PER_S
            leader = rng.choice(self.leaders)
            job = _job(f'{self.now}-{number}', rng.choice('ab'))
            self.reached += 1
            canary = leader.may_place_on_target(job, self.now)
            self.exposed += canary
            leader.record_placed(job, canary=canary)
            leader.record_ended(job, 'u', _GOOD, self.now, canary=canary)
            if leader.is_write_due(self.now):
                self.write(leader)


@given(
    st.lists(
        st.tuples(st.sampled_from(('lead', 'lose')), st.floats(0.1, 3)),
        max_size=12,
    ),
    st.integers(0, 1000),
)
def test_target_stays_within_its_share_across_leaders(
    steps: list[tuple[str, float]],
    seed: int,
) -> None:
    fleet = _Fleet()
    fleet.lead()
    rng = random.Random(seed)
    for step, seconds in steps:
        if step == 'lead':
            # A killed leader leaves its block unused.
            fleet.lead()
        fleet.run(seconds, rng)
        assert fleet.exposed <= (
            _BOUNDS.share * fleet.reached + _BOUNDS.allowance
        )
        assert fleet.exposed <= fleet.record.exposed


def test_traffic_after_the_completion_fits_into_the_share() -> None:
    """From the completion to the deadline the target gets all requests."""
    fleet = _Fleet()
    fleet.lead()
    rng = random.Random(1)
    while fleet.leaders[0].stage(fleet.now) is not Stage.ending:
        fleet.run(0.1, rng)
    left_s = _ORDER.limit_s - fleet.now
    exposed = fleet.exposed + left_s * _PER_S
    reached = fleet.reached + left_s * _PER_S
    assert exposed <= _BOUNDS.share * reached + _BOUNDS.allowance


def test_block_expires() -> None:
    rollout = Rollout(_ORDER, _BOUNDS, RolloutRecord(10), 0)
    assert not rollout.may_place_on_target(_job('a'), 0)
    rollout.record_written(rollout.next_record('me', 0, 1), 0)
    assert rollout.may_place_on_target(_job('a'), 0)
    assert not rollout.may_place_on_target(_job('a'), BLOCK_VALID_S)


def test_rejected_version_gets_no_requests_from_the_next_leader() -> None:
    rollout = Rollout(_ORDER, _BOUNDS, RolloutRecord(10), 0)
    for number in range(30):
        rollout.record_ended(
            _job(str(number)), 'u', _FAILED, number / 10, canary=True
        )
    raw = msgspec.json.encode(rollout.next_record('me', 1, 1))
    record = msgspec.json.decode(raw, type=RolloutRecord)
    follower = Rollout(_ORDER, _BOUNDS, record, 0)
    follower.record_written(follower.next_record('you', 2, 2), 2)
    for leader in (rollout, follower):
        assert not leader.may_place_on_target(_job('x'), 2)
        verdict = leader.verdict(2, 12, 12)
        assert verdict is not None
        assert verdict.state is RolloutState.rolled_back


@pytest.mark.parametrize(
    ('places', 'answers', 'state'),
    [
        ((12, 12), 40, RolloutState.completed),
        ((12, 4), 40, RolloutState.rolled_back),
        ((12, 0), 0, RolloutState.rolled_back),
        ((12, 12), 29, None),
    ],
)
def test_rollout_completes_only_with_enough_slots_and_answers(
    places: tuple[int, int],
    answers: int,
    state: RolloutState | None,
) -> None:
    rollout = Rollout(_ORDER, _BOUNDS, RolloutRecord(10), 0)
    for number in range(answers):
        rollout.record_ended(_job(str(number)), 'u', _GOOD, 1, canary=True)
    assert rollout.verdict(10, *places) is None
    verdict = rollout.verdict(15.9, *places)
    assert (None if verdict is None else verdict.state) is state


# -- placing


def _granted(pool: ServicePool, jobs: Iterable[Job], now: float) -> list[str]:
    for job in jobs:
        pool.enqueue(job)
    return [
        decision.upstream.version
        for decision in pool.decide(now)
        if isinstance(decision, GrantDecision)
    ]


def _pool() -> ServicePool:
    pool = ServicePool('svc', 5, random.Random(1))
    versions = _known()
    versions.order = _ORDER
    pool.set_upstreams(versions.classify(_both(), 1))
    return pool


def test_only_the_leader_places_jobs_on_the_target() -> None:
    pool = _pool()
    jobs = [_job(str(number)) for number in range(6)]
    assert set(_granted(pool, jobs, 0)) == {'v1'}
    pool = _pool()
    pool.rollout = Rollout(_ORDER, _BOUNDS, RolloutRecord(10), 0)
    pool.rollout.record_written(pool.rollout.next_record('me', 0, 1), 0)
    assert 'v2' in _granted(pool, jobs, 0)


def test_retried_job_goes_to_the_version_in_use() -> None:
    pool = _pool()
    pool.rollout = Rollout(_ORDER, _BOUNDS, RolloutRecord(10), 0)
    pool.rollout.record_written(pool.rollout.next_record('me', 0, 1), 0)
    again = msgspec.structs.replace(_job('a'), excluded=frozenset(('v1-0',)))
    assert _granted(pool, [again], 0) == ['v1']
