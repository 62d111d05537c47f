"""Ranks and latency targets of the tiers."""

from __future__ import annotations

import dataclasses

from tallyhall_table.model import TierRow

_DEFAULT_GAP_S = 0.076


@dataclasses.dataclass(frozen=True, slots=True)
class Tiers:
    """The table's tiers; rank 0 is the highest."""

    rows: tuple[TierRow, ...] = ()

    @property
    def highest_rank(self) -> int:
        """Return the rank of the highest tier."""
        return min((row.rank for row in self.rows), default=0)

    @property
    def lowest_rank(self) -> int:
        """Return the rank of the lowest tier."""
        return max((row.rank for row in self.rows), default=0)

    @property
    def gap_s(self) -> float:
        """Return the strictest target for the time between tokens."""
        gaps = [row.gap_s for row in self.rows]
        return min(gaps, default=_DEFAULT_GAP_S)

    def rank_of(self, name: str) -> int:
        """Return the rank of a tier, the lowest rank if it is unknown."""
        for row in self.rows:
            if row.name == name:
                return row.rank
        return self.lowest_rank
