"""Upstreams that end under one request and come back as another start."""

import asyncio
import itertools

from tallyhall_standins.platform_engine import EngineStandIn

from tests.platform.harness import HOST, MODEL, Deployment

FATAL = b'the request under which upstreams end'
# An upstream that ended is back after this long, under a new id.
BACK_S = 0.5
# Its last entry is removed this long after its end.
_LAPSES_S = 1.0


class MortalUpstreams:
    """Upstreams of one service, each of which ends under `FATAL`."""

    def __init__(self, made: Deployment, service: str = MODEL) -> None:
        """Register with this deployment's store."""
        self.ended = 0
        self.engines: dict[str, EngineStandIn] = {}
        self._made = made
        self._service = service
        self._serial = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int, **pace: float) -> None:
        """Start so many."""
        for _ in range(count):
            engine = await self._made.add_engine(
                self._next_name(), self._service, fatal=FATAL, **pace
            )
            self._watch(engine)

    async def end_all(self) -> None:
        """End all at once, for no request's sake, and wait until all are back.

        As after the loss of power to a zone.
        """
        for engine in tuple(self.engines.values()):
            engine.end()
        await asyncio.sleep(BACK_S * 2)

    def close(self) -> None:
        """Let none come back any more."""
        for task in self._tasks:
            task.cancel()

    def _next_name(self) -> str:
        return f'{self._service}-{next(self._serial)}'

    def _watch(self, engine: EngineStandIn) -> None:
        self.engines[engine.incarnation] = engine
        task = asyncio.create_task(self._replace(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, engine: EngineStandIn) -> None:
        await engine.ended.wait()
        self.ended += 1
        name = engine.incarnation
        self.engines.pop(name)
        await asyncio.sleep(BACK_S)
        address = self._made.addresses[name]
        port = int(address.rpartition(':')[2])
        heir = EngineStandIn(
            self._next_name(),
            events=engine.events,
            first_s=engine.first_s,
            event_s=engine.event_s,
            fatal=FATAL,
        )
        await heir.listen(HOST, port)
        self._made.register(heir.incarnation, address, self._service)
        self._watch(heir)
        await asyncio.sleep(_LAPSES_S - BACK_S)
        self._made.store.remove(f'servers/{name}')
