"""Upstreams as processes of their own, which signals stop and continue."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence

import msgspec
from tallyhall_standins.platform_engine import entry_fields
from tallyhall_standins.upstream_process import (
    Arrival,
    UpstreamSpec,
    read_arrivals,
)

from .platform_fleet import PlatformFleet
from .ports import HOST, free_ports

_STARTING_S = 10
_POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class UpstreamProcess:
    """One upstream process and what it has written."""

    spec: UpstreamSpec
    process: asyncio.subprocess.Process | None = None

    @property
    def seen(self) -> Sequence[Arrival]:
        """Return the requests that have arrived so far."""
        return read_arrivals(pathlib.Path(self.spec.records))

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tallyhall_standins.upstream_process',
            msgspec.json.encode(self.spec).decode(),
        )
        async with asyncio.timeout(_STARTING_S):
            while not await self._listens():
                await asyncio.sleep(_POLL_S)

    async def pause(self, for_s: float) -> None:
        """Stop the process by a signal, and continue it after a time."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, also a stopped one."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def _listens(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(HOST, self.spec.port)
        except OSError:
            return False
        writer.close()
        return True


@contextlib.asynccontextmanager
async def upstream_processes(
    fleet: PlatformFleet,
    service: str,
    count: int,
    slots: int,
    folder: pathlib.Path | None = None,
    seed: int = 0,
    **options: float,
) -> AsyncIterator[list[UpstreamProcess]]:
    """Run upstreams of a service as processes and register them with a fleet.

    folder: where their records stay; None to remove them at the end. seed: no
    two of them draw the same. options: further fields of each `UpstreamSpec`.
    """
    started: list[UpstreamProcess] = []
    with tempfile.TemporaryDirectory() as temporary:
        records = folder or pathlib.Path(temporary)
        try:
            for number in range(count):
                name = f'{service}-{number}'
                fields = {
                    'incarnation': name,
                    'host': HOST,
                    'port': free_ports(1)[0],
                    'records': str(records / f'{name}.seen'),
                    'seed': seed * count + number,
                    **options,
                }
                spec = msgspec.convert(fields, UpstreamSpec)
                started.append(UpstreamProcess(spec))
                await started[-1].start()
                entry = entry_fields(service, f'{HOST}:{spec.port}', slots)
                fleet.store.put(f'servers/{name}', entry)
            yield started
        finally:
            await asyncio.gather(*(one.end() for one in started))
