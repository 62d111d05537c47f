"""A stream goes on at a second engine while a silent, sound one works on it."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-2'))

from client import KEY, ask  # noqa: E402
from engine import Engine  # noqa: E402
from fleet import Fleet, Record, main, route, service  # noqa: E402

ENGINES = 4
SILENT_S = float(os.environ.get('SILENT', '1.2'))
EVERY_S = 2.5
PER_S = 12.0
LENGTH_S = 25.0
STILL_S = 0.4


class Quiet(Engine):
    """Falls silent at times: it reads and sends nothing, and works on."""

    silent_until = 0.0

    async def falls_silent(self) -> None:
        loop = asyncio.get_running_loop()
        self.silent_until = loop.time() + SILENT_S

    async def audible(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self.silent_until:
            await asyncio.sleep(self.silent_until - loop.time())

    async def stream(self, run, writer) -> bool:
        loop = asyncio.get_running_loop()
        at = loop.time() + self.first_s
        await asyncio.sleep(self.first_s)
        await self.audible()
        head = [
            *self.signed(run),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        await self.send(writer, 200, head)
        for event in self.event_texts(run):
            # Its work keeps its pace, whether it is heard or not.
            await asyncio.sleep(max(0, at - loop.time()))
            at += self.event_s
            await self.audible()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def until_closed(self, reader) -> None:
        await super().until_closed(reader)
        # What is closed while it is silent it sees afterwards.
        await self.audible()


def state() -> dict:
    return {
        'version': 1,
        'routes': [
            route('sum', 'streaming', 'llm', resumable=True, **{'slo-ms': 800})
        ],
        'services': [service('llm', engine={'stride': 5})],
        'tenants': [{'name': 'shop', 'api-keys': [KEY], 'unit': 'tokens'}],
    }


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    loop = asyncio.get_running_loop()
    rng = random.Random(7)
    await fleet.begin(state())
    for number in range(ENGINES):
        one = Quiet(f'llm-{number}', 'llm')
        one.first_s, one.event_s, one.events = 0.1, 0.05, 30
        await fleet.add_engine(one)
    for zone in ('a', 'a', 'b'):
        await fleet.add_entry(zone)
    await fleet.until_ready()
    began = loop.time()
    ends_at = began + LENGTH_S

    async def silences() -> None:
        for number in range(int(LENGTH_S / EVERY_S)):
            await asyncio.sleep(EVERY_S)
            one = fleet.engines[number % ENGINES]
            record(f'{loop.time() - began:8.3f} {one.name} falls silent for {SILENT_S} s')
            await one.falls_silent()

    task = asyncio.ensure_future(silences()) if trouble else None
    calls = set()
    serial = 0
    while loop.time() < ends_at:
        serial += 1
        entry = rng.choice(fleet.entries)
        more = [('X-Tallyhall-Token-Counts', '400,300')]
        call = asyncio.ensure_future(
            ask(entry.name, entry.front, 'sum', f'r{serial}', body=b'hello', more=more)
        )
        calls.add(call)
        await asyncio.sleep(rng.expovariate(PER_S))
    tried = await asyncio.gather(*calls)
    if task is not None:
        task.cancel()
    return judge(fleet, record, tried, began)


def judge(fleet, record, tried, began) -> bool:
    runs = collections.defaultdict(list)
    for one in fleet.engines:
        for run in one.runs:
            if run.ran:
                runs[run.request_id].append(run)
    broken = 0
    for one in sorted(tried, key=lambda each: each.at):
        record(one.line(began))
        ordered = sorted(runs[one.request_id], key=lambda run: run.began_at)
        for before, after in zip(ordered, ordered[1:]):
            still_s = before.ended_at - after.began_at
            record(
                f'    ran at {before.engine} from {before.began_at - began:.3f} to '
                f'{before.ended_at - began:.3f} ({before.how}); went on at '
                f'{after.engine} at {after.began_at - began:.3f} after event '
                f'{after.headers.get("last-event-id")}: both at work for {still_s:.3f} s'
            )
            broken += still_s > STILL_S
    record.say(
        f'{len(tried)} streams, {sum(one.served for one in tried)} served; '
        f'{sum(len(each) > 1 for each in runs.values())} went on at a second engine, '
        f'{broken} of them while the first one still worked on them 400 ms later'
    )
    return broken > 0


main(__file__, play)
