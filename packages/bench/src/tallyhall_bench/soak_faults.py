"""The faults of a fault run, each for a while."""

from __future__ import annotations

import asyncio
import signal
import types
from collections.abc import Awaitable, Callable, Mapping

from tallyhall_standins.platform_engine import EngineFault
from tallyhall_standins.platform_store import StoreFault

from .faulty_link import FaultyLink, LinkFault
from .platform_fleet import EntryProcess, restart_together
from .soak_site import Site, Violation, soak_state
from .upstream_links import MODES

# Revoked keys must not work for longer than this, as the settings say.
_REVOKE_S = 5.0
_EVEN = 0.5
# How often instances are isolated in a row.
_TIMES_AGAIN = 3

Fault = Callable[[Site, float], Awaitable[None]]


async def trouble(site: Site, ends_at: float) -> None:
    """Bring one fault after the other until this time."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        names = sorted(_FAULTS)
        if site.troubles.all_links:
            names.extend(sorted(_LINK_FAULTS))
        if site.troubles.isolates:
            names.extend(sorted(_ISOLATIONS))
        name = site.rng.choice(names)
        for_s = site.rng.uniform(0.2, 3)
        if name in site.busy:
            await asyncio.sleep(0.1)
            continue
        site.busy.add(name)
        site.faults.append(f'{loop.time():.2f} {name} {for_s:.2f}')
        fault = _ALL_FAULTS[name]
        await fault(site, for_s)
        site.busy.discard(name)
        await asyncio.sleep(site.rng.uniform(0, 1))


def _any_entry(site: Site) -> EntryProcess:
    return site.rng.choice(site.fleet.entries)


async def _kill(site: Site, for_s: float) -> None:
    await _any_entry(site).restart(signal.SIGKILL, for_s)


async def _kill_all(site: Site, for_s: float) -> None:
    await restart_together(site.fleet.entries, signal.SIGKILL, for_s / 2)


async def _stop(site: Site, for_s: float) -> None:
    await _any_entry(site).restart(signal.SIGTERM, for_s / 3)


async def _pause(site: Site, for_s: float) -> None:
    entry = _any_entry(site)
    async with entry.turn:
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        entry.send(signal.SIGCONT)


async def _reload(site: Site, for_s: float) -> None:
    entry = _any_entry(site)
    # Before its handler stands, the signal would end a starting process.
    async with entry.turn:
        if entry.is_started():
            entry.send(signal.SIGHUP)
    await asyncio.sleep(for_s / 3)


async def _store_link(site: Site, for_s: float) -> None:
    await _disturb(site, site.rng.choice(site.store_links), for_s)


async def _front_link(site: Site, for_s: float) -> None:
    await _disturb(site, site.rng.choice(site.front_links), for_s)


async def _engine_link(site: Site, for_s: float) -> None:
    await _disturb(site, site.rng.choice(site.engine_links), for_s)


async def _peer_link(site: Site, for_s: float) -> None:
    await _disturb(site, site.rng.choice(site.peer_links), for_s)


async def _isolate_one(site: Site, for_s: float) -> None:
    await _isolate(site, 1, for_s)


async def _isolate_most(site: Site, for_s: float) -> None:
    await _isolate(site, len(site.upstream_links) - 1, for_s)


async def _isolate_again(site: Site, for_s: float) -> None:
    for _ in range(_TIMES_AGAIN):
        await _isolate(site, 1, for_s / 2)
        await asyncio.sleep(for_s / _TIMES_AGAIN)


async def _isolate(site: Site, count: int, for_s: float) -> None:
    """Take all upstreams from some instances."""
    mode = site.rng.choice(MODES)
    chosen = site.rng.sample(site.upstream_links, count)
    for links in chosen:
        await links.lose(mode)
    await asyncio.sleep(for_s)
    for links in chosen:
        await links.restore()


async def _disturb(site: Site, link: FaultyLink, for_s: float) -> None:
    kind = site.rng.randrange(3)
    if kind == 0:
        link.reset_all()
        return
    if kind == 1:
        link.silence_open()
        return
    link.fault = site.rng.choice(tuple(LinkFault))
    await asyncio.sleep(for_s)
    link.fault = LinkFault.none
    # What was swallowed is lost: nothing sound can follow on it.
    link.reset_all()


async def _store(site: Site, for_s: float) -> None:
    store = site.fleet.store
    store.fault = site.rng.choice(tuple(StoreFault))
    store.delay_s = site.rng.choice((0, 0.3))
    await asyncio.sleep(for_s)
    store.fault = StoreFault.none
    store.delay_s = 0
    if site.rng.random() < _EVEN:
        store.compact()


async def _engines(site: Site, for_s: float) -> None:
    faults = [fault for fault in EngineFault if fault is not EngineFault.none]
    for engine in site.rng.sample(site.fleet.engines, 3):
        engine.faults.extend(site.rng.choices(faults, k=3))
    await asyncio.sleep(for_s)


async def _change_state(site: Site, for_s: float) -> None:
    site.version += site.rng.randrange(1, 4)
    state = soak_state(site.version, with_old=not site.revoking)
    site.fleet.store.put('op/config', state)
    await asyncio.sleep(for_s / 2)


async def _revoke(site: Site, for_s: float) -> None:
    site.version += 1
    site.revoking = True
    site.fleet.store.put('op/config', soak_state(site.version, with_old=False))
    await asyncio.sleep(_REVOKE_S)
    from_serial = site.serial
    await asyncio.sleep(for_s)
    upto_serial = site.serial
    site.version += 1
    site.revoking = False
    site.fleet.store.put('op/config', soak_state(site.version, with_old=True))
    forbidden = {f'r{number}' for number in range(from_serial + 2, upto_serial)}
    for engine in site.fleet.engines:
        for seen in engine.ran:
            if seen.request_id in forbidden & site.old_key_ids:
                site.violations.append(
                    Violation('revoked key', seen.request_id),
                )


_ISOLATIONS: Mapping[str, Fault] = types.MappingProxyType(
    {
        'isolate_again': _isolate_again,
        'isolate_most': _isolate_most,
        'isolate_one': _isolate_one,
    },
)
_LINK_FAULTS: Mapping[str, Fault] = types.MappingProxyType(
    {'engine_link': _engine_link, 'peer_link': _peer_link},
)
_FAULTS: Mapping[str, Fault] = types.MappingProxyType(
    {
        'change_state': _change_state,
        'engines': _engines,
        'front_link': _front_link,
        'kill': _kill,
        'kill_all': _kill_all,
        'pause': _pause,
        'reload': _reload,
        'revoke': _revoke,
        'stop': _stop,
        'store': _store,
        'store_link': _store_link,
    }
)
_ALL_FAULTS: Mapping[str, Fault] = types.MappingProxyType(
    {**_FAULTS, **_LINK_FAULTS, **_ISOLATIONS},
)
