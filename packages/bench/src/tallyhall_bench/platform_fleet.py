"""Real entry processes before stand-ins of the users' platform.

The store and the upstreams run in this process, each entry instance in its
own, started as the platform starts it. Processes are ended by their ids.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from typing import Any

from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_standins.platform_engine import EngineStandIn, entry_fields
from tallyhall_standins.platform_store import StoreStandIn, View

from .faulty_link import FaultyLink
from .ports import HOST, free_ports

_ENTRY = pathlib.Path(__file__).resolve().parents[4] / 'deploy' / 'entry.py'
_PORTS = 6
_STARTING_S = 10
_ENDING_S = 12
_MILLI = 1000
# As the settings of all entry processes state them.
MEMORY_MB = 150
RETRY_LIMITS = RetryLimits(ratio=0.2, allowance=50, window_s=10)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits that the settings of an entry process state; memory in MB."""

    memory_mb: float = MEMORY_MB
    descriptors: int = 1000


_USUAL_LIMITS = EntryLimits()


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """One entry instance, its addresses and what it wrote."""

    name: str
    front: Listening
    ready: Listening
    locate: Listening
    peer: Listening
    metrics: Listening
    tunnel: Listening
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    # Held by whoever ends, pauses or starts the process.
    turn: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    _log_from: int = 0
    # How it was started last, and with which variables.
    _command: Sequence[str] = (sys.executable, str(_ENTRY))
    _variables: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def pid(self) -> int:
        """Return the id of the process; raise RuntimeError before its start."""
        if self.process is None:
            raise RuntimeError(f'{self.name} is not started')
        return self.process.pid

    async def start(
        self,
        command: Sequence[str] = (),
        **variables: str,
    ) -> None:
        """Start the process; its log goes on in the same file.

        command, variables: stay for later starts; without a command it starts
        as it did last.
        """
        if command:
            self._command = command
            self._variables = variables
        config = {'TALLYHALL_CONFIG': str(self.settings)}
        with self.log.open('ab') as log:
            self._log_from = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                env={**os.environ, **self._variables, **config},
                stdout=log,
                stderr=log,
            )

    def is_started(self) -> bool:
        """Return whether this run of the process has opened its addresses."""
        with self.log.open('rb') as log:
            log.seek(self._log_from)
            return b'"started"' in log.read()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals, down_s: float) -> None:
        """End the process by a signal, and start it after so many seconds."""
        async with self.turn:
            self.send(number)
            await self.wait()
            await asyncio.sleep(down_s)
            await self.start()

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        if self.process is None:
            return 0
        async with asyncio.timeout(_ENDING_S):
            return await self.process.wait()


@dataclasses.dataclass(slots=True)
class _Named:
    engine: EngineStandIn
    port: int
    fields: dict[str, Any]


class PlatformFleet:
    """A store, upstreams and entry processes."""

    def __init__(
        self, folder: pathlib.Path, contracts: Sequence[str] = ()
    ) -> None:
        """Keep settings and logs in this folder.

        contracts: the parts of the rules that are in force.
        """
        self._contracts = contracts
        self.store = StoreStandIn()
        self.store_at = Listening(HOST, free_ports(1)[0])
        self.entries: list[EntryProcess] = []
        self.engines: list[EngineStandIn] = []
        self._folder = folder
        self._named: dict[str, _Named] = {}

    async def add_engine(
        self,
        name: str,
        service: str,
        slots: int,
        links: list[FaultyLink] | None = None,
        version: str = 'v1',
        **pace: Any,
    ) -> EngineStandIn:
        """Start an upstream and register it, behind a link of its own."""
        engine = EngineStandIn(name, **pace)
        await self.place_engine(engine, service, slots, links, version)
        return engine

    async def place_engine(
        self,
        engine: EngineStandIn,
        service: str,
        slots: int,
        links: list[FaultyLink] | None = None,
        version: str = 'v1',
    ) -> None:
        """Let an upstream listen and register it."""
        name = engine.incarnation
        port = free_ports(1)[0]
        await engine.listen(HOST, port)
        if links is not None:
            link, place = await open_link(Listening(HOST, port))
            links.append(link)
            port = place.port
        self.engines.append(engine)
        fields = entry_fields(service, f'{HOST}:{port}', slots)
        fields['version'] = version
        self.store.put(f'servers/{name}', fields)
        self._named[name] = _Named(engine, port, fields)

    def stop_version(self, version: str) -> None:
        """Stop the upstreams of a version at once, without draining."""
        for name, named in tuple(self._named.items()):
            if named.fields['version'] == version:
                self._named.pop(name)
                named.engine.end()
                self.store.remove(f'servers/{name}')

    def end_engine(self, name: str) -> None:
        """End an upstream as a lost process does, and remove its entry."""
        named = self._named.pop(name)
        named.engine.end()
        self.store.remove(f'servers/{name}')

    async def drain_engine(self, name: str, drain_s: float) -> None:
        """Let an upstream leave: it drains for so many seconds, then ends."""
        self.let_drain(name)
        await asyncio.sleep(drain_s)
        self.end_engine(name)

    def let_drain(self, name: str) -> None:
        """Have the entry of an upstream say that it drains."""
        named = self._named[name]
        named.fields['state'] = 'draining'
        self.store.put(f'servers/{name}', named.fields)

    def lose_engines(self) -> None:
        """End all upstreams at once; their entries stay for now."""
        for named in self._named.values():
            named.engine.close()

    async def start_engines_again(self) -> None:
        """Start all upstreams under their ids, at their addresses."""
        for name, named in self._named.items():
            await named.engine.listen(HOST, named.port)
            named.fields['born'] = int(time.time() * _MILLI)
            self.store.put(f'servers/{name}', named.fields)

    @property
    def addresses(self) -> Mapping[str, Listening]:
        """Return the address of each upstream."""
        return {
            name: Listening(HOST, named.port)
            for name, named in self._named.items()
        }

    async def open_view(self, view: View) -> Listening:
        """Return an address of the store at which a view of it is read."""
        place = Listening(HOST, free_ports(1)[0])
        await self.store.listen(HOST, place.port, view)
        return place

    async def add_entry(
        self,
        store_at: Listening | None = None,
        zone: str = 'a',
    ) -> EntryProcess:
        """Start an entry process, maybe with a store address of its own."""
        entry = self.prepare_entry(store_at, zone)
        await entry.start()
        return entry

    def prepare_entry(
        self,
        store_at: Listening | None = None,
        zone: str = 'a',
        limits: EntryLimits = _USUAL_LIMITS,
    ) -> EntryProcess:
        """Return an entry process with its settings; it is not started."""
        name = f'entry-{len(self.entries) + 1}'
        # The last ones follow each other: peers, metrics and tunnels.
        places = _free_places()
        fields = {
            'node': name,
            'zone': zone,
            'region': 'r',
            'ip': HOST,
            'listen': {
                'front': str(places[0]),
                'ready': str(places[1]),
                'directory': str(places[2]),
            },
            'port-range': [places[3].port, places[5].port],
            'contracts': list(self._contracts),
            'limits': {
                'memory-mb': limits.memory_mb,
                'max-fds': limits.descriptors,
            },
            'bounds': {
                'revoke-ms': 5000,
                'grace-s': 8,
                'ttl_max_s': 5,
                'retry-budget-ratio': RETRY_LIMITS.ratio,
                'budget-window-s': RETRY_LIMITS.window_s,
                'budget-slack': RETRY_LIMITS.allowance,
                'quota-slack': 1000,
            },
            'platform': {'address': str(store_at or self.store_at)},
        }
        settings = self._folder / f'{name}.yaml'
        # JSON is YAML.
        settings.write_text(json.dumps(fields))
        entry = EntryProcess(
            name,
            places[0],
            places[1],
            places[2],
            places[3],
            places[4],
            places[5],
            settings,
            self._folder / f'{name}.log',
        )
        self.entries.append(entry)
        return entry

    async def until_ready(self) -> None:
        """Wait until every instance has started and hears every other one."""
        names = [one.name for one in self.entries]
        # A single instance has no other to hear and logs none.
        wanted = f'"live": {json.dumps(names)}' if names[1:] else '"started"'
        async with asyncio.timeout(_STARTING_S):
            for entry in self.entries:
                while wanted not in entry.log.read_text():
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End everything."""
        for entry in self.entries:
            entry.send(signal.SIGKILL)
            await entry.wait()
        for engine in self.engines:
            engine.close()
        self.store.close()


async def restart_together(
    entries: Iterable[EntryProcess], number: signal.Signals, down_s: float
) -> None:
    """End processes by a signal, all at once, and start them again."""
    await asyncio.gather(*(one.restart(number, down_s) for one in entries))


@contextlib.asynccontextmanager
async def platform_fleet(
    instances: int,
    state: Mapping[str, Any],
    contracts: Sequence[str] = (),
    folder: pathlib.Path | None = None,
) -> AsyncIterator[PlatformFleet]:
    """Start a store with a desired state, and entry processes.

    folder: where settings and logs stay; None to remove them at the end.
    """
    with tempfile.TemporaryDirectory() as temporary:
        fleet = PlatformFleet(folder or pathlib.Path(temporary), contracts)
        await fleet.store.listen(HOST, fleet.store_at.port)
        fleet.store.put('op/config', dict(state))
        try:
            for _ in range(instances):
                await fleet.add_entry()
            yield fleet
        finally:
            await fleet.close()


async def open_link(target: Listening) -> tuple[FaultyLink, Listening]:
    """Return a link to a target, and the address at which it listens."""
    link = FaultyLink(target)
    place = Listening(HOST, free_ports(1)[0])
    await link.listen(place)
    return link, place


def _free_places() -> tuple[Listening, ...]:
    while True:
        ports = free_ports(_PORTS)
        if ports[-1] == ports[-3] + 2:
            return tuple(Listening(HOST, port) for port in ports)
