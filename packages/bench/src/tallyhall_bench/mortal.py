"""Upstreams that end under one request and come back as another start."""

from __future__ import annotations

import asyncio
import itertools

from tallyhall_standins.platform_engine import EngineStandIn, entry_fields
from tallyhall_standins.platform_store import StoreStandIn

from .ports import HOST, free_ports

FATAL = b'the request under which upstreams end'
# An upstream that ended is back after this long, under a new id.
BACK_S = 0.5
# Its last entry is removed this long after its end.
_LAPSES_S = 1.0
_SLOTS = 4


class MortalUpstreams:
    """Upstreams of one service, each of which ends under `FATAL`."""

    def __init__(self, store: StoreStandIn, service: str) -> None:
        """Register with this store."""
        self.ended = 0
        self.engines: dict[str, EngineStandIn] = {}
        self._store = store
        self._service = service
        self._serial = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(
        self,
        count: int,
        events: int = 6,
        first_s: float = 0.005,
    ) -> None:
        """Start so many."""
        for port in free_ports(count):
            await self._add(port, events, first_s)

    async def end_all(self) -> None:
        """End all at once, for no request's sake, and wait until all are back.

        As after the loss of power to a zone.
        """
        for engine in tuple(self.engines.values()):
            engine.end()
        await asyncio.sleep(BACK_S * 2)

    def close(self) -> None:
        """End all; none comes back any more."""
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.close()

    async def _add(self, port: int, events: int, first_s: float) -> None:
        name = f'{self._service}-{next(self._serial)}'
        engine = EngineStandIn(
            name, events=events, first_s=first_s, fatal=FATAL
        )
        await engine.listen(HOST, port)
        fields = entry_fields(self._service, f'{HOST}:{port}', _SLOTS)
        self._store.put(f'servers/{name}', fields)
        self.engines[name] = engine
        task = asyncio.create_task(self._replace(engine, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, engine: EngineStandIn, port: int) -> None:
        await engine.ended.wait()
        self.ended += 1
        name = engine.incarnation
        self.engines.pop(name)
        await asyncio.sleep(BACK_S)
        await self._add(port, engine.events, engine.first_s)
        await asyncio.sleep(_LAPSES_S - BACK_S)
        self._store.remove(f'servers/{name}')
