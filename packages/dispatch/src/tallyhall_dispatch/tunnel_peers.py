"""Chooses the instance through which an upstream is reached.

An instance that does not reach an upstream itself opens a tunnel through
another instance. Peers are preferred through which the traffic crosses few
availability zones; those that failed are left out for a while.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

import msgspec

from .options import Listening

# Time for which a peer is left out after a failure. It doubles with each
# further one, up to the maximum.
_SKIP_S = 0.3
_MAX_SKIP_S = 4.0
# Time for which a peer that worked is preferred to one that was not tried.
_KNOWN_GOOD_S = 5.0
# Time without attempts at other peers after one of them has failed.
_EXPLORE_PAUSE_S = 1.0


class TunnelPeer(msgspec.Struct, frozen=True):
    """Another instance, the address at which it takes tunnels, and its zone."""

    name: str
    address: Listening
    zone: str


class _PeerRecord(msgspec.Struct):
    failures: int = 0
    skipped_until: float = float('-inf')
    worked_at: float = float('-inf')


class TunnelPeers:
    """The peers of one instance, and how its tunnels through them fared."""

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        may_use: Callable[[str], bool],
    ) -> None:
        """Start without peers.

        zone: availability zone of this instance. may_use: returns whether a
        peer is known to be reachable and to reach its upstreams.
        """
        self._zone = zone
        self._rng = rng
        self._may_use = may_use
        self._peers: Mapping[str, TunnelPeer] = {}
        self._records: dict[str, _PeerRecord] = {}
        self._explores_from: float = float('-inf')

    def update(self, peers: Iterable[TunnelPeer]) -> None:
        """Replace the set of peers."""
        self._peers = {peer.name: peer for peer in peers}
        for gone in self._records.keys() - self._peers.keys():
            self._records.pop(gone)

    def is_usable(self, name: str) -> bool:
        """Return whether open tunnels through a peer may be used again."""
        return name in self._peers and self._may_use(name)

    def choose(
        self, upstream_zone: str, tried: frozenset[str], now: float
    ) -> TunnelPeer | None:
        """Return the best peer that was not tried, None if there is none."""
        candidates = [
            peer
            for peer in self._peers.values()
            if peer.name not in tried and self._is_candidate(peer.name, now)
        ]
        if not candidates:
            return None
        # Among equals the first one counts.
        self._rng.shuffle(candidates)
        explores = now >= self._explores_from
        return min(
            candidates,
            key=lambda peer: self._rank(
                peer, upstream_zone, now, explores=explores
            ),
        )

    def record_opened(self, name: str, now: float) -> None:
        """Record that a tunnel through a peer was opened."""
        record = self._record(name)
        record.failures = 0
        record.worked_at = now
        record.skipped_until = now

    def record_failed(self, name: str, now: float) -> None:
        """Record that a peer could not open a tunnel."""
        record = self._record(name)
        skip_s = min(_MAX_SKIP_S, _SKIP_S * 2**record.failures)
        record.failures += 1
        record.worked_at = float('-inf')
        record.skipped_until = now + skip_s
        self._explores_from = now + _EXPLORE_PAUSE_S

    def _record(self, name: str) -> _PeerRecord:
        return self._records.setdefault(name, _PeerRecord())

    def _is_candidate(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        if record is not None and now < record.skipped_until:
            return False
        return self._may_use(name)

    def _is_known_good(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        return record is not None and now - record.worked_at < _KNOWN_GOOD_S

    def _rank(
        self,
        peer: TunnelPeer,
        upstream_zone: str,
        now: float,
        *,
        explores: bool,
    ) -> tuple[int, int]:
        crossed = (peer.zone != self._zone) + (peer.zone != upstream_zone)
        untried = int(not self._is_known_good(peer.name, now))
        if explores:
            return crossed, untried
        return untried, crossed
