"""Callers of fault runs."""

import asyncio
import random

from tallyhall_bench.platform_load import Caller
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.options import Listening

_HOST = '127.0.0.1'
_WAIT_S = 0.2


class _Silent(asyncio.Protocol):
    """Accepts connections, never answers, and notes when one is lost."""

    def __init__(self) -> None:
        self.accepted = 0
        self.lost = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()


async def test_a_caller_leaves_a_silent_connection_when_its_time_is_over() -> (
    None
):
    place = Listening(_HOST, free_ports(1)[0])
    silent = _Silent()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: silent, _HOST, place.port)
    caller = Caller(random.Random(1), _WAIT_S)
    tried = await caller.ask('entry-1', place, 'app', 'r1', streams=False)
    assert (tried.status, tried.whole) == (0, False)
    assert _WAIT_S <= tried.total_s < 2 * _WAIT_S
    await asyncio.wait_for(silent.lost.wait(), _WAIT_S)
    await caller.ask('entry-1', place, 'app', 'r2', streams=False)
    assert silent.accepted == 2
    server.close()
