"""A connection to the store that breaks unnoticed between two calls.

With 30 instances and `contact_s` of 3 s, a removal was applied only 4.0 s
after the connection broke: the pause between two watches was not counted when
the watch, its timeout and its repetition were fitted into that bound. The hold
on removals was also counted from the start of the failed call, although its
connection had broken before. Reproduced with fixed numbers, the delay was
3.15 s with 5 instances and heartbeats of 1.0 s, and 3.80 s with 30 instances
and heartbeats of 2.4 s.
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
from tallyhall_dispatch.quota import StoredUse
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.follower import Follower
from tallyhall_platform.outage import OutageTracker
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
async def test_a_connection_lost_between_watches_keeps_the_bound(
    instances: int,
    heartbeat_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    async with _Relay.open(instances) as relay:
        recorder = _Recorder()
        async with _following(relay.address, recorder, heartbeat_s):
            # The full read, a probe and one complete watch.
            await until(lambda: recorder.confirmed >= 3, 10)
            confirmed = recorder.confirmed
            await until(lambda: recorder.confirmed > confirmed, 5)
            assert recorder.upstreams
            # The pause between two watches has just begun.
            went_silent_at = loop.time()
            relay.silence()
            await asyncio.sleep(0.2)
            relay.store.remove('servers/u')
            await until(lambda: not recorder.upstreams)
            in_force_s = loop.time() - went_silent_at
            assert in_force_s <= _CONTACT_S


class _Recorder:
    """Counts confirmations and keeps the upstreams."""

    def __init__(self) -> None:
        self.confirmed = 0
        self.upstreams: tuple[Upstream, ...] = ()

    def on_state(self, state: DesiredState) -> None:
        """Ignore the state: only upstreams matter here."""

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        self.upstreams = upstreams

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Ignore the instances."""

    def on_stored_use(self, use: StoredUse) -> None:
        """Ignore the use of quotas."""

    def on_state_confirmed(self, asked_at: float) -> None:
        self.confirmed += 1

    def on_store_reachable(self, *, reachable: bool) -> None:
        """Ignore whether the store is reachable."""


@contextlib.asynccontextmanager
async def _following(
    address: Listening,
    recorder: _Recorder,
    heartbeat_s: float,
) -> AsyncIterator[None]:
    follower = Follower(
        StoreClient(address),
        recorder,
        _no_log,
        random.Random(1),
        OutageTracker(heartbeat_s, _CONTACT_S),
        _CHANGE_S,
    )
    task = asyncio.create_task(follower.run())
    yield
    task.cancel()


def _no_log(*args: Any, **fields: Any) -> None:
    """Discard a log event."""


class _Relay:
    """A store behind a TCP relay whose open connections can go silent."""

    def __init__(self, store: StoreStandIn, store_at: Listening) -> None:
        self.store = store
        self.address = Listening(HOST, free_ports(1)[0])
        self._store_at = store_at
        self._forwarders: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, instances: int) -> AsyncIterator['_Relay']:
        """Start a store with this many instances and one upstream."""
        store = StoreStandIn()
        store_at = Listening(HOST, free_ports(1)[0])
        await store.listen(store_at.host, store_at.port)
        for number in range(instances):
            name = f'entry-{number}'
            store.put(f'tallyhall/instances/{name}', _entry(name))
        store.put('servers/u', _UPSTREAM)
        relay = cls(store, store_at)
        host, port = relay.address.host, relay.address.port
        server = await asyncio.start_server(relay.serve, host, port)
        yield relay
        server.close()
        relay.silence()
        for writer in relay._writers:
            writer.close()
        store.close()

    def silence(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        for task in self._forwarders:
            task.cancel()
        self._forwarders.clear()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection in both directions."""
        there = await asyncio.open_connection(
            self._store_at.host,
            self._store_at.port,
        )
        self._writers += (writer, there[1])
        self._forwarders.add(asyncio.create_task(_forward(reader, there[1])))
        self._forwarders.add(asyncio.create_task(_forward(there[0], writer)))


async def _forward(
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
