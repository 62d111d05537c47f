"""Streams between entry instances, one for each ordered pair.

The sender of a pair opens the stream and keeps it open. Whatever is queued
within one iteration of the event loop is sent as one batch; an empty batch is
a heartbeat. Every batch carries a timestamp, the sender's monotonic time, and
echoes the newest timestamp received from the peer. An echo bounds the age of
the peer's information and shows that both streams work. If a registered peer
stops echoing, the stream is reopened, since a connection may stop delivering
without ever being reset.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tallyhall_dispatch.topology import heartbeat_s, is_full_mesh

from .loading import load_streams
from .peer import Peer, PeerEndpoint, ReadState

if TYPE_CHECKING:
    from .generated import peers_pb2
    from .streams import GrpcStreams, Outbox

# Heartbeat intervals without a batch after which a peer counts as lost.
_LOST_HEARTBEATS = 3.3
# Heartbeat intervals without an echo after which a stream is reopened; the
# slowest working connection takes 30 ms.
_SILENT_HEARTBEATS = 5.4
_MICRO = 1_000_000
# Default maximum of connections of other instances.
_MAX_CONNECTIONS = 1000
OnBatch = Callable[[Peer, 'peers_pb2.Batch'], None]
FillBatch = Callable[[Peer, 'peers_pb2.Batch'], None]


class PeerStreams:
    """The streams of one instance to its peers."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        on_batch: OnBatch,
        fill: FillBatch,
        on_lost: Callable[[Peer, Exception], None],
        on_opened: Callable[[Peer], None],
    ) -> None:
        """Pass received batches to `on_batch`; `fill` completes sent ones."""
        self.on_lost = on_lost
        self.on_opened = on_opened
        self.own_cores: float = 0
        # Maximum of connections that other instances open to this one.
        self.max_connections = _MAX_CONNECTIONS
        # Number of instances whose use of quotas is known here, with this one.
        self.heard_count = 1
        # Those of them that this instance hears directly. Only this number is
        # sent to peers: if hubs repeated each other's totals, these would
        # never shrink.
        self.directly_heard_count = 1
        # Whether this instance is a hub, which hears all others of a large
        # fleet.
        self.is_hub = False
        self._name = name
        self._incarnation = incarnation
        self._on_batch = on_batch
        self._fill = fill
        self._loop = asyncio.get_running_loop()
        self._streams: GrpcStreams | None = None
        self._endpoints: dict[str, PeerEndpoint] = {}
        # Where peers are registered or were: an entry may lapse while its
        # instance lives.
        self._hosts: set[str] = set()
        # Set, and replaced, when the registered peers change.
        self._changed = asyncio.Event()
        self._update_derived_values()
        self._outboxes: dict[str, Outbox] = {}
        self._peers: dict[str, Peer] = {}

    @property
    def peers(self) -> Mapping[str, Peer]:
        """Return all peers that are registered or were heard."""
        return self._peers

    def serves(self, name: str) -> bool:
        """Return whether callers are sent to a peer."""
        endpoint = self._endpoints.get(name)
        return endpoint is None or endpoint.serves

    def cores(self, name: str) -> float:
        """Return an instance's processor time in cores, 0 if unknown."""
        if name == self._name:
            return self.own_cores
        endpoint = self._endpoints.get(name)
        return 0 if endpoint is None else endpoint.cores

    @property
    def is_relay(self) -> bool:
        """Return whether this instance relays between other instances."""
        return self.is_hub and not is_full_mesh(self.instances)

    @property
    def instances(self) -> int:
        """Return the number of registered instances, with this one."""
        return len(self._endpoints) + 1

    def is_connected(self, peer: Peer, now: float) -> bool:
        """Return whether a peer and this instance hear each other."""
        if now - peer.last_heard_at >= self.peer_timeout_s:
            return False
        return now - peer.echoed_at < 2 * self.peer_timeout_s

    async def listen(self, address: str, read_state: ReadState) -> None:
        """Listen on the address; raise OSError if it is in use.

        Until this returns, the instance has no streams and decides on requests
        without its peers.
        """
        loaded = await load_streams()
        streams = loaded(self)
        await streams.listen(address, self.receive, read_state)
        self.use_streams(streams)

    def use_streams(self, streams: GrpcStreams) -> None:
        """Open streams through this object from now on."""
        self._streams = streams

    def is_registered(self, host: str) -> bool:
        """Return whether a peer is or was registered at this IP address."""
        return host in self._hosts

    async def wait_for_change(self) -> None:
        """Return once other peers are registered."""
        await self._changed.wait()

    def update_peers(self, endpoints: Mapping[str, PeerEndpoint]) -> None:
        """Replace the registered peers."""
        self._endpoints = dict(endpoints)
        self._hosts.update(endpoint.host for endpoint in endpoints.values())
        self._update_derived_values()
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        for name, outbox in tuple(self._outboxes.items()):
            if (
                name not in endpoints
                or endpoints[name].address != outbox.address
            ):
                self._close_stream(name)
        for gone in self._peers.keys() - endpoints.keys():
            self._peers.pop(gone)

    def set_targets(self, names: frozenset[str]) -> None:
        """Keep streams open to these peers and close all others."""
        if self._streams is None:
            return
        for name in self._outboxes.keys() - names:
            self._close_stream(name)
        for name in names - self._outboxes.keys():
            self._open_stream(name)

    def next_batch(self, name: str, *, urgent: bool) -> peers_pb2.Batch | None:
        """Return the next batch for a peer, None if it has no stream."""
        outbox = self._outboxes.get(name)
        if outbox is None:
            return None
        if urgent:
            outbox.has_content.set()
        return outbox.pending

    def complete_batch(self, batch: peers_pb2.Batch, peer: Peer) -> None:
        """Set the fields that every batch has."""
        if batch.opened:
            batch.sender = self._name
            batch.incarnation = self._incarnation
        batch.question_us = int(self._loop.time() * _MICRO)
        batch.echo_us = peer.question_us
        batch.hears = self.directly_heard_count
        self._fill(peer, batch)

    async def fetch_state(self, name: str) -> bytes | None:
        """Fetch a peer's desired state; return None on failure."""
        outbox = self._outboxes.get(name)
        return None if outbox is None else await outbox.fetch_state()

    async def close(self) -> None:
        """Close all streams."""
        tasks = [outbox.task for outbox in self._outboxes.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        if self._streams is not None:
            await self._streams.close()

    def receive(self, batch: peers_pb2.Batch) -> None:
        """Process a received batch."""
        peer = self._peers.setdefault(batch.sender, Peer(batch.sender))
        peer.last_heard_at = self._loop.time()
        peer.question_us = batch.question_us
        peer.leaving = batch.leaving
        peer.isolated = batch.isolated
        peer.heard_count = batch.hears
        peer.knows_fleet_use = batch.knows_use
        if batch.sender not in self._outboxes:
            # Its batch may need an answer.
            self._open_stream(batch.sender)
        asked_at = batch.echo_us / _MICRO
        # An echoed timestamp of an earlier run may be ahead of this clock.
        if 0 < asked_at <= self._loop.time():
            peer.echoed_at = max(peer.echoed_at, asked_at)
        self._on_batch(peer, batch)

    def _update_derived_values(self) -> None:
        """Recompute what depends on the set of peers; times are in seconds.

        Cached, since a hub reads these values for hundreds of peers many
        times a second.
        """
        # All registered instances, with this one.
        self.registered = frozenset((*self._endpoints, self._name))
        # The interval of heartbeats.
        self.heartbeat_s = heartbeat_s(len(self._endpoints))
        # A peer that was not heard for this long counts as lost.
        self.peer_timeout_s = _LOST_HEARTBEATS * self.heartbeat_s
        # A stream without an echo for this long is reopened.
        self.echo_timeout_s = _SILENT_HEARTBEATS * self.heartbeat_s

    def _open_stream(self, name: str) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is None or self._streams is None:
            return
        peer = self._peers.setdefault(name, Peer(name))
        peer.stream_opened_at = self._loop.time()
        self._outboxes[name] = self._streams.open(peer, endpoint.address)

    def _close_stream(self, name: str) -> None:
        outbox = self._outboxes.pop(name)
        outbox.peer.stream_opened_at = None
        outbox.task.cancel()
