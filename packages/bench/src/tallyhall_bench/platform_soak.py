"""A randomized fault run over real entry processes, from outside them.

Links are delayed, reset, cut one way or silenced; processes are stopped,
paused, killed and started again; the store, the upstreams and the desired
state misbehave and change. Faults come in series and overlap. What callers
and upstreams see is checked against what must always hold.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
from collections.abc import Coroutine, Iterable, Iterator

from tallyhall_dispatch.options import Listening
from tallyhall_standins.endless import EndlessEngine

from .datagram_link import DatagramLink
from .platform_fleet import open_link, platform_fleet
from .platform_load import DEADLINE_S, KEY, Caller, end_tasks
from .platform_run import STREAMED
from .soak_checks import check_answers, check_processes, check_recovery
from .soak_crowds import send_crowds
from .soak_early import early_upstreams
from .soak_endless import answer_endlessly
from .soak_fatal import ask_fatal, frail_upstreams
from .soak_faults import trouble
from .soak_parts import fatal_parts
from .soak_pauses import pausing_upstreams
from .soak_loads import check_sharing, report_wrongly, share_machines
from .soak_resets import reset_peers
from .soak_retries import check_retries, reject_and_lose
from .soak_site import (
    EVENTS,
    INSTANCES,
    OLD_KEY,
    ROUTES,
    Site,
    Troubles,
    soak_state,
)
from .soak_stops import stop_beside_long_runs
from .soak_versions import versioned_upstreams
from .upstream_links import UpstreamLinks

_OK = 200
# Troubles that runs of earlier seeds did not have.
_LATER = (
    'loads',
    'isolates',
    'versions',
    'parts',
    'rejects',
    'endless',
    'pauses',
    'crowds',
    'losses',
    'stops',
    'early',
    'resets',
)
_CALLERS = 12
# Faults that go on at the same time.
_AT_ONCE = 3
_CALLS_PER_S = 10
# An answer may come until its deadline and be on its way for a while.
_PATIENCE_S = DEADLINE_S + 1.0
_OLD_KEY_PART = 0.1
# After the last fault: leases of lost instances, retries, the longest time
# for which an upstream is left out.
_CALM_S = 7.0


async def soak(seed: int, seconds: float, troubles: Troubles) -> Site:
    """Run with this seed for this long, then wait for calm and check."""
    rng = random.Random(seed)
    async with platform_fleet(0, soak_state(1, with_old=True)) as fleet:
        site = Site(fleet, rng, troubles)
        await _build(site)
        work = [_load(site)]
        if troubles.loads:
            share_machines(site, seed)
            work.append(report_wrongly(site, seed))
        async with contextlib.AsyncExitStack() as stack:
            for services in _own_services(site, seed, seconds):
                await stack.enter_async_context(services)
            if troubles.fatal:
                work.append(ask_fatal(site, seed))
            await _disturb(site, seed, seconds, work)
        for link in site.datagram_links:
            link.close()
    return site


def _own_services(
    site: Site, seed: int, seconds: float
) -> Iterator[contextlib.AbstractAsyncContextManager[None]]:
    """Yield the troubles that have a service of their own."""
    troubles = site.troubles
    if troubles.versions:
        yield versioned_upstreams(site, seed)
    if troubles.parts:
        yield fatal_parts(site, seed)
    if troubles.pauses:
        yield pausing_upstreams(site, seed, seconds)
    if troubles.fatal:
        yield frail_upstreams(site)
    if troubles.early:
        yield early_upstreams(site, seed)


async def _disturb(
    site: Site,
    seed: int,
    seconds: float,
    work: Iterable[Coroutine[None, None, None]],
) -> None:
    """Run under load and faults, then without faults, and check."""
    tasks = [asyncio.create_task(one) for one in work]
    ends_at = asyncio.get_running_loop().time() + seconds
    courses = [trouble(site, ends_at) for _ in range(_AT_ONCE)]
    if site.troubles.rejects:
        courses.append(reject_and_lose(site, ends_at))
    if site.troubles.endless:
        courses.append(answer_endlessly(site, ends_at))
    if site.troubles.crowds:
        courses.append(send_crowds(site, ends_at))
    if site.troubles.stops:
        courses.append(stop_beside_long_runs(site, seed, ends_at))
    if site.troubles.resets:
        courses.append(reset_peers(site, seed, ends_at))
    await asyncio.gather(*courses)
    await asyncio.sleep(_CALM_S)
    await end_tasks(*tasks)
    await _check(site)


async def _check(site: Site) -> None:
    for engine in site.fleet.engines:
        engine.faults.clear()
    check_retries(site)
    if site.troubles.loads:
        await check_sharing(site)
    else:
        await check_recovery(site)
    check_answers(site)
    check_processes(site)


async def _build(site: Site) -> None:
    fleet = site.fleet
    fleet.store.on_write = site.put_link_between
    links = site.engine_links if site.troubles.all_links else None
    for number in range(1, 5):
        engine = EndlessEngine(f'engine-{number}', events=EVENTS)
        await fleet.place_engine(engine, 'engines', 4, links)
    for number in range(1, 4):
        engine = EndlessEngine(f'app-{number}')
        await fleet.place_engine(engine, 'app', 6, links)
    for _ in range(INSTANCES):
        await _add_entry(site)
    await fleet.until_ready()


async def _add_entry(site: Site) -> None:
    store_link, store_at = await open_link(await _seen_store(site))
    site.store_links.append(store_link)
    entry = await site.fleet.add_entry(store_at)
    front_link, front = await open_link(entry.front)
    site.front_links.append(front_link)
    site.fronts.append(front)
    if site.troubles.all_links:
        await _link_peer(site, entry.peer)


async def _link_peer(site: Site, peer: Listening) -> None:
    """Put links between an instance's address for peers and the others."""
    link, place = await open_link(peer)
    site.peer_links.append(link)
    site.peer_places[str(peer)] = str(place)
    datagrams = DatagramLink(link, peer)
    await datagrams.listen(place)
    site.datagram_links.append(datagrams)


async def _seen_store(site: Site) -> Listening:
    """Return the store as an instance sees it that has links of its own."""
    fleet = site.fleet
    if not site.troubles.isolates:
        return fleet.store_at
    links, view = await UpstreamLinks.open(fleet.addresses.values())
    site.upstream_links.append(links)
    return await fleet.open_view(view)


async def _load(site: Site) -> None:
    callers = [Caller(site.rng, _PATIENCE_S) for _ in range(_CALLERS)]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(_calls(site, caller))


async def _calls(site: Site, caller: Caller) -> None:
    while True:
        await _one_call(site, caller)
        await asyncio.sleep(site.rng.expovariate(_CALLS_PER_S))


async def _one_call(site: Site, caller: Caller) -> None:
    rng = site.rng
    site.serial += 1
    request_id = f'r{site.serial}'
    route = rng.choice(ROUTES)
    chosen = rng.randrange(INSTANCES)
    old_key = rng.random() < _OLD_KEY_PART
    if old_key:
        site.old_key_ids.add(request_id)
    site.asked.append((asyncio.get_running_loop().time(), route))
    tried = await caller.ask(
        site.fleet.entries[chosen].name,
        site.fronts[chosen],
        route,
        request_id,
        streams=route in STREAMED,
        key=OLD_KEY if old_key else KEY,
    )
    site.tries.append(tried)


def main() -> int:
    """Run seeds and return 1 if anything was broken."""
    args = _parse_args()
    troubles = Troubles(
        all_links=not args.old,
        fatal=args.fatal,
        **{name: not args.old and name not in args.without for name in _LATER},
    )
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        site = asyncio.run(soak(seed, args.seconds, troubles))
        served = sum(tried.status == _OK for tried in site.tries)
        sys.stdout.write(
            f'seed {seed} requests {len(site.tries)} served {served} '
            f'faults {len(site.faults)} ended {site.ended} '
            f'by parts {site.ended_by_parts} '
            f'streams {site.streams} taken up {site.taken_up} '
            f'retries {site.retries} late {site.late_retries} '
            f'in stops {site.late} uploads {site.uploads} '
            f'resets {site.resets} '
            f'violations {len(site.violations)}\n',
        )
        for violation in site.violations:
            sys.stdout.write(f'  {violation.promise}: {violation.detail}\n')
        sys.stdout.flush()
        broken += bool(site.violations)
    return 1 if broken else 0


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument(
        '--old',
        action='store_true',
        help='only the links that seeds up to 500 were drawn with',
    )
    parser.add_argument(
        '--fatal',
        action='store_true',
        help='one request ends upstreams of a service of its own',
    )
    parser.add_argument(
        '--without',
        action='append',
        choices=_LATER,
        default=[],
        help='leaves out a trouble, as in runs before there was it',
    )
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(main())
