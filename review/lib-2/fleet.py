"""Entry processes, started as the deploy file does, on stand-ins.

The store, the engines and the callers run in this process; each entry instance
is a process of its own, which is ended by its id.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable

from client import HOST, KEY
from engine import Engine
from link import Link
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000,
    'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200,
    'config-apply-ms': 2000, 'back-ms': 250, 'stretch-max-ms': 5000,
    'revoke-strict': True, 'revoke-ms': 5000, 'retry-budget-ratio': 0.2,
    'budget-window-s': 10, 'budget-slack': 54, 'quota-window-s': 8,
    'quota-overshoot': 0.1, 'quota-slack': 140000, 'recover-s': 12,
    'pass-ms': 120, 'reuse-window-s': 10, 'ttl_max_s': 5,
}
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream',
    'tenants', 'quota', 'platform',
]


PORTS = random.Random()


class CannotRunError(Exception):
    """The case could not run; says nothing about the rule."""


def free_ports(count: int) -> list[int]:
    """Return free ports that follow each other.

    They lie below those that the system gives to outgoing connections, which
    could take one before it is used.
    """
    while True:
        first = PORTS.randrange(10_000, 32_000)
        held = [socket.socket() for _ in range(count)]
        try:
            for number, one in enumerate(held):
                one.bind(('127.0.0.1', first + number))
            return [first + number for number in range(count)]
        except OSError:
            continue
        finally:
            for one in held:
                one.close()


def route(name: str, kind: str, service: str, **changes) -> dict:
    fields = {
        'name': name, 'host': HOST, 'prefix': f'/{name}/', 'kind': kind,
        'service': service, 'timeout-ms': 12000, 'slo-ms': 1000, 'priority': 0,
        'attempts': 2, 'public': False, 'sticky': kind == 'streaming',
        'resumable': False, 'gap-target-ms': 600 if kind == 'streaming' else 0,
    }
    return fields | changes


def service(name: str, **changes) -> dict:
    fields = {'name': name, 'health-path': '/health', 'max-conns': 360}
    return fields | changes


class Entry:
    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.settings = folder / f'{name}.yaml'
        self.log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.front = self.ready = self.directory = self.peer = 0
        self.links: dict[str, Link] = {}

    async def start(self) -> None:
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as deploy:
            run = tomllib.load(deploy)['roles']['entry']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['TALLYHALL_CONFIG'] = str(self.settings)
        # DEPLOY.md: target/deps is on Python's path.
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *run, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def peak_mb(self) -> float:
        """Return the most resident memory that the process has had."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM'):
                return int(line.split()[1]) / 1000
        return 0

    def events(self, name: str) -> list[dict]:
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            if f'"{name}"' in line:
                try:
                    fields = json.loads(line)
                except ValueError:
                    continue
                if fields.get('event') == name:
                    found.append(fields)
        return found


class Fleet:
    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = Store()
        self.store_port = free_ports(1)[0]
        self.entries: list[Entry] = []
        self.engines: list[Engine] = []
        # Tasks of engines that come back.
        self.store_changes: list[asyncio.Task] = []

    async def begin(self, state: dict) -> None:
        await self.store.listen(self.store_port)
        self.store.put('op/config', state)

    async def add_engine(self, engine: Engine) -> None:
        await engine.listen(free_ports(1)[0])
        self.engines.append(engine)
        self.store.put(f'servers/{engine.name}', engine.fields)

    async def add_entry(
        self,
        zone: str = 'a',
        *,
        linked: bool = False,
        links: dict[str, Link] | None = None,
    ) -> Entry:
        """Start an entry process; a linked one has links of its own to engines.

        links: gets the link through which other machines reach this one.
        """
        entry = Entry(f'front-{zone}-{len(self.entries) + 1}', self.folder)
        store_port = self.store_port
        if linked:
            store_port = free_ports(1)[0]
            for engine in self.engines:
                link = Link(engine.port)
                await link.listen(free_ports(1)[0])
                entry.links[engine.name] = link
            await self.store.listen(store_port, self._view(entry))
        entry.front, entry.ready, entry.directory, *peers = free_ports(8)
        entry.peer = peers[0]
        if links is not None:
            links[entry.name] = Link(entry.peer)
            await links[entry.name].listen(free_ports(1)[0])
        fields = {
            'node': entry.name, 'role': 'entry', 'machine-class': 'front',
            'serves': ['front', 'directory'], 'ip': '127.0.0.1', 'zone': zone,
            'region': 'kyushu', 'zones': {'a': 'kyushu', 'b': 'kyushu'},
            'listen': {
                'front': f'127.0.0.1:{entry.front}',
                'ready': f'127.0.0.1:{entry.ready}',
                'directory': f'127.0.0.1:{entry.directory}',
            },
            'port-range': [peers[0], peers[-1]],
            'seeds': [], 'bootstrap': True, 'loss-counts': False,
            'limits': {
                'cpu-share': 0.537, 'cores': 2, 'memory-mb': 150,
                'max-fds': 4100, 'link-mbps': 1000.0, 'disk-mb': 0,
            },
            'data-dir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeat-ms': 1200, 'contracts': CONTRACTS,
            'fault-tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': f'127.0.0.1:{store_port}', 'form': 'kv',
                'writes-per-s': 400, 'reads-per-s': 2000, 'history-s': 20,
                'value-bytes': 1048576, 'ttl-min-ms': 1000,
            },
        }
        entry.settings.write_text(json.dumps(fields))
        self.entries.append(entry)
        await entry.start()
        return entry

    def _view(self, entry: Entry):
        def view(key: str, content: bytes) -> bytes:
            link = entry.links.get(key.removeprefix('servers/'))
            if not key.startswith('servers/') or link is None:
                return content
            fields = json.loads(content)
            fields['address'] = f'127.0.0.1:{link.port}'
            return json.dumps(fields).encode()

        return view

    async def until_ready(self, within_s: float = 20) -> None:
        """Wait until all are ready and hear each other, as a load would."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + within_s
        names = sorted(one.name for one in self.entries)
        wanted = f'"live": {json.dumps(names)}' if names[1:] else '"state_taken"'
        for entry in self.entries:
            while wanted not in entry.log.read_text(errors='replace'):
                if loop.time() > ends_at or entry.process.returncode is not None:
                    raise CannotRunError(f'{entry.name} did not start: {entry.log.read_text()[-400:]}')
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)

    async def close(self) -> None:
        for entry in self.entries:
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                await entry.process.wait()


class Record:
    """What was sent, answered and run: record.txt in the folder of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / 'record.txt').open('w')

    def __call__(self, text: str) -> None:
        self.file.write(f'{text}\n')
        self.file.flush()

    def say(self, text: str) -> None:
        self(text)
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


def main(
    script: str,
    play: Callable[[Fleet, Record, bool], Awaitable[bool]],
    *,
    trouble: bool,
    within_s: float = 110,
) -> None:
    """Play a case: exit with 1 if the rule was broken, 0 if not, 2 if unable.

    trouble: whether the disruption is played; a case reads it from TROUBLE.
    """
    folder = pathlib.Path(script).resolve().parent
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            fleet = Fleet(pathlib.Path(scratch))
            try:
                async with asyncio.timeout(within_s):
                    broken = await play(fleet, record, trouble)
            except (CannotRunError, TimeoutError, OSError) as exc:
                record.say(f'could not run: {exc!r}')
                return 2
            finally:
                await fleet.close()
            record.say('rule broken' if broken else 'rule held')
            return 1 if broken else 0

    record(f'trouble: {trouble}')
    sys.exit(asyncio.run(run()))
