"""Planned stops in a soak beside requests whose runs take seconds.

Callers go on to ask an instance that was told to stop until it is gone. None of
their requests may be cut once an upstream was sent it.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
from collections.abc import AsyncIterator

from .platform_fleet import EntryProcess
from .platform_load import Caller, Tried, under_load
from .soak_site import LONG, Site, Violation
from .stop_run import VaryingEngine, cut_requests

_UPSTREAMS = 2
_SLOTS = 8
_PER_S = 8.0
_CALM_S = (1.0, 4.0)
_DOWN_S = 0.2
# How long a stop takes at most.
_STOP_S = 8.0


@contextlib.asynccontextmanager
async def stops_beside_long_runs(
    site: Site, seed: int, seconds: float
) -> AsyncIterator[None]:
    """Run upstreams with long runs, and stop instances one at a time.

    seconds: how long there are faults; the last stop begins some time before.
    """
    rng = random.Random(seed)
    for number in range(_UPSTREAMS):
        engine = VaryingEngine(f'{LONG}-{number}', rng)
        await site.fleet.place_engine(engine, LONG, _SLOTS)
    now = asyncio.get_running_loop().time()
    stops = _Stops(site, rng, now + seconds - _STOP_S / 2)
    async with stops.running():
        yield
    stops.check()


class _Stops:
    """The instance that is stopped, and what its callers got."""

    def __init__(self, site: Site, rng: random.Random, last_at: float) -> None:
        self._site = site
        self._rng = rng
        self._last_at = last_at
        self._loop = asyncio.get_running_loop()
        self._stopping: EntryProcess | None = None
        self._numbers = itertools.count(1)
        # Requests that were sent to an instance after it was told to stop.
        self._late: list[Tried] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ask and stop."""
        stopping = asyncio.create_task(self._stop())
        try:
            async with under_load(self._ask, self._rng, _PER_S):
                yield
        finally:
            stopping.cancel()
            await asyncio.wait((stopping,))

    def check(self) -> None:
        """Check that no request was cut that an upstream was sent."""
        self._site.late += len(self._late)
        for tried in cut_requests(self._late, self._site.fleet.engines):
            detail = f'{tried.instance} {tried.request_id}'
            self._site.violations.append(Violation('planned stop', detail))

    async def _ask(self) -> None:
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

    async def _stop(self) -> None:
        rng = self._rng
        while self._loop.time() < self._last_at:
            await asyncio.sleep(rng.uniform(*_CALM_S))
            entry = rng.choice(self._site.fleet.entries)
            async with entry.turn:
                if not entry.is_started():
                    continue
                now = self._loop.time()
                self._site.faults.append(f'{now:.2f} planned {entry.name}')
                self._stopping = entry
                entry.send(signal.SIGTERM)
                await entry.wait()
                self._stopping = None
                await asyncio.sleep(_DOWN_S)
                await entry.start()
