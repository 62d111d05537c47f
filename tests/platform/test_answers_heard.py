"""Instances must obey the signals that upstreams send in their answers.

These tests guard against two failures. While the store was unavailable, an
upstream announced in all its answers that it was leaving; an instance forwarded
such answers and still sent it a request 3.4 s later, and so on until it ended.
Three other upstreams rejected requests and asked for a backoff of three
seconds; each instance sent them 15 to 20 more requests in that time (7 to 11 a
second to one upstream), because an upstream that rejects within a millisecond
always has free slots. Half of all requests were refused while other upstreams
were free.
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

# Requests that may be in flight when the first answer announces it.
_IN_FLIGHT = 2
_BACKOFF_S = 1.5
# Maximum requests that reach an upstream during its backoff, and the time after
# which a backoff must be in effect.
_MAX_DURING_BACKOFF = 2
_SETTLE_S = 0.5
_PAUSE_S = 0.02


async def _ask_for(
    made: Deployment,
    path: str,
    seconds: float,
    at_once: int = 2,
) -> list[Answer]:
    """Send a few requests at a time to all instances in turn."""
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


async def test_a_leaving_upstream_receives_no_more_requests() -> None:
    """The upstream's entry in the store does not say that it leaves."""
    async with deployment() as made:
        leaving_engine = await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        made.store.fault = StoreFault.refuses
        leaving_engine.leaving = True
        answers = await _ask_for(made, '/open/x', 1)
        assert {answer.status for answer in answers} == {200}
        assert 0 < len(leaving_engine.seen) <= _IN_FLIGHT


async def test_leaving_lasts_until_the_upstream_ends() -> None:
    """A later entry of the same upstream does not revoke it."""
    async with deployment() as made:
        leaving_engine = await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        leaving_engine.leaving = True
        await _ask_for(made, '/open/x', 0.2)
        reached = len(leaving_engine.seen)
        assert reached <= _IN_FLIGHT
        made.store.remove('servers/plain-0')
        await made.next_watch()
        made.register('plain-0', made.addresses['plain-0'], PLAIN, seq=9)
        await made.next_watch()
        await _ask_for(made, '/open/x', 0.5)
        assert len(leaving_engine.seen) == reached


async def test_the_owner_learns_that_an_upstream_leaves() -> None:
    """The instance that reads the answer is not the one that schedules."""
    async with deployment(3) as made:
        leaving_engine = await made.add_engine('engine-0')
        await made.add_engine('engine-1')
        await made.ready()
        leaving_engine.leaving = True
        await _ask_for(made, '/stream/x', 0.3, 6)
        reached = len(leaving_engine.seen)
        answers = await _ask_for(made, '/stream/x', 0.5, 6)
        assert {answer.status for answer in answers} == {200}
        assert len(leaving_engine.seen) == reached


async def _backing_off(
    made: Deployment,
    service: str,
    overloaded: int,
    healthy: int,
) -> list[EngineStandIn]:
    """Start upstreams, some of which reject everything; return those."""
    engines = [
        await made.add_engine(f'e-{number}', service)
        for number in range(overloaded + healthy)
    ]
    await made.ready()
    for engine in engines[:overloaded]:
        engine.rest_s = _BACKOFF_S
    return engines[:overloaded]


def _assert_backed_off(
    overloaded: list[EngineStandIn], reached: list[int]
) -> None:
    for engine, before in zip(overloaded, reached, strict=True):
        assert len(engine.seen) - before <= _MAX_DURING_BACKOFF


async def test_a_requested_backoff_is_kept() -> None:
    async with deployment() as made:
        overloaded = await _backing_off(made, PLAIN, 2, 3)
        await _ask_for(made, '/safe/x', _SETTLE_S)
        reached = [len(engine.seen) for engine in overloaded]
        assert all(reached)
        answers = await _ask_for(made, '/safe/x', _BACKOFF_S - _SETTLE_S - 0.2)
        _assert_backed_off(overloaded, reached)
        assert {answer.status for answer in answers} == {200}


async def test_owners_respect_the_backoff_of_each_instance() -> None:
    """A backoff applies to one instance, but owners schedule for all."""
    async with deployment(3) as made:
        overloaded = await _backing_off(made, MODEL, 2, 3)
        await _ask_for(made, '/stream/x', _SETTLE_S, 6)
        reached = [len(engine.seen) for engine in overloaded]
        answers = await _ask_for(
            made, '/stream/x', _BACKOFF_S - _SETTLE_S - 0.2, 6
        )
        for engine, before in zip(overloaded, reached, strict=True):
            assert len(engine.seen) - before <= _MAX_DURING_BACKOFF * len(
                made.instances
            )
        served = sum(answer.status == 200 for answer in answers)
        assert served > 0.9 * len(answers)


async def test_retry_after_covers_a_backoff_of_all_upstreams() -> None:
    async with deployment() as made:
        overloaded = await _backing_off(made, PLAIN, 2, 0)
        await _ask_for(made, '/once/x', 0.2)
        reached = [len(engine.seen) for engine in overloaded]
        answer = await made.caller().ask('/once/x', 'late')
        assert answer.status == 503
        wait_s = float(answer.header('retry-after'))
        assert _BACKOFF_S / 2 < wait_s <= _BACKOFF_S
        assert [len(engine.seen) for engine in overloaded] == reached
        for engine in overloaded:
            engine.rest_s = None
        await asyncio.sleep(wait_s)
        answer = await made.caller().ask('/once/x', 'back')
        assert answer.status == 200
