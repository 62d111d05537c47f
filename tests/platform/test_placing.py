"""Which upstream a job gets, and which job a place, when not all can be.

Figures of loads like these, played whole, are in docs/DECISIONS-UNDER-LOAD.md.
"""

import asyncio
import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.callers import FirstTries
from tallyhall_dispatch.desired import Route, RouteKind, Upstream
from tallyhall_dispatch.jobs import Ending, Job, RunReport
from tallyhall_dispatch.pool import Granted, ServicePool
from tallyhall_dispatch.refusing import GivenUp

from tests.platform.harness import (
    TOKENS,
    Caller,
    deployment,
    desired,
    until,
)

_EVENT_TOKENS = 5
_AIM_S = 0.8
_QUICK = RunReport(Ending.answered, 0.6, 0.05, 20, 0.5, 0.04)
_SLOW = RunReport(Ending.answered, 4, 0.1, 20, 3.8, 0.4)
_FAILED = RunReport(Ending.failed, 0.1)


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
        give_up_at=now + 2,
        pause_s=0.25,
    )
    return msgspec.structs.replace(job, **changes)


def _pool(*upstreams: Upstream) -> ServicePool:
    pool = ServicePool('svc', _EVENT_TOKENS, random.Random(1))
    pool.set_upstreams(upstreams)
    return pool


def _ran(pool: ServicePool, name: str, report: RunReport) -> None:
    """Let some jobs run at an upstream and end like this."""
    for number in range(6):
        job = _job(f'{name}/{number}', 0)
        pool.note_running(job, name)
        pool.finish(job.key, report, 0)


def _granted(pool: ServicePool, now: float) -> dict[str, str]:
    return {
        decision.key: decision.upstream.name
        for decision in pool.decide(now)
        if isinstance(decision, Granted)
    }


# -- pauses


def test_a_stream_waits_for_an_upstream_that_keeps_its_pace() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow'))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.ask(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'quick'}
    pool.ask(_job('waits', 1))
    assert not _granted(pool, 1)
    pool.finish('first', _QUICK, 1.2)
    assert _granted(pool, 1.2) == {'waits': 'quick'}


def test_a_slow_one_is_taken_once_waiting_has_cost_half_of_the_time() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow'))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.ask(_job('first', 1))
    pool.ask(_job('waits', 1))
    assert 'waits' not in _granted(pool, 1)
    assert _granted(pool, 1 + _AIM_S / 2 + 0.01) == {'waits': 'slow'}


def test_where_none_keeps_its_pace_none_is_waited_for() -> None:
    pool = _pool(_upstream('slow'))
    _ran(pool, 'slow', _SLOW)
    pool.ask(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'slow'}


def test_a_short_answer_and_one_without_a_bound_use_the_slow_one() -> None:
    pool = _pool(_upstream('quick'), _upstream('slow', 2))
    _ran(pool, 'quick', _QUICK)
    _ran(pool, 'slow', _SLOW)
    pool.ask(_job('first', 1))
    assert _granted(pool, 1) == {'first': 'quick'}
    pool.ask(_job('short', 1, output_tokens=3 * _EVENT_TOKENS))
    pool.ask(_job('any', 1, pause_s=0))
    assert _granted(pool, 1) == {'short': 'slow', 'any': 'slow'}


# -- lengths


def test_answers_are_taken_for_as_long_as_they_were() -> None:
    """An engine that reads much is no choice for an answer of few events.

    Callers state ten times the tokens that come. By that a pace that is 1 ms
    better outweighed a prompt that takes 0.6 s to read.
    """
    short = RunReport(Ending.answered, 0.08, 0.05, 4, 0.03, 0.01)
    paced = RunReport(Ending.answered, 0.08, 0.05, 4, 0.027, 0.01)
    pool = _pool(_upstream('reads', 9), _upstream('free', 9))
    for _ in range(5):
        _ran(pool, 'free', short)
        _ran(pool, 'reads', paced)
    pool.note_running(_job('long', 1, prompt_tokens=20_000), 'reads')
    pool.ask(_job('short', 1))
    assert _granted(pool, 1) == {'short': 'free'}


# -- callers that come back


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


def test_a_limit_tells_when_a_caller_first_tried() -> None:
    tries = FirstTries()
    route = _route('r')
    assert tries.since_s(route, 'w', 12, 0) == 0
    assert tries.since_s(route, 'w', 11.9, 1) == 0
    assert tries.since_s(route, 'w', 10, 2) == 2
    # Another limit, not another try; another route; none stated.
    assert tries.since_s(route, 'w', 3, 2) == 0
    assert tries.since_s(_route('s'), 'w', 10, 2) == 0
    assert tries.since_s(route, 'w', None, 2) == 0


def test_a_limit_that_is_stated_no_more_is_forgotten() -> None:
    tries = FirstTries()
    route = _route('r')
    tries.since_s(route, 'w', 12, 0)
    assert tries.since_s(route, 'w', 10, 11) == 0
    assert tries.since_s(route, 'w', 9, 11.5) == 1


def test_one_caller_makes_no_others_look_late() -> None:
    """Neither with a limit above the route's nor from another workspace."""
    tries = FirstTries()
    route = _route('r', 12)
    tries.since_s(route, 'w', 12, 0)
    tries.since_s(route, 'w', 14, 1)
    assert tries.since_s(route, 'w', 12, 2) == 0
    long = _route('r', 30)
    tries.since_s(long, 'odd', 14, 3)
    assert tries.since_s(long, 'w', 12, 4) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from('rs'),
            st.none() | st.floats(0, 20),
            st.floats(0, 3),
        ),
    ),
)
def test_no_first_try_lies_ahead_or_far_back(
    stated: list[tuple[str, float | None, float]],
) -> None:
    tries = FirstTries()
    now: float = 0
    for name, limit_s, later_s in stated:
        now += later_s
        assert 0 <= tries.since_s(_route(name), 'w', limit_s, now) <= 5


async def test_one_that_comes_back_late_leaves_a_place_to_a_fresh_one() -> None:
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
        # Its objective of a second has passed since its first try.
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


def test_a_late_job_leaves_places_for_what_arrives_meanwhile() -> None:
    pool = _pool(_upstream('u', 20))
    for number in range(19):
        pool.note_running(_job(f'runs/{number}', 0), 'u')
    pool.ask(_job('late', 1, due_at=0.9))
    assert not _granted(pool, 1)
    pool.ask(_job('fresh', 1))
    assert _granted(pool, 1) == {'fresh': 'u'}
    for number in range(3):
        pool.finish(f'runs/{number}', _QUICK, 1.1)
    assert _granted(pool, 1.1) == {'late': 'u'}


def test_nobody_waits_behind_late_jobs() -> None:
    """Late jobs in the queue do not make the forecast for one in time worse."""
    pool = _pool(_upstream('u'))
    _ran(pool, 'u', RunReport(Ending.answered, 0.3, 0.05, 20, 0.2, 0.04))
    pool.note_running(_job('runs', 1), 'u')
    for number in range(2):
        pool.ask(_job(f'late/{number}', 0.1, give_up_at=9))
    assert not pool.decide(1)
    pool.ask(_job('fresh', 1))
    assert not pool.decide(1.01)
    pool.finish('runs', _QUICK, 1.1)
    assert _granted(pool, 1.1) == {'fresh': 'u'}


# -- callers that are told to return


def _told(due_in_s: float) -> list[float]:
    """Return what callers are told whom one engine cannot serve in time."""
    told: list[float] = []
    for seed in range(20):
        pool = ServicePool('svc', _EVENT_TOKENS, random.Random(seed))
        pool.set_upstreams([_upstream('u', 10)])
        _ran(pool, 'u', RunReport(Ending.answered, 0.3, 0.05, 20, 0.2, 0.04))
        for number in range(10):
            pool.note_running(_job(f'runs/{number}', 1), 'u')
        for number in range(30):
            due_at = 1 + due_in_s
            pool.ask(_job(f'{number}', 1, due_at=due_at, give_up_at=2))
        told.extend(
            decision.retry_after_s
            for decision in pool.decide(1)
            if isinstance(decision, GivenUp)
        )
    return told


def test_who_will_be_late_returns_later_and_not_with_all_others() -> None:
    told = _told(0.2)
    assert told
    assert min(told) >= 1
    assert max(told) <= 3
    assert len(set(told)) > 1


# -- failures


def test_where_all_fail_none_is_set_aside() -> None:
    """A part of what is sent succeeds; what waits for nobody fails whole."""
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    _ran(pool, 'b', _FAILED)
    pool.ask(_job('asks', 0))
    decisions = pool.decide(0)
    assert [type(decision) for decision in decisions] == [Granted]


def test_one_that_fails_is_set_aside_while_another_does_not() -> None:
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    for number in range(4):
        pool.ask(_job(f'asks/{number}', 0))
    assert set(_granted(pool, 0).values()) == {'b'}


def test_nothing_is_refused_while_half_of_the_places_are_free() -> None:
    """Whatever its objective is: late is better than not at all."""
    pool = _pool(_upstream('a', 4), _upstream('b', 4))
    _ran(pool, 'a', _FAILED)
    _ran(pool, 'b', _FAILED)
    for number in range(3):
        pool.ask(_job(f'asks/{number}', 0, due_at=0.01))
        decisions = pool.decide(0.02)
        assert all(isinstance(one, Granted) for one in decisions)
    assert not pool.waiting
