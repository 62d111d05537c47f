"""A retry budget: retries stay a small share of first tries.

Without it, retries multiply load exactly when upstreams are failing.
"""

from __future__ import annotations


class RetryBudget:
    """Each request earns a share of a retry, up to a burst."""

    def __init__(self, share: float, floor: float) -> None:
        """Earn `share` of a retry for each request; start with `floor`."""
        self._share = share
        self._burst = max(floor, 1)
        self._level = self._burst

    def earn(self) -> None:
        """Count a first try."""
        self._level = min(self._burst * 10, self._level + self._share)

    def spend(self) -> bool:
        """Take one retry; return whether the budget allowed it."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
