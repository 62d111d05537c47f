"""Which instances are live, as this one hears them, and whom it talks to."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import Topology, is_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

# Beats after which one that sent something needs no answers any more.
_ANSWERED_LOSSES = 3


class Seen(msgspec.Struct, frozen=True):
    """What is known of the fleet at a moment.

    owners: instances that may own services. hubs: these and, where there are
    none, those that stop and hear all. hears: instances whose use of
    quotas is known here, with this one. hears_directly: of them, those that
    this one hears itself.
    """

    owners: frozenset[str]
    hubs: frozenset[str]
    hears: int
    hears_directly: int


class Neighbours:
    """Looks who is live and keeps the streams that are needed."""

    def __init__(self, name: str, links: PeerLinks) -> None:
        """Belong to an instance."""
        self._name = name
        self._links = links
        self._topology = Topology(name)

    def look(self, now: float, *, leaving: bool) -> Seen:
        """Return what is known now, and open or end streams."""
        links = self._links
        registered = links.registered
        # Those that stop are heard and hear like all others: they still
        # admit. Only services move away from them.
        answering = {self._name}
        silent: set[str] = set()
        heard: set[str] = set()
        for peer in links.peers.values():
            if now - peer.heard_at < _ANSWERED_LOSSES * links.lost_s:
                heard.add(peer.name)
            if links.answers(peer, now):
                answering.add(peer.name)
            elif self._had_time(peer, now):
                silent.add(peer.name)
        if is_mesh(links.instances):
            silent |= registered - answering
        chosen = self._topology.choose(
            registered,
            frozenset(silent),
            frozenset(heard),
            links.cores,
            self._retiring(leaving=leaving),
        )
        links.link(chosen.linked)
        return Seen(
            chosen.owners,
            chosen.hubs,
            self._hears(chosen.hubs, answering),
            len(answering),
        )

    def _retiring(self, *, leaving: bool) -> frozenset[str]:
        """Return who is not offered to callers any more."""
        links = self._links
        retiring = {
            peer.name
            for peer in links.peers.values()
            if peer.leaving or not links.serves(peer.name)
        }
        if leaving:
            retiring.add(self._name)
        return frozenset(retiring)

    def _had_time(self, peer: Peer, now: float) -> bool:
        if peer.linked_at is None:
            return False
        return now - peer.linked_at > self._links.silent_s

    def _hears(self, hubs: frozenset[str], answering: set[str]) -> int:
        """Return how many are heard, directly or through a hub."""
        if is_mesh(self._links.instances):
            # Nobody passes on what others admitted.
            return len(answering)
        peers = self._links.peers
        through = [peers[hub].hears for hub in hubs & answering if hub in peers]
        return max(len(answering), *through, 1)
