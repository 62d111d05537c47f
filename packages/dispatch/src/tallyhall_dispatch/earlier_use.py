"""Use of quotas before the start of an instance that no peer can report.

If all instances were lost, the use of the last window is known from the record
that one of them wrote to the store while use was high. Without a record, use
was below the threshold for writing. It may all have been admitted just before
the loss, so it counts until a full window has passed.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .quota_limits import QuotaLimits
from .quota_use import AgedAmounts

# Use above this fraction of a quota is written to the store, so that normal use
# causes no writes.
PERSIST_FRACTION = 0.6
# Part of the maximum overshoot by which use that was not written may exceed the
# assumption. The rest is for admissions between two reports.
_ASSUMED_OVERSHOOT = 0.8


class _RestoredUse(msgspec.Struct, frozen=True):
    """Use before a restart, and when it leaves the window."""

    ends_at: float
    amount: float


class EarlierUse:
    """The fleet's use before this instance started, by workspace."""

    def __init__(self, started_at: float, window_s: float) -> None:
        """Start without a record."""
        self._window_s = window_s
        self._unknown_until = started_at + window_s
        self._restored: dict[str, tuple[_RestoredUse, ...]] = {}

    def restore(self, written: Mapping[str, AgedAmounts], now: float) -> None:
        """Restore a record from the store.

        The time since the record was written is unknown and taken as zero.
        """
        for name, parts in written.items():
            self._restored[name] = tuple(
                _RestoredUse(now + self._window_s - age_s, amount)
                for age_s, amount in parts
            )

    def is_relevant(self, now: float) -> bool:
        """Return whether use before the start may be in the window."""
        return now < self._unknown_until

    def end(self, now: float) -> None:
        """Ignore it, as the use of the fleet is known from a peer."""
        self._unknown_until = now

    def parts(self, limits: QuotaLimits, now: float) -> AgedAmounts:
        """Return what counts as used by all instances, by age."""
        if not self.is_relevant(now):
            return ()
        restored = self._restored.get(limits.workspace.name)
        if restored is None:
            restored = (_RestoredUse(self._unknown_until, _assumed(limits)),)
        return tuple(
            (self._window_s - (part.ends_at - now), part.amount)
            for part in restored
            if part.ends_at > now
        )

    def amount(self, limits: QuotaLimits, now: float) -> float:
        """Return what counts as used on this instance.

        An instance that hears a part of the fleet has the same part of the
        quota, so that part of the earlier use of the whole fleet counts.
        """
        total = sum(amount for _, amount in self.parts(limits, now))
        return limits.fleet.heard_fraction * total


def _assumed(limits: QuotaLimits) -> float:
    """Return the use that is assumed where none was written."""
    margin = _ASSUMED_OVERSHOOT * limits.max_overshoot
    return max(0, PERSIST_FRACTION * limits.quota - margin)
