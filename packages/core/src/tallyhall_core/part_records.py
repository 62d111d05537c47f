"""What is known of one part of prompts, and which of it still counts."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from .part_verdicts import QuarantinedPart


class Charge(msgspec.Struct, frozen=True):
    """A termination that is counted for a part.

    ends: the count. follows_answer: whether the service answered a request that
    was sent after an earlier termination of the part.
    """

    ends: int
    at_s: float
    follows_answer: bool


class PartRecord(msgspec.Struct):
    """What is known of one part.

    charges: its terminations, by upstream. known: the highest count of them.
    cleared: the count up to which an answer has cleared it. judged_at: when it
    was quarantined, by the clock of the instance that judged. has_rival:
    whether another part was quarantined by the same judgement.
    """

    charges: dict[str, Charge] = msgspec.field(default_factory=dict)
    known: int = 0
    cleared: int = 0
    quarantine: QuarantinedPart | None = None
    judged_at: float | None = None
    has_rival: bool = False

    @property
    def active(self) -> dict[str, Charge]:
        """Return the charges that no answer has cleared."""
        return {
            upstream: charge
            for upstream, charge in self.charges.items()
            if charge.ends > self.cleared
        }

    @property
    def newest_at(self) -> float:
        """Return the time of the latest charge that is not cleared."""
        times = (charge.at_s for charge in self.active.values())
        return max(times, default=float('-inf'))

    @property
    def oldest_at(self) -> float:
        """Return the time of the first charge that is not cleared."""
        times = (charge.at_s for charge in self.active.values())
        return min(times, default=float('inf'))

    @property
    def follows_answer(self) -> bool:
        """Return whether the service answered anything between the charges."""
        return any(charge.follows_answer for charge in self.active.values())

    @property
    def is_quarantined(self) -> bool:
        """Return whether the part is in quarantine."""
        quarantine = self.quarantine
        return quarantine is not None and quarantine.ends > self.cleared

    def count(self, without: Collection[str] = ()) -> int:
        """Return the terminations that count, except at these upstreams."""
        return len(
            {
                charge.ends
                for upstream, charge in self.active.items()
                if upstream not in without
            },
        )

    def forget(self, before: float) -> None:
        """Remove the charges up to this time."""
        for upstream, charge in tuple(self.charges.items()):
            if charge.at_s <= before:
                self.charges.pop(upstream)
