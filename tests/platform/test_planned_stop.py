"""What a stopping instance does with requests that could outlast it."""

import asyncio
from typing import Any

import pytest
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.platform.harness import (
    PLAIN,
    Answer,
    Deployment,
    deployment,
    desired,
    until,
)

_RUN_S = 3.0
_SLOTS = 4
# An instance with the usual grace ends so long after it is told to stop.
_ENDS_S = 7.6


def _slow_routes() -> dict[str, Any]:
    """Return a state whose routes allow runs of several seconds."""
    state = desired(2)
    for entry in state['routes']:
        entry['timeout-ms'] = 30_000
        entry['slo-ms'] = 4000
    return state


async def _open(made: Deployment, engines: int) -> list[EngineStandIn]:
    """Start upstreams whose runs take long, and let each of them answer."""
    started = [
        await made.add_engine(f'plain-{number}', PLAIN, first_s=_RUN_S)
        for number in range(engines)
    ]
    await made.ready()
    await made.change(_slow_routes())
    while not all(engine.ran for engine in started):
        await asyncio.gather(
            *(made.caller().ask('/safe/x', f'p{one}') for one in range(engines))
        )
    await made.until_retries_are_earned()
    return started


async def _answer_in_stop(
    made: Deployment, path: str, after_s: float
) -> Answer:
    """Ask so long after the instance was told to stop; wait for its end."""
    stopping = asyncio.create_task(made.instances[0].stop())
    await asyncio.sleep(after_s)
    fut = await made.caller().start(path, 'late')
    await stopping
    assert fut.done()
    return await fut


async def test_send_is_not_given_up_if_the_next_would_outlast_the_stop() -> (
    None
):
    async with deployment(1) as made:
        engines = await _open(made, 2)
        answer = await _answer_in_stop(made, '/safe/x', 2.8)
        assert (answer.status, answer.whole) == (200, True)
        ran = [seen.request_id for one in engines for seen in one.ran]
        assert ran.count('late') == 1


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
async def test_waiting_request_is_not_begun_if_it_would_outlast_the_stop(
    path: str,
) -> None:
    async with deployment(1) as made:
        engine = (await _open(made, 1))[0]
        stopping = asyncio.create_task(made.instances[0].stop())
        await asyncio.sleep(1.9)
        held = [
            await made.caller().start('/once/x', f'held-{number}')
            for number in range(_SLOTS)
        ]
        await until(lambda: engine.running == _SLOTS)
        waits = await made.caller().start(path, 'waits')
        await stopping
        answer = await waits
        assert (answer.status, answer.whole) == (503, True)
        assert float(answer.header('retry-after')) < 1
        assert 'waits' not in [seen.request_id for seen in engine.seen]
        answers = await asyncio.gather(*held)
        assert {answer.status for answer in answers} == {200}


async def test_new_request_is_refused_if_it_would_outlast_the_stop() -> None:
    async with deployment(1, grace_s=5) as made:
        engine = (await _open(made, 1))[0]
        answer = await _answer_in_stop(made, '/once/x', 1.8)
        assert (answer.status, answer.whole) == (503, True)
        assert 'late' not in [seen.request_id for seen in engine.seen]


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
async def test_request_without_an_answer_is_not_cut_at_the_end_of_a_stop(
    path: str,
) -> None:
    async with deployment(1) as made:
        engine = (await _open(made, 1))[0]
        engine.faults.append(EngineFault.hangs)
        fut = await made.caller().start(path, 'hangs')
        await until(lambda: bool(engine.running))
        await made.instances[0].stop()
        assert fut.done()
        answer = await fut
        assert (answer.status, answer.whole) == (502, True)


async def test_stop_without_requests_is_as_short_as_before() -> None:
    async with deployment(1) as made:
        await _open(made, 1)
        began_at = asyncio.get_running_loop().time()
        await made.instances[0].stop()
        assert asyncio.get_running_loop().time() - began_at < _ENDS_S / 2
