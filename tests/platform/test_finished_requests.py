"""What a request held is free as soon as it has ended.

Objects that refer to each other in a cycle wait for the cycle collector, which
counts objects and not bytes: finished requests with large bodies could exceed
the memory of a process long before it runs.
"""

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator, Iterator

import pytest
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.relay import Relay
from tallyhall_edge.request_context import RequestContext
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.platform.harness import (
    PLAIN,
    TOKENS,
    Deployment,
    collector_off,
    deployment,
    patient,
    until,
)

_BODY = bytes(50_000)


@pytest.fixture(autouse=True)
def _collector_off() -> Iterator[None]:
    with collector_off():
        yield


@contextlib.asynccontextmanager
async def _served() -> AsyncIterator[tuple[Deployment, EngineStandIn]]:
    """Start an instance with an upstream of each kind."""
    async with deployment() as made:
        await made.change(patient(2))
        await made.add_engine('engine-0', first_s=0.05)
        engine = await made.add_engine('plain-0', PLAIN)
        await made.ready()
        yield made, engine


def _held() -> list[object]:
    """Return what is left of requests."""
    kinds = (Relay, RequestContext)
    left = gc.get_objects()
    held: list[object] = [one for one in left if isinstance(one, kinds)]
    held.extend(
        one
        for one in left
        if isinstance(one, Exchange) and one.head.method == b'POST'
    )
    return held


async def _until_free() -> None:
    await until(lambda: not _held(), within_s=1)


@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x'])
async def test_an_answered_request_is_freed_at_once(path: str) -> None:
    async with _served() as (made, _):
        caller = made.caller()
        answer = await caller.ask(path, 'r1', body=_BODY, **TOKENS)
        assert answer.status == 200
        await _until_free()


@pytest.mark.parametrize(
    ('fault', 'status'),
    [
        (EngineFault.rejects, 200),
        (EngineFault.resets_first, 200),
        (EngineFault.fails, 500),
    ],
)
async def test_a_request_that_was_sent_again_is_freed_at_once(
    fault: EngineFault, status: int
) -> None:
    async with _served() as (made, engine):
        other = await made.add_engine('plain-1', PLAIN)
        await until(lambda: made.instances[0].usable_upstreams == 3)
        engine.faults.append(fault)
        other.faults.append(fault)
        answer = await made.caller().ask('/safe/x', 'r1', body=_BODY)
        assert answer.status in {status, 503, 502}
        await _until_free()


@pytest.mark.parametrize('path', ['/nowhere/x', '/once/x'])
async def test_a_refused_request_is_freed_at_once(path: str) -> None:
    async with _served() as (made, _):
        answer = await made.caller().ask(path, 'r1', body=_BODY, key='unknown')
        assert answer.status in {401, 404}
        await _until_free()


async def test_a_request_that_timed_out_is_freed_at_once() -> None:
    async with _served() as (made, engine):
        engine.faults.append(EngineFault.hangs)
        extra = {'X_Tallyhall_Deadline_Ms': '200'}
        answer = await made.caller().ask('/once/x', 'r1', body=_BODY, **extra)
        assert answer.status == 504
        await _until_free()


async def test_a_request_whose_caller_left_is_freed_at_once() -> None:
    async with _served() as (made, engine):
        engine.faults.append(EngineFault.hangs)
        caller = made.caller()
        await caller.start('/once/x', 'r1', body=_BODY)
        await asyncio.sleep(0.1)
        assert caller.conn is not None
        caller.conn.close()
        await _until_free()
