"""Upstreams that end under some requests and come back as another start."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Collection

from tallyhall_standins.fatal_requests import FatalRequests
from tallyhall_standins.platform_engine import EngineStandIn, entry_fields
from tallyhall_standins.platform_store import StoreStandIn

from .ports import HOST, free_ports

FATAL = b'the request under which upstreams end'
# An upstream that ended is back after this long, under a new id.
BACK_S = 0.5
# Its last entry is removed this long after its end.
_LAPSES_S = 1.0
_SLOTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Mortality:
    """Under which requests upstreams end, and how they come back.

    parts: parts of prompts under which they end; may change meanwhile. events:
    how many events leave before that, None if not even a head does. back_s:
    shortest and longest time until they are back. moves: whether they come
    back at another address.
    """

    parts: Collection[str] = ()
    events: int | None = None
    back_s: tuple[float, float] = (BACK_S, BACK_S)
    moves: bool = False


class MortalUpstreams:
    """Upstreams of one service, each of which ends under `FATAL`."""

    def __init__(
        self,
        store: StoreStandIn,
        service: str,
        mortality: Mortality = Mortality(),  # noqa: B008, WPS404  (frozen)
        seed: int = 0,
    ) -> None:
        """Register with this store."""
        # When each of those that have ended did, by the loop's clock.
        self.ended_at: list[float] = []
        self.engines: dict[str, EngineStandIn] = {}
        # All of them, also those that have ended.
        self.all_engines: list[EngineStandIn] = []
        self._store = store
        self._service = service
        self._mortality = mortality
        self._fatal = FatalRequests(FATAL, mortality.parts, mortality.events)
        self._rng = random.Random(seed)
        self._serial = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ended(self) -> int:
        """Return how many have ended."""
        return len(self.ended_at)

    async def start(
        self,
        count: int,
        slots: int = _SLOTS,
        events: int = 6,
        first_s: float = 0.005,
        event_s: float = 0.002,
    ) -> None:
        """Start so many."""
        for port in free_ports(count):
            await self._add(port, slots, events, first_s, event_s)

    async def end_all(self) -> None:
        """End all at once, for no request's sake, and wait until all are back.

        As after the loss of power to a zone.
        """
        for engine in tuple(self.engines.values()):
            engine.end()
        await asyncio.sleep(self._mortality.back_s[1] + BACK_S)

    def close(self) -> None:
        """End all; none comes back any more."""
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.close()

    async def _add(
        self,
        port: int,
        slots: int,
        events: int,
        first_s: float,
        event_s: float,
    ) -> None:
        name = f'{self._service}-{next(self._serial)}'
        engine = EngineStandIn(
            name,
            events=events,
            first_s=first_s,
            event_s=event_s,
            fatal=self._fatal,
        )
        await engine.listen(HOST, port)
        fields = entry_fields(self._service, f'{HOST}:{port}', slots)
        self._store.put(f'servers/{name}', fields)
        self.engines[name] = engine
        self.all_engines.append(engine)
        task = asyncio.create_task(self._replace(engine, port, slots))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(
        self, engine: EngineStandIn, port: int, slots: int
    ) -> None:
        await engine.ended.wait()
        self.ended_at.append(asyncio.get_running_loop().time())
        self.engines.pop(engine.incarnation)
        await asyncio.gather(
            self._lapse(engine.incarnation),
            self._come_back(engine, port, slots),
        )

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(_LAPSES_S)
        self._store.remove(f'servers/{name}')

    async def _come_back(
        self, engine: EngineStandIn, port: int, slots: int
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*self._mortality.back_s))
        if self._mortality.moves:
            port = free_ports(1)[0]
        await self._add(
            port, slots, engine.events, engine.first_s, engine.event_s
        )
