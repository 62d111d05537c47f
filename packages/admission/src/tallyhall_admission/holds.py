"""Promises not to start lower tiers for a while.

After a tier was shed, starting a lower one at once would undo the shedding;
a new owner makes the same promise, since its predecessor may have made it.
"""

from __future__ import annotations


class Holds:
    """Until when the tiers below each rank are barred."""

    def __init__(self) -> None:
        """Start with no promise."""
        self._until: dict[int, float] = {}

    def bar_below(self, rank: int, until: float) -> None:
        """Start nothing below this rank before `until`."""
        self._until[rank] = max(until, self._until.get(rank, until))

    def left(self, rank: int, now: float) -> float:
        """Return the seconds for which jobs of this rank are barred."""
        longest = max(
            (until for above, until in self._until.items() if above < rank),
            default=now,
        )
        return max(0, longest - now)
