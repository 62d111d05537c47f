"""Guards of many instances that exchange batches in one process, for tests."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable
from typing import cast

from tallyhall_bench.ports import free_ports
from tallyhall_core.suspects import InterruptedRun
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.options import Listening
from tallyhall_entry.guard import SharedGuard
from tallyhall_entry.logs import EventLog
from tallyhall_platform.end_records import EndRecorder
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreStandIn
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from tests.platform.harness import HOST, direct_paths, log_stream

NOW_S = 1_700_000_000.0
HUBS = 4
# Longer than a hub collects records before it forwards them.
FORWARDED_S = 0.05


@contextlib.asynccontextmanager
async def open_store() -> AsyncIterator[tuple[StoreStandIn, Listening]]:
    """Run a store; yield it with its address."""
    store = StoreStandIn()
    address = Listening(HOST, free_ports(1)[0])
    await store.listen(address.host, address.port)
    try:
        yield store, address
    finally:
        store.close()


def _ignore(*_: object, **fields: object) -> None:
    """Ignore all arguments."""


def new_recorder(address: Listening, name: str = 'a') -> EndRecorder:
    """Return the recorder of an instance."""
    return EndRecorder(StoreClient(address), name, _ignore, random.Random(1))


@dataclasses.dataclass(slots=True)
class Links:
    """Links that record the batches sent to each peer."""

    instances: int
    peers: dict[str, Peer]
    sent: dict[str, peers_pb2.Batch] = dataclasses.field(default_factory=dict)
    is_hub: bool = False

    is_relay = PeerStreams.is_relay

    def next_batch(self, name: str, *, urgent: bool) -> peers_pb2.Batch:
        assert urgent
        return self.sent.setdefault(name, peers_pb2.Batch())


def new_guard(
    recorder: EndRecorder,
    peer_streams: Links | None = None,
    wall_clock: Callable[[], float] | None = None,
) -> SharedGuard:
    """Return a guard of a fleet; by default alone, its clock stands still."""
    peer_streams = peer_streams or Links(1, {})
    return SharedGuard(
        cast(PeerStreams, peer_streams),
        recorder,
        EventLog(log_stream()),
        wall_clock or (lambda: NOW_S),
        direct_paths().refuses,
    )


class Fleet:
    """Instances with streams to and from a few hubs."""

    def __init__(self, size: int, recorder: EndRecorder) -> None:
        """Create all instances; the first ones are hubs."""
        self.now = NOW_S
        # What was delivered so far.
        self.batches = 0
        self.sent_bytes = 0
        names = [f'n{number}' for number in range(size)]
        self.peer_streams: list[Links] = []
        self.guards: list[SharedGuard] = []
        for number, name in enumerate(names):
            linked = names if number < HUBS else names[:HUBS]
            peers = {one: Peer(one) for one in linked if one != name}
            self.peer_streams.append(Links(size, peers))
            guard = new_guard(recorder, self.peer_streams[-1], lambda: self.now)
            self.peer_streams[-1].is_hub = number < HUBS
            self.guards.append(guard)

    def sees_end(
        self, number: int, run: InterruptedRun, name: str = 'u'
    ) -> None:
        """Let an instance detect that an upstream crashed during a run."""
        upstream = Upstream(name, 'svc', HOST, 1, 'a', 9, leaving=False)
        self.guards[number]._on_end(upstream, (run,))  # noqa: SLF001

    def deliver(self) -> int:
        """Deliver all batches to their receivers; return their number."""
        sent = 0
        for number, peer_streams in enumerate(self.peer_streams):
            batches = peer_streams.sent
            peer_streams.sent = {}
            for name, batch in batches.items():
                sent += 1
                self.sent_bytes += batch.ByteSize()
                receiver = self.guards[int(name[1:])]
                receiver.take(Peer(f'n{number}'), batch)
        self.batches += sent
        return sent
