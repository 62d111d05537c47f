"""Resident memory of one entry process, by what holds it.

A real process, by default with a limit that it does not reach. Each phase adds
one kind of load and prints one JSON line: resident memory now and at its peak,
what one unit of the load adds to it, and what the memory budget counts. An
argument sets the limit in MB, to see whether the peak stays below it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import re
import socket
import sys
from collections.abc import AsyncIterator
from typing import Any

from tallyhall_edge.exchange import Exchange
from tallyhall_edge.messages import find_header
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.server import HttpServer

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import KEY, SITE
from .platform_run import usual_state
from .ports import HOST, free_ports
from .process_use import peak_mb, resident_mb

_CALLERS = 300
_LIMIT_MB = 4000
_BODY_BYTES = 100_000
_RESPONSE_BYTES = 2_000_000
_SETTLE_S = 2.0
_POLL_S = 0.1
_SEND_S = 2.0
_UPSTREAMS = 4
# Freed memory stays with the process; a leak grows from round to round.
_ROUNDS = 2
_SLOW_PHASES = (
    ('slow callers of responses of 2 MB', _CALLERS),
    ('the same callers 2 s later', 0),
)
_KB = 1024
_SAMPLE = re.compile(r'tallyhall_memory_bytes\{holder="(\w+)"\} (\S+)')


class _Upstream:
    """Answers with large bodies; clearing `go` holds all requests."""

    def __init__(self, name: str) -> None:
        self.go = asyncio.Event()
        self.size = _RESPONSE_BYTES
        self._name = name
        self.server = HttpServer(
            self._respond,
            _ignore,
            ServerLimits(idle_timeout_s=_LIMIT_MB),
        )

    async def _respond(self, exchange: Exchange) -> None:
        head = exchange.head
        request_id = find_header(head.headers, b'x-tallyhall-request-id')
        await self.go.wait()
        signature = f's.{self._name}'.encode()
        headers = (
            (b'X-Tallyhall-Response-Signature', signature),
            (b'X-Tallyhall-Request-Id', request_id or b''),
        )
        exchange.answer(200, b'OK', headers, bytes(self.size))


def _ignore(exc: Exception) -> None:
    """Ignore callers that leave."""


def main() -> int:
    """Measure all phases."""
    limit_mb = int(sys.argv[1]) if len(sys.argv) > 1 else _LIMIT_MB
    asyncio.run(_measure_all(limit_mb))
    return 0


async def _measure_all(limit_mb: int) -> None:
    state = usual_state()
    for known in state['routes']:
        known |= {'timeout-ms': 60_000, 'slo-ms': 60_000}
    for service in state['services']:
        service['max-conns'] = 0
    async with _site(state, limit_mb) as site:
        measured = _Measured(site.entry)
        await measured.add('idle process', 0)
        await _measure_small(site, measured)
        for _ in range(_ROUNDS):
            await _measure_large(site, measured)


async def _measure_small(site: _Site, measured: _Measured) -> None:
    opened = await _connect_all(site.entry)
    await measured.add('idle connections', _CALLERS)
    await _ask_all(opened, b'')
    await measured.add('running requests without a body', _CALLERS)
    await _close_all(opened, measured)


async def _measure_large(site: _Site, measured: _Measured) -> None:
    for upstream in site.upstreams:
        upstream.go.clear()
    opened = await _connect_all(site.entry)
    await _ask_all(opened, bytes(_BODY_BYTES))
    await measured.add('running requests of 100 KB', _CALLERS)
    for waiting in site.upstreams:
        waiting.go.set()
    for phase, units in _SLOW_PHASES:
        await measured.add(phase, units)
    await _close_all(opened, measured)


@dataclasses.dataclass(frozen=True, slots=True)
class _Site:
    entry: EntryProcess
    upstreams: list[_Upstream]


class _Measured:
    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry
        self._before: float = 0

    async def add(self, phase: str, units: int) -> None:
        """Print what the phase has added to the phase before it."""
        await asyncio.sleep(_SETTLE_S)
        pid = self._entry.pid
        resident = resident_mb(pid)
        line: dict[str, Any] = {
            'phase': phase,
            'resident_mb': round(resident, 1),
            'peak_mb': round(peak_mb(pid), 1),
        }
        if units:
            line['units'] = units
            added_kb = (resident - self._before) * _KB
            line['added_kb_each'] = round(added_kb / units, 1)
        line['counted_kb'] = await _counted_kb(self._entry)
        self._before = resident
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()


@contextlib.asynccontextmanager
async def _site(state: dict[str, Any], limit_mb: int) -> AsyncIterator[_Site]:
    async with platform_fleet(0, state) as fleet:
        upstreams = [
            await _add_upstream(fleet, f'app-{number}')
            for number in range(_UPSTREAMS)
        ]
        entry = fleet.prepare_entry()
        _set_limit(entry.settings, limit_mb)
        await entry.start()
        while not entry.is_started():
            await asyncio.sleep(_POLL_S)
        yield _Site(entry, upstreams)
        for upstream in upstreams:
            upstream.server.close()
            upstream.server.abort_all()


async def _add_upstream(fleet: PlatformFleet, name: str) -> _Upstream:
    upstream = _Upstream(name)
    port = free_ports(1)[0]
    await upstream.server.listen(HOST, port)
    fleet.store.put(
        f'servers/{name}',
        {
            'service': 'app',
            'address': f'{HOST}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': _CALLERS,
            'state': 'ready',
            'seq': 1,
            'cold-left-ms': 0,
        },
    )
    return upstream


def _set_limit(settings: pathlib.Path, limit_mb: int) -> None:
    fields = json.loads(settings.read_text())
    fields['limits'] = {'memory-mb': limit_mb, 'max-fds': 4 * _CALLERS}
    fields['contracts'] = ['pressure']
    settings.write_text(json.dumps(fields))


async def _connect_all(entry: EntryProcess) -> list[socket.socket]:
    loop = asyncio.get_running_loop()
    opened = []
    for _ in range(_CALLERS):
        conn = socket.socket()
        conn.setblocking(False)  # noqa: FBT003
        await loop.sock_connect(conn, (entry.front.host, entry.front.port))
        opened.append(conn)
    return opened


async def _ask_all(opened: list[socket.socket], body: bytes) -> None:
    asks = [
        _ask(conn, f'{len(body)}-{number}', body)
        for number, conn in enumerate(opened)
    ]
    await asyncio.gather(*asks)


async def _ask(conn: socket.socket, request_id: str, body: bytes) -> None:
    """Send a request; give up if it is not read in time."""
    lines = (
        'POST /once/x HTTP/1.1',
        f'Host: {SITE}',
        f'X-Tallyhall-Request-Id: {request_id}',
        'X-Tallyhall-Deadline-Ms: 60000',
        f'Authorization: Bearer {KEY}',
        f'Content-Length: {len(body)}',
    )
    raw = '\r\n'.join((*lines, '', '')).encode() + body
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(_SEND_S):
            await loop.sock_sendall(conn, raw)


async def _close_all(opened: list[socket.socket], measured: _Measured) -> None:
    for conn in opened:
        conn.close()
    await measured.add('after these have left', 0)


async def _counted_kb(entry: EntryProcess) -> dict[str, int]:
    """Return what the memory budget counts, by holder."""
    place = entry.metrics
    reader, writer = await asyncio.open_connection(place.host, place.port)
    request = 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    writer.write(request.encode())
    text = (await reader.read(-1)).decode()
    writer.close()
    return {
        found[1]: int(float(found[2]) / _KB)
        for found in _SAMPLE.finditer(text)
        if float(found[2])
    }


if __name__ == '__main__':
    sys.exit(main())
