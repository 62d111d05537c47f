"""A request under which upstreams end is given up, and only that one.

A caller sent the same request again and again, each time with a new id and
to another instance. Each upstream that began to run it ended, with all that
ran there for others: eight within 13 s, and all callers lost answers.

Evidence: in the logs of all instances all connections to an upstream end
within 2 ms, eight times; each time the youngest run without an event is of the
same route and workspace (and, since lines tell it, of the same content), at
any instance, also at one that had sent it before.

Cause: nothing of a request outlived it. Instances knew upstreams that fail, and
no requests under which they do. The lines of a play of this kind now show the
second end of a content as such at every instance within 2 ms.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tallyhall_bench.mortal import BACK_S, FATAL, MortalUpstreams
from tallyhall_standins.platform_engine import EngineFault

from tests.platform.harness import (
    MODEL,
    PLAIN,
    TOKENS,
    Answer,
    Deployment,
    deployment,
)

# As many as may end before all that are in touch must know.
_BOUND = 3
_INSTANCES = 3
_ASKED = 10
# Between two attempts of the caller.
_PAUSE_S = 0.15
# Within this time a usual request is served again after ends that it did not
# cause.
_SOON_S = 2.0


@contextlib.asynccontextmanager
async def _upstreams(
    service: str = MODEL,
    count: int = 8,
) -> AsyncIterator[tuple[Deployment, MortalUpstreams]]:
    async with deployment(_INSTANCES) as made:
        mortal = MortalUpstreams(made.store, service)
        await mortal.start(count)
        await made.ready()
        try:
            yield made, mortal
        finally:
            mortal.close()


async def _send_fatal(
    made: Deployment,
    times: int,
    path: str = '/stream/x',
) -> list[Answer]:
    answers = []
    for serial in range(times):
        caller = made.caller(serial % len(made.instances))
        answers.append(
            await caller.ask(path, f'f{serial}', body=FATAL, **TOKENS),
        )
        await asyncio.sleep(_PAUSE_S)
    return answers


async def test_few_upstreams_end_under_one_request() -> None:
    async with _upstreams() as (made, mortal):
        answers = await _send_fatal(made, _ASKED)
        assert 0 < mortal.ended <= _BOUND
        last = answers[-1]
        assert last.status == 503
        assert float(last.header('retry-after')) > 1


async def test_a_route_of_one_attempt_is_no_exception() -> None:
    async with _upstreams() as (made, mortal):
        await _send_fatal(made, _ASKED, '/brittle/x')
        assert 0 < mortal.ended <= _BOUND


async def test_plain_upstreams_are_kept_alike() -> None:
    async with _upstreams(PLAIN) as (made, mortal):
        for serial in range(_ASKED):
            caller = made.caller(serial % _INSTANCES)
            await caller.ask('/safe/x', f'f{serial}', body=FATAL)
            await asyncio.sleep(_PAUSE_S)
        assert 0 < mortal.ended <= _BOUND


async def test_an_instance_that_starts_later_knows() -> None:
    """None of those that saw upstreams end is left."""
    async with _upstreams() as (made, mortal):
        await _send_fatal(made, _ASKED)
        # What was told last is written within this time.
        await asyncio.sleep(1)
        ended = mortal.ended
        assert ended <= _BOUND
        await asyncio.gather(*(one.close() for one in made.instances))
        await made.add_instance()
        caller = made.caller(_INSTANCES)
        answer = await caller.ask('/stream/x', 'late', body=FATAL, **TOKENS)
        assert answer.status == 503
        assert mortal.ended == ended


async def test_many_callers_at_once_are_no_way_round() -> None:
    """Four attempts at a time, five times over."""
    async with _upstreams() as (made, mortal):
        for turn in range(5):
            await asyncio.gather(
                *(
                    made.caller(number % _INSTANCES).ask(
                        '/brittle/x', f't{turn}{number}', body=FATAL, **TOKENS
                    )
                    for number in range(4)
                ),
            )
            await asyncio.sleep(_PAUSE_S)
        # The first four begin before the first upstream has ended.
        assert mortal.ended <= 4 + _BOUND


async def test_others_are_served_beside_it() -> None:
    """Runs end with an upstream, and are served once they come again."""
    async with _upstreams() as (made, mortal):
        fatal = asyncio.create_task(_send_fatal(made, _ASKED))
        served = await asyncio.gather(
            *(_ask_until_served(made, f'usual {number}') for number in range(9))
        )
        await fatal
        assert all(served)
        assert mortal.ended <= _BOUND


async def test_what_all_ends_took_along_is_served_soon() -> None:
    """The same body runs at all upstreams, which end at once, twice."""
    async with _upstreams() as (made, mortal):
        for engine in mortal.engines.values():
            engine.first_s = 0.2
        for turn in range(2):
            asks = [
                made.caller(number % _INSTANCES).ask(
                    '/stream/x', f't{turn}{number}', **TOKENS
                )
                for number in range(6)
            ]
            asked = asyncio.gather(*asks)
            await asyncio.sleep(0.1)
            await mortal.end_all()
            await asked
        assert await _ask_until_served(made, 'hello')


async def test_a_reset_is_not_an_end() -> None:
    """The upstreams go on to serve others on connections of their own."""
    async with _upstreams(PLAIN, 4) as (made, mortal):
        for serial in range(6):
            for engine in mortal.engines.values():
                engine.faults.append(EngineFault.resets_first)
            answer = await made.caller(serial % _INSTANCES).ask(
                '/once/x', f'r{serial}'
            )
            assert answer.status == 502
            for cleared in mortal.engines.values():
                cleared.faults.clear()
        answer = await made.caller().ask('/once/x', 'sound')
        assert answer.status == 200


async def _ask_until_served(made: Deployment, body: str) -> bool:
    """Return whether a request is served within the time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + BACK_S + _SOON_S
    serial = 0
    while loop.time() < ends_at:
        serial += 1
        caller = made.caller(serial % len(made.instances))
        answer = await caller.ask(
            '/stream/x', f'{body}{serial}', body=body.encode(), **TOKENS
        )
        if answer.status == 200 and answer.whole:
            return True
        await asyncio.sleep(_PAUSE_S)
    return False
