"""Determines which peers are live and to which ones to keep streams."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import Topology, is_full_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

# Multiple of the loss timeout during which a peer that sent something counts as
# heard, even without answers from it.
_HEARD_TIMEOUT_FACTOR = 3


class Seen(msgspec.Struct, frozen=True):
    """The fleet as seen by one instance at one time.

    owners: instances that may own services. hubs: the owners or, if there are
    none, stopping instances that hear from all others. heard_count: number
    of instances whose quota usage is known, including this one.
    directly_heard_count: those of them that this instance receives reports
    from itself.
    """

    owners: frozenset[str]
    hubs: frozenset[str]
    heard_count: int
    directly_heard_count: int


class PeerTracker:
    """Tracks live peers and maintains the streams to them."""

    def __init__(self, name: str, peer_streams: PeerStreams) -> None:
        """Track peers for the named instance."""
        self._name = name
        self._peer_streams = peer_streams
        self._topology = Topology(name)

    def update(self, now: float, *, leaving: bool) -> Seen:
        """Return the current view of the fleet; open and close streams."""
        peer_streams = self._peer_streams
        registered = peer_streams.registered
        # Stopping instances exchange reports like all others, as they still
        # admit requests. Only the ownership of services moves away from them.
        answering = {self._name}
        silent: set[str] = set()
        heard: set[str] = set()
        for peer in peer_streams.peers.values():
            if (
                now - peer.last_heard_at
                < _HEARD_TIMEOUT_FACTOR * peer_streams.peer_timeout_s
            ):
                heard.add(peer.name)
            if peer_streams.is_connected(peer, now):
                answering.add(peer.name)
            elif self._is_answer_overdue(peer, now):
                silent.add(peer.name)
        if is_full_mesh(peer_streams.instances):
            silent |= registered - answering
        chosen = self._topology.choose(
            registered,
            frozenset(silent),
            frozenset(heard),
            peer_streams.cores,
            self._unadvertised(leaving=leaving),
        )
        peer_streams.set_targets(chosen.peers)
        return Seen(
            chosen.owners,
            chosen.hubs,
            self._count_heard(chosen.hubs, answering),
            len(answering),
        )

    def _unadvertised(self, *, leaving: bool) -> frozenset[str]:
        """Return the instances that are no longer advertised to clients."""
        peer_streams = self._peer_streams
        retiring = {
            peer.name
            for peer in peer_streams.peers.values()
            if peer.leaving or not peer_streams.serves(peer.name)
        }
        if leaving:
            retiring.add(self._name)
        return frozenset(retiring)

    def _is_answer_overdue(self, peer: Peer, now: float) -> bool:
        if peer.stream_opened_at is None:
            return False
        return now - peer.stream_opened_at > self._peer_streams.echo_timeout_s

    def _count_heard(self, hubs: frozenset[str], answering: set[str]) -> int:
        """Return the number of instances heard, directly or through a hub."""
        if is_full_mesh(self._peer_streams.instances):
            # In a mesh no instance forwards the reports of others.
            return len(answering)
        peers = self._peer_streams.peers
        through = [
            peers[hub].heard_count for hub in hubs & answering if hub in peers
        ]
        return max(len(answering), *through, 1)
