"""Stand-ins of the platform's store and of engines, and entry processes.

Only the standard library is used. The store and the engines follow
PROTOCOL.md; they run in the process of the script, each entry instance in a
process of its own, started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from typing import Any, Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
HISTORY_S = 20.0


class Record:
    """Writes what happened, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def line(self, text: str) -> None:
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()


class Request:
    """One request as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *rest = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for row in rest:
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return b''.join(parts)
            parts.append(part)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ', 2)
    return Request(method, target, headers, await read_body(reader, headers))


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode an answer with its length."""
    phrase = {200: 'OK', 503: 'Service Unavailable'}.get(status, 'Status')
    rows = [f'HTTP/1.1 {status} {phrase}', f'Content-Length: {len(body)}']
    rows += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(rows).encode() + b'\r\n\r\n' + body


class Server:
    """An HTTP/1.1 server: one request at a time on each connection."""

    def __init__(self, handle: Callable[[Request, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                await self._handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._dropped_to = 0
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 7000
        self._changed = asyncio.Condition()
        self._server = Server(self._handle)
        self._task: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        await self._server.listen(host, port)
        self._task = asyncio.create_task(self._expire())

    def close(self) -> None:
        self._server.close()
        if self._task is not None:
            self._task.cancel()

    def value(self, key: str) -> bytes | None:
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    async def put(self, key: str, value: Any) -> int:
        """Write a key as the operator or an engine does."""
        raw = json.dumps(value).encode()
        return await self._apply([{'key': key, 'value': base64.b64encode(raw).decode()}], [])

    async def _apply(self, writes: list[dict[str, Any]], deletes: list[str]) -> int:
        async with self._changed:
            if not writes and not any(key in self._items for key in deletes):
                return self.revision
            self.revision += 1
            now = time.monotonic()
            for write in writes:
                key = write['key']
                known = self._items.get(key)
                created = self.revision if known is None else known['create-revision']
                item = {
                    'key': key,
                    'value': write['value'],
                    'revision': self.revision,
                    'create-revision': created,
                    'lease': write.get('lease', 0),
                }
                self._items[key] = item
                self._history.append((now, item))
            for key in deletes:
                if self._items.pop(key, None) is not None:
                    gone = {'key': key, 'revision': self.revision, 'deleted': True}
                    self._history.append((now, gone))
            while self._history and now - self._history[0][0] > HISTORY_S:
                self._dropped_to = self._history.pop(0)[1]['revision']
            self._changed.notify_all()
            return self.revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [one for one, (_, ends) in self._leases.items() if now >= ends]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self._items.items() if item['lease'] == lease]
        await self._apply([], keys)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        status, answer = await self._answer(request)
        headers = {'Content-Type': 'application/json'}
        writer.write(encode(status, headers, json.dumps(answer).encode()))

    async def _answer(self, request: Request) -> tuple[int, Any]:
        path = request.path
        body = json.loads(request.body) if request.body else {}
        if path == '/kv-key':
            item = self._items.get(request.query['key'])
            if item is None:
                return 404, {'as-of': self.revision}
            return 200, {**item, 'as-of': self.revision}
        if path == '/kv-range':
            return self._range(request.query)
        if path == '/kv-watch':
            return await self._watch(request.query)
        if path == '/kv-txn':
            return await self._txn(body)
        if path == '/kv-lease':
            self._next_lease += 1
            ttl_s = min(600.0, max(1.0, body['ttl-ms'] / 1000))
            self._leases[self._next_lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {'lease': self._next_lease, 'ttl-ms': int(ttl_s * 1000)}
        if path.startswith('/kv-keep/'):
            lease = self._leases.get(int(path.rpartition('/')[2]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if path.startswith('/kv-lease-end/'):
            lease_id = int(path.rpartition('/')[2])
            if lease_id not in self._leases:
                return 404, {}
            await self._end_lease(lease_id)
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        after = query.get('after', '')
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(query['prefix']) and key > after
        ]
        page = found[:500]
        more = len(found) > len(page)
        return 200, {'items': page, 'more-pages': more, 'as-of': self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        ends_at = time.monotonic() + min(30_000, int(query['wait-ms'])) / 1000
        async with self._changed:
            while True:
                if after < self._dropped_to:
                    return 410, {}
                events = [
                    event
                    for _, event in self._history
                    if event['revision'] > after and event['key'].startswith(query['prefix'])
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'as-of': self.revision}
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()

    async def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = body.get('expected-rev', [])
        for row in expected:
            item = self._items.get(row['key'])
            if (0 if item is None else item['revision']) != row['revision']:
                items = [self._items[one['key']] for one in expected if one['key'] in self._items]
                return 412, {'items': items}
        for write in body.get('writes', []):
            if write.get('lease', 0) and write['lease'] not in self._leases:
                return 404, {}
        revision = await self._apply(body.get('writes', []), body.get('delete', []))
        return 200, {'revision': revision}


class Run:
    """One run of a request at an engine."""

    def __init__(self, engine: str, request: Request, at: float) -> None:
        self.engine = engine
        self.id = request.headers.get('x-tallyhall-request-id', '')
        self.tenant = request.headers.get('x-tallyhall-tenant', '')
        counts = request.headers.get('x-tallyhall-token-counts', '')
        self.tokens = sum(int(part) for part in counts.split(',')) if counts else 0
        self.at = at
        self.ended: float | None = None


class Engine:
    """An engine with slots and a queue; answers after its work time."""

    def __init__(self, name: str, record: Record, runs: list[Run], work_s: float, slots: int) -> None:
        self.name = name
        self.work_s = work_s
        self._record = record
        self._runs = runs
        self._slots = asyncio.Semaphore(slots)
        self._server = Server(self._handle)

    async def listen(self, host: str, port: int) -> None:
        await self._server.listen(host, port)

    def close(self) -> None:
        self._server.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = {'X-Tallyhall-Instance-Id': self.name}
        if request.path == '/health':
            writer.write(encode(200, headers, b''))
            return
        request_id = request.headers.get('x-tallyhall-request-id', '')
        expected = request.headers.get('x-tallyhall-expect-instance', self.name)
        if expected != self.name:
            writer.write(encode(421, headers, b''))
            return
        headers['X-Tallyhall-Request-Id'] = request_id
        async with self._slots:
            run = Run(self.name, request, self._record.now())
            self._runs.append(run)
            self._record.line(f'engine {self.name} runs {request_id} tenant={run.tenant} tokens={run.tokens}')
            await asyncio.sleep(self.work_s)
            run.ended = self._record.now()
        headers['X-Tallyhall-Response-Signature'] = f'{self.name}.{request_id}'
        writer.write(encode(200, headers, f'answer to {request_id}'.encode()))


def free_ports(count: int, host: str) -> list[int]:
    """Return free ports that follow each other."""
    for base in range(21000, 32000, 20):
        ports = list(range(base, base + count))
        if all(_is_free(host, port) for port in ports):
            return ports
    raise OSError('no free ports')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Entry:
    """One machine with its entry process."""

    def __init__(self, name: str, ip: str, ports: list[int], settings: dict[str, Any], folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.front = ports[0]
        self.ready = ports[1]
        self.directory = ports[2]
        self.settings = settings
        self.log = folder / f'{name}.log'
        self._path = folder / f'{name}.yaml'
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Replace the settings file at once."""
        new = self._path.with_suffix('.new')
        new.write_text(json.dumps(self.settings))
        new.replace(self._path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['TALLYHALL_CONFIG'] = str(self._path)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, within_s: float = 12.0) -> int | None:
        """Return how the process ended, None if it still runs."""
        assert self.process is not None
        try:
            async with asyncio.timeout(within_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                try:
                    writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                    first, _ = await read_head(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return ' 200 ' in f'{first} '


class Site:
    """A small deployment: store, engines and entry processes."""

    def __init__(self, record: Record, entries: int) -> None:
        self.record = record
        self.runs: list[Run] = []
        self.engines: list[Engine] = []
        self.entries: list[Entry] = []
        self.store = Store()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        net = 1 + os.getpid() % 200
        self.hosts = [f'127.{net}.{zone + 1}.10' for zone in range(entries)]
        self._store_host = f'127.{net}.200.7'
        self._engine_host = f'127.{net}.128.9'
        self._engine_ports = free_ports(16, self._engine_host)
        self._store_port = free_ports(1, self._store_host)[0]
        for number, host in enumerate(self.hosts):
            self._add_entry(number, host)

    def _add_entry(self, number: int, host: str) -> None:
        ports = free_ports(20, host)
        zone = f'zone-{"abcd"[number % 4]}'
        settings = {
            'node': f'front-{zone}-{number + 1}',
            'role': 'entry',
            'machine-class': 'front',
            'serves': ['front', 'directory'],
            'ip': host,
            'zone': zone,
            'region': 'r',
            'zones': {f'zone-{one}': 'r' for one in 'abcd'},
            'listen': {
                'front': f'{host}:{ports[0]}',
                'ready': f'{host}:{ports[1]}',
                'directory': f'{host}:{ports[2]}',
            },
            'port-range': [ports[3], ports[18]],
            'seeds': [],
            'bootstrap': True,
            'limits': {'cpu-share': 0.537, 'cores': 2, 'memory-mb': 150, 'max-fds': 4100, 'link-mbps': 1000.0, 'disk-mb': 0},
            'data-dir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat-ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'quota', 'platform'],
            'fault-tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {
                'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4,
                'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'back-ms': 250,
                'stretch-max-ms': 5000, 'revoke-strict': True, 'revoke-ms': 5000, 'retry-budget-ratio': 0.2,
                'budget-window-s': 10, 'budget-slack': 54, 'quota-window-s': 8, 'quota-overshoot': 0.1,
                'quota-slack': 140000, 'recover-s': 12, 'pass-ms': 120, 'reuse-window-s': 10, 'ttl_max_s': 5,
            },
            'platform': {
                'address': f'{self._store_host}:{self._store_port}', 'form': 'kv', 'writes-per-s': 400,
                'reads-per-s': 2000, 'history-s': 20, 'value-bytes': 1048576, 'ttl-min-ms': 1000,
            },
        }
        self.entries.append(Entry(settings['node'], host, ports, settings, self.folder))

    async def open(self, state: dict[str, Any]) -> None:
        """Start the store with its first desired state."""
        await self.store.listen(self._store_host, self._store_port)
        await self.store.put('op/config', state)
        self._beats = asyncio.create_task(self._beat())

    async def add_engine(self, service: str, work_s: float, slots: int) -> Engine:
        number = len(self.engines)
        engine = Engine(f'i-{number:08x}', self.record, self.runs, work_s, slots)
        engine.entry = {  # type: ignore[attr-defined]
            'service': service, 'address': f'{self._engine_host}:{self._engine_ports[number]}', 'zone': 'zone-a',
            'version': 'v1', 'slots': slots, 'state': 'ready', 'cold-left-ms': 0, 'stage': 'both',
            'models': [], 'seq': 1,
        }
        await engine.listen(self._engine_host, self._engine_ports[number])
        self.engines.append(engine)
        await self._write_entry(engine)
        return engine

    async def _write_entry(self, engine: Engine) -> None:
        await self.store.put(f'servers/{engine.name}', engine.entry)  # type: ignore[attr-defined]

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for engine in self.engines:
                engine.entry['seq'] += 1  # type: ignore[attr-defined]
                await self._write_entry(engine)

    async def until_ready(self, within_s: float = 15.0) -> bool:
        """Wait until all entry processes are ready and hear each other."""
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            if all([await entry.is_ready() for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            entry.send(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                await entry.wait()
        if hasattr(self, '_beats'):
            self._beats.cancel()
        for engine in self.engines:
            engine.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)
