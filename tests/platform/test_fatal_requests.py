"""A request that crashes upstreams is quarantined, and only that request.

These tests guard against the following failure. A caller repeated the same
request, each time with a new id and to another instance. Each upstream that
began to run it ended with all other requests that it ran: eight upstreams
within 13 s, and all callers lost answers. All connections to an upstream were
lost within 2 ms, and each time the newest run without an event had the same
content. Instances tracked failing upstreams but kept nothing about a request
after its end, so none of them recognized the request, not even one that had
sent it before.
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

# Maximum upstreams that may end before all connected instances must quarantine
# the request.
_MAX_ENDED = 3
_INSTANCES = 3
_ATTEMPTS = 10
# Time between two attempts of the caller, in seconds.
_PAUSE_S = 0.15
# Time in seconds within which a harmless request must be served again after
# upstreams ended for another reason.
_RECOVERY_S = 2.0


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


async def test_one_request_ends_few_upstreams() -> None:
    async with _upstreams() as (made, mortal):
        answers = await _send_fatal(made, _ATTEMPTS)
        assert 0 < mortal.ended <= _MAX_ENDED
        last = answers[-1]
        assert last.status == 503
        assert float(last.header('retry-after')) > 1


async def test_a_route_with_one_attempt_is_covered() -> None:
    async with _upstreams() as (made, mortal):
        await _send_fatal(made, _ATTEMPTS, '/brittle/x')
        assert 0 < mortal.ended <= _MAX_ENDED


async def test_plain_upstreams_are_covered() -> None:
    async with _upstreams(PLAIN) as (made, mortal):
        for serial in range(_ATTEMPTS):
            caller = made.caller(serial % _INSTANCES)
            await caller.ask('/safe/x', f'f{serial}', body=FATAL)
            await asyncio.sleep(_PAUSE_S)
        assert 0 < mortal.ended <= _MAX_ENDED


async def test_a_query_that_changes_with_each_attempt_is_covered() -> None:
    async with _upstreams(PLAIN) as (made, mortal):
        for serial in range(_ATTEMPTS):
            caller = made.caller(serial % _INSTANCES)
            path = f'/safe/x?attempt={serial}'
            await caller.ask(path, f'f{serial}', body=FATAL)
            await asyncio.sleep(_PAUSE_S)
        assert 0 < mortal.ended <= _MAX_ENDED


async def test_a_new_instance_refuses_the_request() -> None:
    """All instances that saw the upstreams end have stopped."""
    async with _upstreams() as (made, mortal):
        await _send_fatal(made, _ATTEMPTS)
        # The last reports are written to the store within this time.
        await asyncio.sleep(1)
        ended = mortal.ended
        assert ended <= _MAX_ENDED
        await asyncio.gather(*(node.close() for node in made.instances))
        await made.add_instance()
        caller = made.caller(_INSTANCES)
        answer = await caller.ask('/stream/x', 'late', body=FATAL, **TOKENS)
        assert answer.status == 503
        assert mortal.ended == ended


async def test_concurrent_attempts_are_covered() -> None:
    """Five rounds of four simultaneous attempts."""
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
        # The first four attempts start before the first upstream has ended.
        assert mortal.ended <= 4 + _MAX_ENDED


async def test_other_requests_are_still_served() -> None:
    """Requests that are lost with an upstream are served when repeated."""
    async with _upstreams() as (made, mortal):
        fatal = asyncio.create_task(_send_fatal(made, _ATTEMPTS))
        served = await asyncio.gather(
            *(_ask_until_served(made, f'usual {number}') for number in range(9))
        )
        await fatal
        assert all(served)
        assert mortal.ended <= _MAX_ENDED


async def test_a_request_lost_in_simultaneous_ends_is_served_soon() -> None:
    """The same body runs on all upstreams, which end together twice."""
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


async def test_a_connection_reset_is_not_an_end() -> None:
    """The upstreams keep serving requests on other connections."""
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
    """Repeat a request; return whether it is served within the time limit."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + BACK_S + _RECOVERY_S
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
