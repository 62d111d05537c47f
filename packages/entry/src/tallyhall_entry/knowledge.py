"""Until when the others know what this instance has admitted."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.topology import is_mesh
from tallyhall_transport.peers import PeerLinks

# Beats after which one that was not heard may be cut off; two that follow
# each other come up to 1.2 apart on a busy machine.
_SUSPECT_BEATS = 1.5


class Known(msgspec.Struct, frozen=True):
    """Times until which what was admitted here is known.

    known_at: to all that this instance talks to, None where there is nobody.
    counted_at: to one that tells all others, None while any may be cut off.
    """

    known_at: float | None = None
    counted_at: float | None = None


def known(
    links: PeerLinks,
    name: str,
    hubs: frozenset[str],
    now: float,
) -> Known:
    """Return what the answers of others say to the instance of this name.

    Whoever answers a question has counted all that was told before it.
    """
    live = [peer for peer in links.peers.values() if links.answers(peer, now)]
    if not live:
        return Known()
    known_at = min(peer.answered_at for peer in live)
    silent_s = now - min(peer.heard_at for peer in live)
    if silent_s > _SUSPECT_BEATS * links.beat_s:
        return Known(known_at)
    if is_mesh(links.instances):
        return Known(known_at, known_at)
    if name in hubs:
        return Known(known_at, now)
    # One that was a hub until lately answers too, and tells nobody.
    telling = [peer.answered_at for peer in live if peer.name in hubs]
    return Known(known_at, max(telling, default=None))
