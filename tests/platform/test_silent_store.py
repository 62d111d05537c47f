"""A connection to the store that goes silent while no call is made on it.

The failure: in a large fleet (30 instances, a bound on contact of 3 s) the
connection goes silent at 0 s, in the pause of 1.2 s between two watches. An
upstream is removed at 0.9. A watch of 2.0 s goes out on the dead connection
at 1.2 and is given up at 3.7; the removal is read at 3.8, held, and in force
at 4.00. New connections worked all along: the bound was 3.0.

The cause: the pause was left out where watch, time limit and repetition were
fitted into the bound; and the doubt about removals counted the bound from
the start of the lost call, although its connection was dead before that.

The evidence: the same course with plain numbers; 3.15 s with 5 instances and
heartbeats of 1.0 s, 3.80 s with 30 and heartbeats of 2.4 s.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.quota import Written
from tallyhall_platform.absence import Absence
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.follow import Follower
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreStandIn

from tests.platform.harness import HOST, until

_CONTACT_S = 3.0
_CHANGE_S = 2.0
_UPSTREAM = {
    'service': 'svc',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'seq': 1,
    'cold-left-ms': 0,
}


@pytest.mark.parametrize(
    ('instances', 'heartbeat_s'),
    [(5, 1.0), (5, 1.2), (30, 1.2), (30, 2.4)],
)
async def test_a_connection_that_dies_in_a_pause_keeps_the_bound(
    instances: int,
    heartbeat_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    async with _Path.open(instances) as path:
        hears = _Hears()
        async with _following(path.address, hears, heartbeat_s):
            # The read of all, a probe and one whole watch.
            await until(lambda: hears.confirmed >= 3, 10)
            confirmed = hears.confirmed
            await until(lambda: hears.confirmed > confirmed, 5)
            assert hears.upstreams
            # The pause has just begun.
            silent_at = loop.time()
            path.silence()
            await asyncio.sleep(0.2)
            path.store.remove('servers/u')
            await until(lambda: not hears.upstreams)
            in_force_s = loop.time() - silent_at
            assert in_force_s <= _CONTACT_S


class _Hears:
    """Counts confirmations and keeps the upstreams."""

    def __init__(self) -> None:
        self.confirmed = 0
        self.upstreams: tuple[Upstream, ...] = ()

    def on_state(self, state: DesiredState) -> None:
        """Take nothing: only upstreams matter here."""

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        self.upstreams = upstreams

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Take nothing: the follower itself counts them."""

    def on_use(self, use: Written) -> None:
        """Take nothing."""

    def on_confirmed(self, asked_at: float) -> None:
        self.confirmed += 1

    def on_store(self, *, reachable: bool) -> None:
        """Take nothing."""


@contextlib.asynccontextmanager
async def _following(
    address: Listening,
    hears: _Hears,
    heartbeat_s: float,
) -> AsyncIterator[None]:
    follower = Follower(
        StoreClient(address),
        hears,
        _no_log,
        random.Random(1),
        Absence(heartbeat_s, _CONTACT_S),
        _CHANGE_S,
    )
    task = asyncio.create_task(follower.run())
    yield
    task.cancel()


def _no_log(*args: Any, **fields: Any) -> None:
    """Drop the line."""


class _Path:
    """A store behind a relay whose open connections can go silent."""

    def __init__(self, store: StoreStandIn, store_at: Listening) -> None:
        self.store = store
        self.address = Listening(HOST, free_ports(1)[0])
        self._store_at = store_at
        self._open: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, instances: int) -> AsyncIterator['_Path']:
        """Start a store with that many instances and one upstream."""
        store = StoreStandIn()
        store_at = Listening(HOST, free_ports(1)[0])
        await store.listen(store_at.host, store_at.port)
        for number in range(instances):
            name = f'entry-{number}'
            store.put(f'tallyhall/instances/{name}', _entry(name))
        store.put('servers/u', _UPSTREAM)
        path = cls(store, store_at)
        host, port = path.address.host, path.address.port
        server = await asyncio.start_server(path.relay, host, port)
        yield path
        server.close()
        path.silence()
        for writer in path._writers:
            writer.close()
        store.close()

    def silence(self) -> None:
        """Pass nothing on any more on the connections that are open."""
        for task in self._open:
            task.cancel()
        self._open.clear()

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on what one connection brings, in both directions."""
        there = await asyncio.open_connection(
            self._store_at.host,
            self._store_at.port,
        )
        self._writers += (writer, there[1])
        self._open.add(asyncio.create_task(_pass_on(reader, there[1])))
        self._open.add(asyncio.create_task(_pass_on(there[0], writer)))


async def _pass_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        received = await reader.read(65_536)
        if not received:
            break
        writer.write(received)
    writer.close()


def _entry(name: str) -> dict[str, Any]:
    return {
        'instance': name,
        'incarnation': 'x',
        'front': '127.0.0.1:1',
        'peer': '127.0.0.1:2',
        'zone': 'a',
        'region': 'r',
    }
