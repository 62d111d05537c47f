"""Resets of connections between two machines end a service for good.

Three entry processes, three model engines and two plain ones. Connections that
lead to one machine from the others are reset once a second for a while.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-2'))

from client import KEY, ask  # noqa: E402
from engine import Engine  # noqa: E402
from fleet import CannotRunError, Fleet, Record, main, route, service  # noqa: E402
from fleet import free_ports  # noqa: E402
from link import Link  # noqa: E402

ENGINES = 2
SLOTS = 3
SUM_PER_S = float(os.environ.get('SUM_PER_S', '30'))
SAFE_PER_S = 8.0
QUIET_S = 5.0
RESETS = int(os.environ.get('RESETS', '30'))
EVERY_S = 1.0
RECOVER_S = 12.0
AFTER_S = 12.0


def state(version: int, *, later: bool) -> dict:
    routes = [route('safe', 'safe', 'app')]
    if later:
        routes.append(route('sum', 'streaming', 'llm', resumable=True))
    return {
        'version': version,
        'routes': routes,
        'services': [service('app'), service('llm', engine={'stride': 5})],
        'tenants': [{'name': 'shop', 'api-keys': [KEY], 'unit': 'tokens'}],
    }


def link_peers(fleet: Fleet, links: dict[str, Link]) -> None:
    """Let machines learn the addresses of links to each other from the store."""
    write = fleet.store._write

    def linked(key: str, content: bytes, lease: int) -> None:
        name = key.removeprefix('tallyhall/instances/')
        if name != key and name in links:
            fields = json.loads(content)
            fields['peer'] = f'127.0.0.1:{links[name].port}'
            content = json.dumps(fields).encode()
        write(key, content, lease)

    fleet.store._write = linked


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    loop = asyncio.get_running_loop()
    rng = random.Random(9)
    links: dict[str, Link] = {}
    link_peers(fleet, links)
    await fleet.begin(state(1, later=False))
    for number in range(ENGINES):
        one = Engine(f'llm-{number}', 'llm')
        one.slots, one.slot = SLOTS, asyncio.Semaphore(SLOTS)
        await fleet.add_engine(one)
    for number in range(2):
        await fleet.add_engine(Engine(f'app-{number}', 'app'))
    for zone in ('a', 'a', 'b'):
        await fleet.add_entry(zone, links=links)
    await fleet.until_ready()
    fleet.store.put('op/config', state(2, later=True))
    await asyncio.sleep(3)
    began = loop.time()
    tried: list = []
    calls: set = set()

    async def call(name: str, number: int) -> None:
        entry = rng.choice(fleet.entries)
        more = [('X-Tallyhall-Token-Counts', '400,40')] if name == 'sum' else []
        tried.append(
            await ask(
                entry.name, entry.front, name, f'{name}{number}',
                body=b'hello', deadline_s=6, more=more,
            )
        )

    async def load(name: str, per_s: float, until: float) -> None:
        while loop.time() < until:
            calls.add(asyncio.ensure_future(call(name, len(calls))))
            await asyncio.sleep(rng.expovariate(per_s))

    resets_end = began + QUIET_S + RESETS * EVERY_S
    ends_at = resets_end + RECOVER_S + AFTER_S
    loads = [
        asyncio.ensure_future(load('sum', SUM_PER_S, ends_at)),
        asyncio.ensure_future(load('safe', SAFE_PER_S, ends_at)),
    ]
    await asyncio.sleep(QUIET_S)
    owner = granted_by(fleet)
    others = [one for one in fleet.entries if one.name != owner]
    record(f'{owner} grants the places of the service')
    for number in range(RESETS):
        await asyncio.sleep(EVERY_S)
        if trouble:
            victim = others[number % len(others)]
            record(f'{loop.time() - began:8.3f} connections to {victim.name} are reset')
            links[victim.name].reset()
    await asyncio.gather(*loads)
    await asyncio.gather(*calls)
    return judge(fleet, record, tried, began, began + QUIET_S, resets_end)


def granted_by(fleet: Fleet) -> str:
    """Return the machine that grants places to the others, as their logs say."""
    counts: collections.Counter = collections.Counter()
    for entry in fleet.entries:
        for line in entry.events('permitted'):
            if line['upstream'].startswith('llm') and line['by'] != entry.name:
                counts[line['by']] += 1
    if not counts:
        raise CannotRunError('no machine grants places to another one')
    return counts.most_common(1)[0][0]


def judge(fleet, record, tried, began, quiet_until, resets_end) -> bool:
    for one in sorted(tried, key=lambda each: each.at):
        record(one.line(began))
    settled = resets_end + RECOVER_S
    late = {
        name: [one for one in tried if one.at >= settled and one.route == name]
        for name in ('sum', 'safe')
    }
    before = [one for one in tried if one.at < quiet_until and one.route == 'sum']
    share = {
        name: sum(one.served for one in each) / max(1, len(each))
        for name, each in late.items()
    }
    record.say(
        f'before the resets {sum(one.served for one in before)} of {len(before)} '
        f'streams were served; from recover-s after the last reset on '
        f'{sum(one.served for one in late["sum"])} of {len(late["sum"])} requests on '
        f'the route that was added later, and {sum(one.served for one in late["safe"])} '
        f'of {len(late["safe"])} on the first route'
    )
    everything = [*late["sum"], *late["safe"]]
    record(
        f"RECOVER: {sum(one.served for one in everything)} of {len(everything)} "
        f"requests served from recover-s after the last reset on"
    )
    return len(late["sum"]) >= 20 and share['sum'] < share['safe'] / 4


# TROUBLE=0 plays the same without the disruption.
main(__file__, play, trouble=os.environ.get('TROUBLE', '1') != '0')
