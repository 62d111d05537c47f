"""Up to what time peers know which requests this instance has admitted."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import is_full_mesh
from tallyhall_transport.peer_streams import PeerStreams

# Heartbeat intervals without a batch after which a peer may be partitioned.
# Consecutive heartbeats arrive up to 1.2 intervals apart on a busy machine.
_SUSPECT_HEARTBEATS = 1.5


class PeerKnowledge(msgspec.Struct, frozen=True):
    """Times up to which peers know what this instance has admitted.

    acknowledged_at: known to all live peers; None without any. propagated_at:
    known to the fleet, or to a hub that forwards it; None while any peer may be
    partitioned.
    """

    acknowledged_at: float | None = None
    propagated_at: float | None = None


def peer_knowledge(
    peer_streams: PeerStreams,
    name: str,
    hubs: frozenset[str],
    now: float,
) -> PeerKnowledge:
    """Return what peers know about the admissions of the named instance.

    A peer that answers a question has processed everything sent before it.
    """
    live = [
        peer
        for peer in peer_streams.peers.values()
        if peer_streams.is_connected(peer, now)
    ]
    if not live:
        return PeerKnowledge()
    known_at = min(peer.echoed_at for peer in live)
    silent_s = now - min(peer.last_heard_at for peer in live)
    if silent_s > _SUSPECT_HEARTBEATS * peer_streams.heartbeat_s:
        return PeerKnowledge(known_at)
    if is_full_mesh(peer_streams.instances):
        return PeerKnowledge(known_at, known_at)
    if name in hubs:
        return PeerKnowledge(known_at, now)
    # A former hub still answers but no longer forwards reports.
    telling = [peer.echoed_at for peer in live if peer.name in hubs]
    return PeerKnowledge(known_at, max(telling, default=None))
