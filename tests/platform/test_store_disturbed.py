"""Guarantees that hold even while the store is unavailable."""

import asyncio

from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import PLAIN, Caller, Deployment, deployment, until

_REMOVED_KEY = 'servers/plain-1'
# Longer than two heartbeats and a watch, so that entries may have expired.
_OUTAGE_S = 2.2
# Time limit for a change, shorter than removals are held after an outage.
_CHANGE_S = 1.2


async def test_a_removal_is_applied_in_time_after_an_outage() -> None:
    """A removal that was read is applied within `change_s`.

    Removals used to be held for 2.2 s after the return of the store, even if
    the time limit for changes was shorter.
    """
    async with deployment(
        contact_s=9,
        change_s=_CHANGE_S,
        heartbeat_s=0.4,
    ) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        await _outage(made)
        # The return of the store is noticed within 0.8 s.
        await until(
            lambda: made.instances[0].usable_upstreams == 1,
            0.8 + _CHANGE_S,
        )


async def test_an_expired_entry_that_returns_is_used_throughout() -> None:
    async with deployment(change_s=4, heartbeat_s=0.4) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        await _outage(made)
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert made.instances[0].usable_upstreams == 2
        made.register('plain-1', made.addresses['plain-1'], PLAIN)
        await asyncio.sleep(2)
        assert made.instances[0].usable_upstreams == 2


async def test_stopping_without_the_store_loses_no_public_request() -> None:
    """Requests without a key are answered completely, as at any stop."""
    async with deployment(grace_s=4) as made:
        engine = await made.add_engine('plain-0', PLAIN, first_s=0.05)
        await made.ready()
        made.store.fault = StoreFault.silent
        await asyncio.sleep(_OUTAGE_S)
        stop = asyncio.create_task(made.instances[0].stop())
        statuses = await _ask_until(made, engine, stop)
        assert 200 in statuses
        # Refused requests are answered and not executed; none is cut off.
        assert set(statuses) <= {200, 503}


async def _outage(made: Deployment) -> None:
    """Make the store silent for a while and remove an upstream's entry."""
    made.store.fault = StoreFault.silent
    await asyncio.sleep(_OUTAGE_S)
    made.store.remove(_REMOVED_KEY)
    made.store.fault = StoreFault.none


async def _ask_until(
    made: Deployment,
    engine: EngineStandIn,
    stop: asyncio.Task[None],
) -> list[int]:
    """Send requests on an open connection until it is closed."""
    statuses = []
    caller = made.caller()
    number = 0
    while not stop.done():
        number += 1
        ran = len(engine.ran)
        try:
            answer = await caller.ask('/open/x', f'r{number}', key='')
        except OSError:
            break
        if answer.status == 0:
            # The connection was closed before the request was read.
            assert len(engine.ran) == ran
            break
        assert answer.whole
        statuses.append(answer.status)
    await stop
    return statuses


async def test_an_instance_without_state_locates_nothing() -> None:
    async with deployment() as made:
        await made.ready()
        made.store.fault = StoreFault.silent
        await made.add_instance()
        known, blank = (Caller(options.locate) for options in made.options)
        path = '/resolve?name=shop.example&region=r&zone=a'
        asked = {'method': 'GET', 'body': b''}
        assert (await known.ask(path, 'r1', **asked)).status == 200
        assert (await blank.ask(path, 'r2', **asked)).status == 503
        made.store.fault = StoreFault.none
        await made.ready()
        assert (await blank.ask(path, 'r3', **asked)).status == 200
