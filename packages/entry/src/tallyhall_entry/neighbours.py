"""Which instances are live, as this one hears them, and whom it talks to."""

from __future__ import annotations

import dataclasses

from tallyhall_dispatch.topology import Topology, is_mesh
from tallyhall_transport.peers import Peer, PeerLinks

# Beats after which one that sent something needs no answers any more.
_ANSWERED_LOSSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What is known of the fleet at a moment.

    hubs: instances that may own services. hears: instances whose use of
    quotas is known here, with this one.
    """

    hubs: frozenset[str]
    hears: int


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
        live: set[str] = set()
        silent: set[str] = set()
        heard: set[str] = set()
        for peer in links.peers.values():
            if now - peer.heard_at < _ANSWERED_LOSSES * links.lost_s:
                heard.add(peer.name)
            if self._is_live(peer, now):
                live.add(peer.name)
            elif peer.leaving or self._had_time(peer, now):
                silent.add(peer.name)
        if leaving:
            silent.add(self._name)
        else:
            live.add(self._name)
        if is_mesh(links.instances):
            silent |= registered - live
        chosen = self._topology.choose(
            registered,
            frozenset(silent),
            frozenset(heard),
            links.cores,
        )
        links.link(chosen.linked)
        return Seen(chosen.hubs, self._hears(chosen.hubs, live))

    def _is_live(self, peer: Peer, now: float) -> bool:
        lost_s = self._links.lost_s
        if peer.leaving or now - peer.heard_at >= lost_s:
            return False
        return now - peer.answered_at < 2 * lost_s

    def _had_time(self, peer: Peer, now: float) -> bool:
        if peer.linked_at is None:
            return False
        return now - peer.linked_at > self._links.silent_s

    def _hears(self, hubs: frozenset[str], live: set[str]) -> int:
        """Return how many are heard, directly or through a hub."""
        peers = self._links.peers
        through = [peers[hub].hears for hub in hubs & live if hub in peers]
        return max(1, len(live), *through)
