"""Planned stops in a soak beside requests whose runs take seconds.

Callers go on to ask an instance that was told to stop until it is gone. None of
their requests may be cut once an upstream was sent it.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal

from .platform_fleet import EntryProcess
from .platform_load import Caller, Tried, under_load
from .soak_site import LONG, Site, Violation
from .stop_run import VaryingEngine, cut_requests

_UPSTREAMS = 2
_SLOTS = 8
_PER_S = 8.0
_CALM_S = (1.0, 4.0)
_DOWN_S = 0.2
_POLL_S = 0.1
# Stops go on past the last fault until so many requests came late, as other
# faults may leave no instance to stop before.
_LEAST_LATE = 30
_EXTRA_S = 20.0


async def stop_beside_long_runs(site: Site, seed: int, ends_at: float) -> None:
    """Stop instances one at a time until this time, and check their callers."""
    rng = random.Random(seed)
    for number in range(_UPSTREAMS):
        engine = VaryingEngine(f'{LONG}-{number}', rng)
        await site.fleet.place_engine(engine, LONG, _SLOTS)
    stops = _Stops(site, rng)
    async with under_load(stops.ask, rng, _PER_S):
        await stops.stop_until(ends_at)
    stops.check()


class _Stops:
    """The instance that is stopped, and what its callers got."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._stopping: EntryProcess | None = None
        self._numbers = itertools.count(1)
        # Requests that were sent to an instance after it was told to stop.
        self._late: list[Tried] = []

    async def ask(self) -> None:
        """Ask the instance that is stopped, otherwise any."""
        stopping = self._stopping
        entry = stopping or self._rng.choice(self._site.fleet.entries)
        tried = await Caller(self._rng).ask(
            entry.name,
            entry.front,
            LONG,
            f'l{next(self._numbers)}',
            streams=False,
        )
        if stopping is not None:
            self._late.append(tried)

    async def stop_until(self, ends_at: float) -> None:
        """Stop one instance after the other."""
        while self._goes_on(ends_at):
            await asyncio.sleep(self._rng.uniform(*_CALM_S))
            entry = await self._started_one()
            async with entry.turn:
                await self._stop(entry)

    def check(self) -> None:
        """Check that no request was cut that an upstream was sent."""
        self._site.late += len(self._late)
        for tried in cut_requests(self._late, self._site.fleet.engines):
            detail = f'{tried.instance} {tried.request_id}'
            self._site.violations.append(Violation('planned stop', detail))

    def _goes_on(self, ends_at: float) -> bool:
        now = self._loop.time()
        if now < ends_at:
            return True
        return len(self._late) < _LEAST_LATE and now < ends_at + _EXTRA_S

    async def _started_one(self) -> EntryProcess:
        """Return an instance that runs and that no other fault has."""
        while True:
            entry = self._rng.choice(self._site.fleet.entries)
            if not entry.turn.locked() and entry.is_started():
                return entry
            await asyncio.sleep(_POLL_S)

    async def _stop(self, entry: EntryProcess) -> None:
        """Stop an instance as planned, and start it again."""
        now = self._loop.time()
        self._site.faults.append(f'{now:.2f} planned {entry.name}')
        self._stopping = entry
        entry.send(signal.SIGTERM)
        await entry.wait()
        self._stopping = None
        await asyncio.sleep(_DOWN_S)
        await entry.start()
