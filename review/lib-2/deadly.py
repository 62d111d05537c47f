"""Engines that one part of a prompt crashes, and the load on them.

NEW-ON-THE-PAGES: one part of a prompt may crash each engine that begins to
write an answer on it; the engine is back after some seconds. Requests with that
part come at any machine, no two alike; sound ones share their caller and their
other parts.
"""

from __future__ import annotations

import asyncio
import random

from client import ask
from engine import Engine
from fleet import Fleet, free_ports

CONTACT_S = 3.0


class Mortal(Engine):
    """Crashes as it begins to answer a prompt with the deadly part."""

    deadly = ''
    fleet: Fleet
    crashes: list[float]
    back_s = 2.0
    beat_s = 1.2

    async def stream(self, run, writer) -> bool:
        prefix = run.headers.get('x-tallyhall-prompt-prefix', '')
        if self.deadly in [one.partition(':')[0] for one in prefix.split(',')]:
            await asyncio.sleep(self.first_s)
            self.crashes.append(asyncio.get_running_loop().time())
            self.fleet.store_changes.append(asyncio.ensure_future(self._return()))
            self.crash()
            await asyncio.sleep(60)
        return await super().stream(run, writer)

    async def _return(self) -> None:
        """Start again after some seconds, as a new boot under a new id."""
        await asyncio.sleep(self.back_s)
        one = type(self)(f'{self.name}x', self.service)
        one.crashes = self.crashes
        one.fleet = self.fleet
        for name in ('deadly', 'first_s', 'event_s', 'events', 'back_s'):
            setattr(one, name, getattr(self, name))
        await self.fleet.add_engine(one)
        # Three ping intervals of silence after its last one.
        await asyncio.sleep(max(0, 3 * self.beat_s - self.back_s))
        self.fleet.store.remove(f'servers/{self.name}')


async def load(
    fleet: Fleet,
    rng: random.Random,
    parts_of,
    per_s: float,
    until: float,
    tried: list,
    tag: str,
    route: str = 'sum',
) -> None:
    """Ask with the parts that `parts_of` returns, and one of its own."""
    loop = asyncio.get_running_loop()
    serial = 0
    calls = set()

    async def one(entry, request_id, parts) -> None:
        prefix = ','.join(f'{part}:100' for part in (*parts, f'{serial:08x}f'))
        more = [
            ('X-Tallyhall-Token-Counts', f'{100 * (len(parts) + 1)},40'),
            ('X-Tallyhall-Prompt-Prefix', prefix),
        ]
        tried.append(
            await ask(
                entry.name, entry.front, route, request_id,
                body=request_id.encode(), more=more,
            )
        )

    while loop.time() < until:
        serial += 1
        entry = rng.choice(fleet.entries)
        call = asyncio.ensure_future(one(entry, f'{tag}{serial}', parts_of()))
        calls.add(call)
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*calls)
