"""What binds an instance also while the store is in disturbance."""

import asyncio

from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import PLAIN, Caller, Deployment, deployment, until

_GONE = 'servers/plain-1'
# Longer than two heartbeats and a watch, so that entries may have lapsed.
_AWAY_S = 2.2
# A change may take this long here, which is less than a doubt lasts.
_CHANGE_S = 1.2


async def test_who_has_read_a_removal_is_bound_by_it() -> None:
    """A removal that was read is in force when a change must be.

    The doubt whether an entry only lapsed lasted 2.2 s from the return of
    the store, however short the time for changes was.
    """
    async with deployment(
        contact_s=9,
        change_s=_CHANGE_S,
        heartbeat_s=0.4,
    ) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        await _away(made)
        # The return is noticed 0.8 s late at the most.
        await until(
            lambda: made.instances[0].usable_upstreams == 1,
            0.8 + _CHANGE_S,
        )


async def test_what_lapsed_and_comes_back_is_used_all_along() -> None:
    async with deployment(change_s=4, heartbeat_s=0.4) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        await _away(made)
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert made.instances[0].usable_upstreams == 2
        made.register('plain-1', made.addresses['plain-1'], PLAIN)
        await asyncio.sleep(2)
        assert made.instances[0].usable_upstreams == 2


async def test_a_stop_without_a_store_loses_nothing_without_a_key() -> None:
    """Safe and unsafe requests are answered whole, as on any stop."""
    async with deployment(grace_s=4) as made:
        engine = await made.add_engine('plain-0', PLAIN, first_s=0.05)
        await made.ready()
        made.store.fault = StoreFault.silent
        await asyncio.sleep(_AWAY_S)
        stop = asyncio.create_task(made.instances[0].stop())
        statuses = await _visit_until(made, engine, stop)
        assert 200 in statuses
        # What is refused says so and was not run; nothing is cut.
        assert set(statuses) <= {200, 503}


async def _away(made: Deployment) -> None:
    """Lose the store for a while, in which an upstream's entry goes."""
    made.store.fault = StoreFault.silent
    await asyncio.sleep(_AWAY_S)
    made.store.remove(_GONE)
    made.store.fault = StoreFault.none


async def _visit_until(
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


async def test_one_that_knows_nothing_sends_no_callers_to_itself() -> None:
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
