"""Which instances keep the copies of a stream's record.

The instances are placed on a consistent hash ring, by several points each. From
the point of a stream on, the first instance of each availability zone comes
first, then the others, so that the copies survive the loss of zones, and the
loss or start of an instance moves few of them.
"""

from __future__ import annotations

import bisect
import functools
import hashlib
from collections.abc import Iterator, Mapping

# Points of each instance: with 16, the instances' parts of the streams differ
# by a quarter.
_POINTS = 16
_POINT_BYTES = 8
# Instances whose points are remembered.
_MAX_KNOWN = 2048


class KeeperRing:
    """The instances of a fleet, in the order in which they keep records."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Place instances on the ring.

        zones: the availability zone of each instance.
        """
        self._zones = dict(zones)
        self._zone_count = len(set(zones.values()))
        placed = sorted(
            (point, name) for name in self._zones for point in _points_of(name)
        )
        self._points = [point for point, _ in placed]
        self._names = [name for _, name in placed]

    def first(self, key: bytes, count: int) -> tuple[str, ...]:
        """Return the first instances for the key of a stream.

        Fewer are the first ones of a larger count.
        """
        zones: set[str] = set()
        chosen: list[str] = []
        others: list[str] = []
        for name in self._walk(key):
            if self._zones[name] in zones:
                others.append(name)
            else:
                zones.add(self._zones[name])
                chosen.append(name)
            has_all_zones = len(zones) == self._zone_count
            if has_all_zones and len(chosen) + len(others) >= count:
                break
        return tuple((*chosen, *others)[:count])

    def _walk(self, key: bytes) -> Iterator[str]:
        """Yield all instances once, from the point of a key on."""
        start = bisect.bisect(self._points, _point(key))
        seen: set[str] = set()
        size = len(self._names)
        for offset in range(size):
            name = self._names[(start + offset) % size]
            if name not in seen:
                seen.add(name)
                yield name


@functools.lru_cache(_MAX_KNOWN)
def _points_of(name: str) -> tuple[int, ...]:
    """Return the points of an instance, computed once as fleets change."""
    return tuple(
        _point(f'{name}/{number}'.encode()) for number in range(_POINTS)
    )


def _point(raw: bytes) -> int:
    digest = hashlib.blake2b(raw, digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest, 'big')
