"""Streams between entry instances: one for each ordered pair.

The sender of a pair opens the stream and keeps it; what is queued within
one turn of the loop leaves as one batch, and a batch without content is the
heartbeat. Every batch carries a question, the sender's steady time, and the
newest question of the other side. The answer to a question bounds how old
the other side's statements are, and shows that both streams work: where no
answer comes although the peer should be there, the stream is opened anew,
since a connection may go silent for good without a reset.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tallyhall_dispatch.topology import beat_s, is_mesh

from .loading import load_streams
from .peer import Peer, PeerPlace, ReadState

if TYPE_CHECKING:
    from .generated import peers_pb2
    from .streams import Outbox, Streams

# Beats after which a peer that was not heard counts as lost.
_LOST_BEATS = 3.3
# A stream whose questions stay unanswered for this many beats is opened anew;
# the slowest sound way takes 30 ms.
_SILENT_BEATS = 5.4
_MICRO = 1_000_000
OnBatch = Callable[[Peer, 'peers_pb2.Batch'], None]
FillBatch = Callable[[Peer, 'peers_pb2.Batch'], None]


class PeerLinks:
    """The streams of one instance to all others."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        on_batch: OnBatch,
        fill: FillBatch,
        on_lost: Callable[[Peer, Exception], None],
        on_opened: Callable[[Peer], None],
    ) -> None:
        """Call `on_batch` for what comes; `fill` adds to what leaves."""
        self.on_lost = on_lost
        self.on_opened = on_opened
        self.own_cores: float = 0
        # Instances whose use of quotas is known here, with this one.
        self.hears = 1
        # Of these, the ones that this one hears itself. Only they are told
        # on: hubs that repeat each other's number never see it shrink.
        self.hears_directly = 1
        # Whether this instance hears all others of a large fleet.
        self.is_hub = False
        self._name = name
        self._incarnation = incarnation
        self._on_batch = on_batch
        self._fill = fill
        self._loop = asyncio.get_running_loop()
        self._streams: Streams | None = None
        self._places: dict[str, PeerPlace] = {}
        self._note_places()
        self._outboxes: dict[str, Outbox] = {}
        self._peers: dict[str, Peer] = {}

    @property
    def peers(self) -> Mapping[str, Peer]:
        """Return all peers that count or were heard."""
        return self._peers

    def serves(self, name: str) -> bool:
        """Return whether callers are sent to a peer."""
        place = self._places.get(name)
        return place is None or place.serves

    def cores(self, name: str) -> float:
        """Return the processor time that an instance has, 0 if unknown."""
        if name == self._name:
            return self.own_cores
        place = self._places.get(name)
        return 0 if place is None else place.cores

    @property
    def tells_on(self) -> bool:
        """Return whether others hear of each other through this instance."""
        return self.is_hub and not is_mesh(self.instances)

    @property
    def instances(self) -> int:
        """Return how many instances count and have a place, with this one."""
        return len(self._places) + 1

    def answers(self, peer: Peer, now: float) -> bool:
        """Return whether a peer is heard and hears this instance."""
        if now - peer.heard_at >= self.lost_s:
            return False
        return now - peer.answered_at < 2 * self.lost_s

    async def listen(self, address: str, read_state: ReadState) -> None:
        """Open the address; raise OSError where it is taken.

        Until then no stream is kept, and requests are decided alone.
        """
        loaded = await load_streams()
        streams = loaded(self)
        await streams.listen(address, self.take, read_state)
        self.use(streams)

    def use(self, streams: Streams) -> None:
        """Keep streams by these from now on."""
        self._streams = streams

    def take_peers(self, places: Mapping[str, PeerPlace]) -> None:
        """Take names and places of all others."""
        self._places = dict(places)
        self._note_places()
        for name, outbox in tuple(self._outboxes.items()):
            if name not in places or places[name].address != outbox.address:
                self._unlink(name)
        for gone in self._peers.keys() - places.keys():
            self._peers.pop(gone)

    def link(self, names: frozenset[str]) -> None:
        """Keep streams to these peers and no others."""
        if self._streams is None:
            return
        for name in self._outboxes.keys() - names:
            self._unlink(name)
        for name in names - self._outboxes.keys():
            self._link(name)

    def outgoing(self, name: str, *, urgent: bool) -> peers_pb2.Batch | None:
        """Return the batch that leaves next, None for an unknown peer."""
        outbox = self._outboxes.get(name)
        if outbox is None:
            return None
        if urgent:
            outbox.filled.set()
        return outbox.pending

    def fill(self, batch: peers_pb2.Batch, peer: Peer) -> None:
        """Add what every batch carries."""
        if batch.opened:
            batch.sender = self._name
            batch.incarnation = self._incarnation
        batch.question_us = int(self._loop.time() * _MICRO)
        batch.echo_us = peer.question_us
        batch.hears = self.hears_directly
        self._fill(peer, batch)

    async def fetch_state(self, name: str) -> bytes | None:
        """Return the desired state that a peer holds, None if it fails."""
        outbox = self._outboxes.get(name)
        return None if outbox is None else await outbox.fetch_state()

    async def close(self) -> None:
        """End all streams."""
        tasks = [outbox.task for outbox in self._outboxes.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        if self._streams is not None:
            await self._streams.close()

    def take(self, batch: peers_pb2.Batch) -> None:
        """Take a batch as it came."""
        peer = self._peers.setdefault(batch.sender, Peer(batch.sender))
        peer.heard_at = self._loop.time()
        peer.question_us = batch.question_us
        peer.leaving = batch.leaving
        peer.hears = batch.hears
        peer.knows_use = batch.knows_use
        if batch.sender not in self._outboxes:
            # It may be asking for something.
            self._link(batch.sender)
        asked_at = batch.echo_us / _MICRO
        # An echo of what an earlier run asked may lie ahead of this clock.
        if 0 < asked_at <= self._loop.time():
            peer.answered_at = max(peer.answered_at, asked_at)
        self._on_batch(peer, batch)

    def _note_places(self) -> None:
        """Set what follows from who the peers are; times in seconds.

        Hubs look at each of some hundred peers by it, many times a second.
        """
        # All instances that count and have a place, with this one.
        self.registered = frozenset((*self._places, self._name))
        # The time between two batches without content.
        self.beat_s = beat_s(len(self._places))
        # After this long an unheard peer counts as lost.
        self.lost_s = _LOST_BEATS * self.beat_s
        # After this long a stream without answers is opened anew.
        self.silent_s = _SILENT_BEATS * self.beat_s

    def _link(self, name: str) -> None:
        place = self._places.get(name)
        if place is None or self._streams is None:
            return
        peer = self._peers.setdefault(name, Peer(name))
        peer.linked_at = self._loop.time()
        self._outboxes[name] = self._streams.open(peer, place.address)

    def _unlink(self, name: str) -> None:
        outbox = self._outboxes.pop(name)
        outbox.peer.linked_at = None
        outbox.task.cancel()
