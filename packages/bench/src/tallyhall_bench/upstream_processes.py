"""Upstreams as processes of their own, which signals stop and continue."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import sys
from collections.abc import Sequence

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


class UpstreamProcesses:
    """The upstream processes of one fleet."""

    def __init__(self, fleet: PlatformFleet, folder: pathlib.Path) -> None:
        """Register upstreams with this fleet; keep records in a folder."""
        self.started: list[UpstreamProcess] = []
        self._fleet = fleet
        self._folder = folder

    async def add(
        self, service: str, slots: int, **options: float
    ) -> UpstreamProcess:
        """Start an upstream of a service and register it.

        options: further fields of its `UpstreamSpec`.
        """
        name = f'{service}-{len(self.started)}'
        port = free_ports(1)[0]
        records = str(self._folder / f'{name}.seen')
        fields = {'work_s': 0, 'seed': len(self.started), **options}
        base = {
            'incarnation': name,
            'host': HOST,
            'port': port,
            'records': records,
        }
        spec = msgspec.convert({**base, **fields}, UpstreamSpec)
        upstream = UpstreamProcess(spec)
        await upstream.start()
        self.started.append(upstream)
        entry = entry_fields(service, f'{HOST}:{port}', slots)
        self._fleet.store.put(f'servers/{name}', entry)
        return upstream

    async def end(self) -> None:
        """End all processes."""
        await asyncio.gather(*(one.end() for one in self.started))
