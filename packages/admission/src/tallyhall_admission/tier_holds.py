"""Temporary holds on starting jobs of lower tiers.

After a job was shed, starting one of a lower tier would violate the tier
order. A new owner of a service assumes that its predecessor set such a hold.
"""

from __future__ import annotations


class TierHolds:
    """Time until which no tier below a rank may start, by rank."""

    def __init__(self) -> None:
        """Start without holds."""
        self._until: dict[int, float] = {}

    def hold_below(self, rank: int, until: float) -> None:
        """Hold the tiers below this rank until the given time."""
        self._until[rank] = max(until, self._until.get(rank, until))

    def remaining_s(self, rank: int, now: float) -> float:
        """Return the seconds for which jobs of this rank are held."""
        longest = max(
            (
                until
                for rank_above, until in self._until.items()
                if rank_above < rank
            ),
            default=now,
        )
        return max(0, longest - now)
