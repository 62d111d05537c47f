"""What upstreams say in their answers binds the instance that was told.

While the store was away an upstream began to leave and said so in all its
answers; an instance passed them on and went on sending there for the rest of
its life. Three others turned requests away and asked for three seconds of
rest; each instance sent them 15 to 20 more within it, as one that turns away
within a millisecond always has places free, and half of all requests were
refused with upstreams free.

Evidence: the record of the first has an answer that says so passed on 3.4 s
before a request that reaches it by the same instance's own decision; that of
the second 7 to 11 rejections a second by one upstream at one instance.
"""

import asyncio

from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import (
    MODEL,
    PLAIN,
    TOKENS,
    Answer,
    Deployment,
    deployment,
)

# Requests that were under way when the first answer said so.
_UNDER_WAY = 2
_REST_S = 1.5
# What reaches an upstream in its rest at most, and how soon a rest counts.
_BORNE = 2
_SOON_S = 0.5
_PAUSE_S = 0.02


async def _ask_on(
    made: Deployment,
    path: str,
    seconds: float,
    at_once: int = 2,
) -> list[Answer]:
    """Ask all instances in turn, a few requests at a time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    answers: list[Answer] = []
    while loop.time() < ends_at:
        asks = [
            made.caller(number % len(made.instances)).ask(
                path, f'r{len(answers)}-{number}', **TOKENS
            )
            for number in range(at_once)
        ]
        answers.extend(await asyncio.gather(*asks))
        await asyncio.sleep(_PAUSE_S)
    return answers


async def test_one_that_says_it_leaves_gets_nothing_more() -> None:
    """Its entry in the store says nothing of it."""
    async with deployment() as made:
        leaver = await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        made.store.fault = StoreFault.refuses
        leaver.leaving = True
        answers = await _ask_on(made, '/open/x', 1)
        assert {answer.status for answer in answers} == {200}
        assert 0 < len(leaver.seen) <= _UNDER_WAY


async def test_it_leaves_until_its_end() -> None:
    """A late entry of the same upstream takes nothing back."""
    async with deployment() as made:
        leaver = await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        leaver.leaving = True
        await _ask_on(made, '/open/x', 0.2)
        reached = len(leaver.seen)
        assert reached <= _UNDER_WAY
        made.store.remove('servers/plain-0')
        await made.next_watch()
        made.register('plain-0', made.addresses['plain-0'], PLAIN, seq=9)
        await made.next_watch()
        await _ask_on(made, '/open/x', 0.5)
        assert len(leaver.seen) == reached


async def test_an_owner_hears_that_one_leaves() -> None:
    """The instance that was told is not the one that places requests."""
    async with deployment(3) as made:
        leaver = await made.add_engine('engine-0')
        await made.add_engine('engine-1')
        await made.ready()
        leaver.leaving = True
        await _ask_on(made, '/stream/x', 0.3, 6)
        reached = len(leaver.seen)
        answers = await _ask_on(made, '/stream/x', 0.5, 6)
        assert {answer.status for answer in answers} == {200}
        assert len(leaver.seen) == reached


async def _resting(
    made: Deployment,
    service: str,
    tired: int,
    fresh: int,
) -> list[EngineStandIn]:
    """Start upstreams, some of which turn all away; return those."""
    engines = [
        await made.add_engine(f'e-{number}', service)
        for number in range(tired + fresh)
    ]
    await made.ready()
    for engine in engines[:tired]:
        engine.rest_s = _REST_S
    return engines[:tired]


def _assert_rested(tired: list[EngineStandIn], reached: list[int]) -> None:
    for engine, before in zip(tired, reached, strict=True):
        assert len(engine.seen) - before <= _BORNE


async def test_one_that_asks_for_rest_has_it() -> None:
    async with deployment() as made:
        tired = await _resting(made, PLAIN, 2, 3)
        await _ask_on(made, '/safe/x', _SOON_S)
        reached = [len(engine.seen) for engine in tired]
        assert all(reached)
        answers = await _ask_on(made, '/safe/x', _REST_S - _SOON_S - 0.2)
        _assert_rested(tired, reached)
        assert {answer.status for answer in answers} == {200}


async def test_owners_place_nothing_where_one_must_not_send() -> None:
    """Each instance is asked for itself; owners place for all."""
    async with deployment(3) as made:
        tired = await _resting(made, MODEL, 2, 3)
        await _ask_on(made, '/stream/x', _SOON_S, 6)
        reached = [len(engine.seen) for engine in tired]
        answers = await _ask_on(made, '/stream/x', _REST_S - _SOON_S - 0.2, 6)
        for engine, before in zip(tired, reached, strict=True):
            assert len(engine.seen) - before <= _BORNE * len(made.instances)
        served = sum(answer.status == 200 for answer in answers)
        assert served > 0.9 * len(answers)


async def test_where_all_rest_callers_return_in_time_to_be_served() -> None:
    async with deployment() as made:
        tired = await _resting(made, PLAIN, 2, 0)
        await _ask_on(made, '/once/x', 0.2)
        reached = [len(engine.seen) for engine in tired]
        answer = await made.caller().ask('/once/x', 'late')
        assert answer.status == 503
        wait_s = float(answer.header('retry-after'))
        assert _REST_S / 2 < wait_s <= _REST_S
        assert [len(engine.seen) for engine in tired] == reached
        for engine in tired:
            engine.rest_s = None
        await asyncio.sleep(wait_s)
        answer = await made.caller().ask('/once/x', 'back')
        assert answer.status == 200
