"""Determines which peers are live and to which ones to keep streams."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import Topology, is_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

# Multiple of the loss timeout during which a peer that sent something counts as
# heard, even without answers from it.
_HEARD_TIMEOUT_FACTOR = 3


class Seen(msgspec.Struct, frozen=True):
    """The fleet as seen by one instance at one time.

    owners: instances that may own services. hubs: the owners or, if there are
    none, stopping instances that hear from all others. hears: number of
    instances whose quota usage is known, including this one. hears_directly:
    those of them that this instance receives reports from itself.
    """

    owners: frozenset[str]
    hubs: frozenset[str]
    hears: int
    hears_directly: int


class Neighbours:
    """Tracks live peers and maintains the streams to them."""

    def __init__(self, name: str, links: PeerLinks) -> None:
        """Track peers for the named instance."""
        self._name = name
        self._links = links
        self._topology = Topology(name)

    def look(self, now: float, *, leaving: bool) -> Seen:
        """Return the current view of the fleet; open and close streams."""
        links = self._links
        registered = links.registered
        # Stopping instances exchange reports like all others, as they still
        # admit requests. Only the ownership of services moves away from them.
        answering = {self._name}
        silent: set[str] = set()
        heard: set[str] = set()
        for peer in links.peers.values():
            if now - peer.heard_at < _HEARD_TIMEOUT_FACTOR * links.lost_s:
                heard.add(peer.name)
            if links.answers(peer, now):
                answering.add(peer.name)
            elif self._is_answer_overdue(peer, now):
                silent.add(peer.name)
        if is_mesh(links.instances):
            silent |= registered - answering
        chosen = self._topology.choose(
            registered,
            frozenset(silent),
            frozenset(heard),
            links.cores,
            self._unadvertised(leaving=leaving),
        )
        links.link(chosen.linked)
        return Seen(
            chosen.owners,
            chosen.hubs,
            self._count_heard(chosen.hubs, answering),
            len(answering),
        )

    def _unadvertised(self, *, leaving: bool) -> frozenset[str]:
        """Return the instances that are no longer advertised to clients."""
        links = self._links
        retiring = {
            peer.name
            for peer in links.peers.values()
            if peer.leaving or not links.serves(peer.name)
        }
        if leaving:
            retiring.add(self._name)
        return frozenset(retiring)

    def _is_answer_overdue(self, peer: Peer, now: float) -> bool:
        if peer.linked_at is None:
            return False
        return now - peer.linked_at > self._links.silent_s

    def _count_heard(self, hubs: frozenset[str], answering: set[str]) -> int:
        """Return the number of instances heard, directly or through a hub."""
        if is_mesh(self._links.instances):
            # In a mesh no instance forwards the reports of others.
            return len(answering)
        peers = self._links.peers
        through = [peers[hub].hears for hub in hubs & answering if hub in peers]
        return max(len(answering), *through, 1)
