"""Up to what time peers know which requests this instance has admitted."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import is_mesh
from tallyhall_transport.peers import PeerLinks

# Heartbeat intervals without a batch after which a peer may be partitioned.
# Consecutive heartbeats arrive up to 1.2 intervals apart on a busy machine.
_SUSPECT_HEARTBEATS = 1.5


class PeerKnowledge(msgspec.Struct, frozen=True):
    """Times up to which peers know what this instance has admitted.

    known_at: known to all live peers; None without any. counted_at: known to
    the fleet, or to a hub that forwards it; None while any peer may be
    partitioned.
    """

    known_at: float | None = None
    counted_at: float | None = None


def known(
    links: PeerLinks,
    name: str,
    hubs: frozenset[str],
    now: float,
) -> PeerKnowledge:
    """Return what peers know about the admissions of the named instance.

    A peer that answers a question has processed everything sent before it.
    """
    live = [peer for peer in links.peers.values() if links.answers(peer, now)]
    if not live:
        return PeerKnowledge()
    known_at = min(peer.answered_at for peer in live)
    silent_s = now - min(peer.heard_at for peer in live)
    if silent_s > _SUSPECT_HEARTBEATS * links.beat_s:
        return PeerKnowledge(known_at)
    if is_mesh(links.instances):
        return PeerKnowledge(known_at, known_at)
    if name in hubs:
        return PeerKnowledge(known_at, now)
    # A former hub still answers but no longer forwards reports.
    telling = [peer.answered_at for peer in live if peer.name in hubs]
    return PeerKnowledge(known_at, max(telling, default=None))
