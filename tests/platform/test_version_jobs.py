"""Queued streams that go on at one version, beside jobs of any version."""

import random
from collections.abc import Iterable

import msgspec
import pytest
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_dispatch.rollout import Rollout, RolloutBounds, RolloutRecord
from tallyhall_dispatch.versions import RolloutOrder

_ANSWERED = RunReport(AttemptOutcome.answered, 0.6, 0.05, 20, 0.5, 0.04)
# More jobs than are matched with free slots in one pass.
_MANY = 40


def _upstream(name: str, version: str, slots: int = 1) -> Upstream:
    return Upstream(
        name, 'svc', '', 1, 'a', slots, leaving=False, version=version
    )


def _job(
    key: str,
    version: str | None = None,
    due_at: float = 3,
    *,
    resumable: bool = True,
) -> Job:
    return Job(
        key,
        'svc',
        'a',
        0,
        100,
        500,
        0,
        due_at,
        9,
        resumable=resumable,
        version=version,
    )


def _pool(upstreams: Iterable[Upstream]) -> ServicePool:
    pool = ServicePool('svc', 5, random.Random(1))
    pool.set_upstreams(upstreams)
    return pool


def _granted(pool: ServicePool, now: float) -> dict[str, str]:
    return {
        decision.key: decision.upstream.version
        for decision in pool.decide(now)
        if isinstance(decision, GrantDecision)
    }


@pytest.mark.parametrize('version', ['v1', 'v2'])
def test_stream_goes_on_at_its_version_only(version: str) -> None:
    pool = _pool((_upstream('a', 'v1', 4), _upstream('b', 'v2', 4)))
    for number in range(4):
        pool.enqueue(_job(str(number), version))
    assert set(_granted(pool, 0).values()) == {version}


def test_streams_of_a_busy_version_hold_up_no_others() -> None:
    pool = _pool((_upstream('a', 'v1'), _upstream('b', 'v2', 4)))
    pool.enqueue(_job('runs', 'v1'))
    assert _granted(pool, 0) == {'runs': 'v1'}
    for number in range(_MANY):
        pool.enqueue(_job(f'bound-{number}', 'v1', due_at=1))
    pool.enqueue(_job('new', due_at=2))
    assert _granted(pool, 0.01) == {'new': 'v2'}


def test_stream_of_a_small_version_is_not_held_up_by_the_queue() -> None:
    pool = _pool((_upstream('a', 'v1'), _upstream('b', 'v2')))
    pool.enqueue(_job('first', 'v1'))
    pool.enqueue(_job('second', 'v2'))
    assert len(_granted(pool, 0)) == 2
    for number in range(_MANY):
        pool.enqueue(_job(f'new-{number}', due_at=4))
    pool.enqueue(_job('goes on', 'v1', due_at=2))
    pool.finish('first', _ANSWERED, 0.6)
    assert _granted(pool, 0.6) == {'goes on': 'v1'}


def test_stream_is_rejected_once_its_version_is_gone() -> None:
    pool = _pool((_upstream('a', 'v1'), _upstream('b', 'v2')))
    pool.enqueue(_job('runs', 'v1'))
    assert _granted(pool, 0) == {'runs': 'v1'}
    pool.enqueue(_job('waits', 'v1'))
    assert not _granted(pool, 0.01)
    pool.set_upstreams((_upstream('b', 'v2'),))
    decisions = pool.decide(0.1)
    assert [type(one) for one in decisions] == [RejectDecision]


def test_new_version_runs_only_what_cannot_resume() -> None:
    new = msgspec.structs.replace(_upstream('b', 'v2', 4), is_new=True)
    pool = _pool((_upstream('a', 'v1'), new))
    pool.enqueue(_job('stream', due_at=1))
    pool.enqueue(_job('second', due_at=2))
    pool.enqueue(_job('plain', resumable=False))
    granted = _granted(pool, 0)
    assert granted['stream'] == 'v1'
    assert granted['plain'] == 'v2'
    assert 'second' not in granted


def test_stream_that_a_target_began_goes_on_there_within_its_share() -> None:
    target = msgspec.structs.replace(_upstream('b', 'v2', 4), canary=True)
    pool = _pool((_upstream('a', 'v1', 4), target))
    order = RolloutOrder('svc', 'v2', 16, 10)
    record = RolloutRecord(order.revision)
    rollout = Rollout(order, RolloutBounds(0.1, 50), record, 0)
    pool.rollout = rollout
    pool.enqueue(_job('goes on', 'v2'))
    assert not _granted(pool, 1)
    rollout.record_written(rollout.next_record('me', 1, 0), 1)
    assert _granted(pool, 1.1) == {'goes on': 'v2'}
    assert rollout.exposed == 1
