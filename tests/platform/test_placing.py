"""Which upstream a job gets, and which job gets a slot under overload.

Measurements of full simulations of such loads are in
docs/DECISIONS-UNDER-LOAD.md.
"""

import asyncio
import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Route, RouteKind, Upstream
from tallyhall_dispatch.first_attempts import FirstAttempts
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision

from tests.platform.harness import (
    TOKENS,
    Caller,
    deployment,
    desired,
    until,
)

_EVENT_TOKENS = 5
_AIM_S = 0.8
_QUICK = RunReport(AttemptOutcome.answered, 0.6, 0.05, 20, 0.5, 0.04)
_SLOW = RunReport(AttemptOutcome.answered, 4, 0.1, 20, 3.8, 0.4)
_FAILED = RunReport(AttemptOutcome.failed, 0.1)


def _upstream(name: str, slots: int = 1) -> Upstream:
    return Upstream(name, 'svc', '127.0.0.1', 1, 'a', slots, leaving=False)


def _job(key: str, now: float, **changes: float | str) -> Job:
    job = Job(
        key,
        'svc',
        'a',
        0,
        100,
        500,
        asked_at=now,
        due_at=now + _AIM_S,
        reject_at=now + 2,
        pause_s=0.25,
    )
    return msgspec.structs.replace(job, **changes)


def _pool(*upstreams: Upstream) -> ServicePool:
    pool = ServicePool('svc', _EVENT_TOKENS, random.Random(1))
    pool.set_upstreams(upstreams)
    return pool


def _ran(pool: ServicePool, name: str, report: RunReport) -> None:
    """Let six jobs run on an upstream and end with this report."""
    for number in range(6):
        job = _job(f'{name}/{number}', 0)
        pool.add_running(job, name)
        pool.finish(job.key, report, 0)


def _granted(pool: ServicePool, now: float) -> dict[str, str]:
    return {
        decision.key: decision.upstream.name
        for decision in pool.decide(now)
        if isinstance(decision, GrantDecision)
    }


# -- pauses


def test_stream_waits_for_an_upstream_that_meets_its_pause_limit() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow'))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.enqueue(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'quick'}
    pool.enqueue(_job('waits', 1))
    assert not _granted(pool, 1)
    pool.finish('first', _QUICK, 1.2)
    assert _granted(pool, 1.2) == {'waits': 'quick'}


def test_slow_upstream_is_used_after_half_of_the_time_to_the_deadline() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow'))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.enqueue(_job('first', 1))
    pool.enqueue(_job('waits', 1))
    assert 'waits' not in _granted(pool, 1)
    assert _granted(pool, 1 + _AIM_S / 2 + 0.01) == {'waits': 'slow'}


def test_stream_does_not_wait_if_no_upstream_meets_the_pause_limit() -> None:
    pool = _pool(_upstream('slow'))
    _ran(pool, 'slow', _SLOW)
    pool.enqueue(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'slow'}


def test_slow_upstream_serves_short_and_unlimited_responses() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow', 2))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.enqueue(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'quick'}
    pool.enqueue(_job('short', 1, output_tokens=3 * _EVENT_TOKENS))
    pool.enqueue(_job('any', 1, pause_s=0))
    assert _granted(pool, 1) == {'short': 'slow', 'any': 'slow'}


# -- lengths


def test_response_length_is_estimated_from_earlier_responses() -> None:
    """A short response must not go to an engine with a long prefill.

    Callers state a token limit of ten times the usual length. With that length,
    an engine that is 1 ms faster per event was preferred although 0.6 s of
    prefill were pending on it.
    """
    short = RunReport(AttemptOutcome.answered, 0.08, 0.05, 4, 0.03, 0.01)
    paced = RunReport(AttemptOutcome.answered, 0.08, 0.05, 4, 0.027, 0.01)
    pool = _pool(_upstream('reads', 9), _upstream('free', 9))
    for _ in range(5):
        _ran(pool, 'free', short)
        _ran(pool, 'reads', paced)
    pool.add_running(_job('long', 1, prompt_tokens=20_000), 'reads')
    pool.enqueue(_job('short', 1))
    assert _granted(pool, 1) == {'short': 'free'}


# -- callers that retry


def _route(name: str, timeout_s: float = 15) -> Route:
    return Route(
        name=name,
        host='h',
        prefix='/',
        kind=RouteKind.streaming,
        targets=(),
        timeout_s=timeout_s,
        objective_s=_AIM_S,
        priority=0,
        attempts=1,
        public=False,
        sticky=False,
        resumable=False,
        gap_s=0,
    )


def test_stated_timeout_reveals_the_first_attempt() -> None:
    tries = FirstAttempts()
    route = _route('r')
    assert tries.elapsed_s(route, 'w', 12, 0) == 0
    assert tries.elapsed_s(route, 'w', 11.9, 1) == 0
    assert tries.elapsed_s(route, 'w', 10, 2) == 2
    # A different timeout rather than a retry; another route; no timeout.
    assert tries.elapsed_s(route, 'w', 3, 2) == 0
    assert tries.elapsed_s(_route('s'), 'w', 10, 2) == 0
    assert tries.elapsed_s(route, 'w', None, 2) == 0


def test_timeout_that_is_no_longer_stated_expires() -> None:
    tries = FirstAttempts()
    route = _route('r')
    tries.elapsed_s(route, 'w', 12, 0)
    assert tries.elapsed_s(route, 'w', 10, 11) == 0
    assert tries.elapsed_s(route, 'w', 9, 11.5) == 1


def test_one_caller_does_not_make_others_look_late() -> None:
    """Neither by a timeout above the route's nor from another workspace."""
    tries = FirstAttempts()
    route = _route('r', 12)
    tries.elapsed_s(route, 'w', 12, 0)
    tries.elapsed_s(route, 'w', 14, 1)
    assert tries.elapsed_s(route, 'w', 12, 2) == 0
    long = _route('r', 30)
    tries.elapsed_s(long, 'odd', 14, 3)
    assert tries.elapsed_s(long, 'w', 12, 4) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from('rs'),
            st.none() | st.floats(0, 20),
            st.floats(0, 3),
        ),
    ),
)
def test_first_attempt_is_never_in_the_future_or_too_old(
    stated: list[tuple[str, float | None, float]],
) -> None:
    tries = FirstAttempts()
    now: float = 0
    for name, limit_s, later_s in stated:
        now += later_s
        assert 0 <= tries.elapsed_s(_route(name), 'w', limit_s, now) <= 5


async def test_late_retry_is_served_after_a_first_attempt() -> None:
    async with deployment() as made:
        engine = await made.add_engine('engine-0')
        made.register('engine-0', made.addresses['engine-0'], slots=1)
        await made.ready()
        state = desired(2)
        for route in state['routes']:
            route['slo-ms'] = 1000
        await made.change(state)
        engine.first_s = 0.4
        limit = 'X_Tallyhall_Deadline_Ms'
        kept = {**TOKENS, limit: '5000'}
        busy = asyncio.create_task(_ask(made.caller(), 'busy', kept))
        await until(lambda: engine.running == 1)
        # 1.5 s after its first attempt, with a latency objective of 1 s.
        back = asyncio.create_task(
            _ask(made.caller(), 'back', {**TOKENS, limit: '3500'}),
        )
        await asyncio.sleep(0.05)
        fresh = asyncio.create_task(_ask(made.caller(), 'fresh', kept))
        assert [await busy, await fresh, await back] == [200, 200, 200]
        order = [seen.request_id for seen in engine.ran]
        assert order == ['busy', 'fresh', 'back']


async def _ask(caller: Caller, name: str, headers: dict[str, str]) -> int:
    return (await caller.ask('/stream/x', name, **headers)).status


# -- late jobs


def test_late_job_leaves_free_slots_for_new_arrivals() -> None:
    pool = _pool(_upstream('u', 20))
    for number in range(19):
        pool.add_running(_job(f'runs/{number}', 0), 'u')
    pool.enqueue(_job('late', 1, due_at=0.9))
    assert not _granted(pool, 1)
    pool.enqueue(_job('fresh', 1))
    assert _granted(pool, 1) == {'fresh': 'u'}
    for number in range(3):
        pool.finish(f'runs/{number}', _QUICK, 1.1)
    assert _granted(pool, 1.1) == {'late': 'u'}


def test_no_job_waits_behind_late_jobs() -> None:
    """Queued late jobs do not increase the expected wait of a job in time."""
    pool = _pool(_upstream('u'))
    _ran(
        pool, 'u', RunReport(AttemptOutcome.answered, 0.3, 0.05, 20, 0.2, 0.04)
    )
    pool.add_running(_job('runs', 1), 'u')
    for number in range(2):
        pool.enqueue(_job(f'late/{number}', 0.1, reject_at=9))
    assert not pool.decide(1)
    pool.enqueue(_job('fresh', 1))
    assert not pool.decide(1.01)
    pool.finish('runs', _QUICK, 1.1)
    assert _granted(pool, 1.1) == {'fresh': 'u'}


# -- retry delays


def _retry_delays(due_in_s: float) -> list[float]:
    """Return the retry delays of callers that one engine cannot serve."""
    delays: list[float] = []
    for seed in range(20):
        pool = ServicePool('svc', _EVENT_TOKENS, random.Random(seed))
        pool.set_upstreams([_upstream('u', 10)])
        _ran(
            pool,
            'u',
            RunReport(AttemptOutcome.answered, 0.3, 0.05, 20, 0.2, 0.04),
        )
        for number in range(10):
            pool.add_running(_job(f'runs/{number}', 1), 'u')
        for number in range(30):
            due_at = 1 + due_in_s
            pool.enqueue(_job(f'{number}', 1, due_at=due_at, reject_at=2))
        delays.extend(
            decision.retry_after_s
            for decision in pool.decide(1)
            if isinstance(decision, RejectDecision)
        )
    return delays


def test_callers_that_will_be_late_get_longer_and_jittered_delays() -> None:
    delays = _retry_delays(0.2)
    assert delays
    assert min(delays) >= 1
    assert max(delays) <= 3
    assert len(set(delays)) > 1


# -- failures


def test_no_upstream_is_ejected_if_all_fail() -> None:
    """Some of the requests succeed; without upstreams, all would fail."""
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    _ran(pool, 'b', _FAILED)
    pool.enqueue(_job('asks', 0))
    decisions = pool.decide(0)
    assert [type(decision) for decision in decisions] == [GrantDecision]


def test_failing_upstream_is_ejected_if_another_one_works() -> None:
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    for number in range(4):
        pool.enqueue(_job(f'asks/{number}', 0))
    assert set(_granted(pool, 0).values()) == {'b'}


def test_nothing_is_rejected_while_half_of_the_slots_are_free() -> None:
    """Even past the deadline: a late response is better than none."""
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    _ran(pool, 'b', _FAILED)
    for number in range(3):
        pool.enqueue(_job(f'asks/{number}', 0, due_at=0.01))
        decisions = pool.decide(0.02)
        assert all(isinstance(one, GrantDecision) for one in decisions)
    assert not pool.waiting
