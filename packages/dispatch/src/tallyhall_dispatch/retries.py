"""The retry budget of a service, enforced by each instance on its own.

The budget of all instances together is a share of the requests plus a fixed
allowance. Each instance uses the share of its own requests and an equal part of
the allowance, so the total stays within the budget without coordination.
"""

from __future__ import annotations

import msgspec

from .windows import SlidingSum


class RetryLimits(msgspec.Struct, frozen=True):
    """ratio: retries per request. allowance: retries beyond the ratio."""

    ratio: float
    allowance: float
    window_s: float


# Used part of the allowance. The rest is a reserve, because instances that join
# or restart within a window use an equal part of it as well.
_ALLOWANCE_PART = 0.6


class RetryBudget:
    """Counts the requests to one service and their retries."""

    def __init__(self, limits: RetryLimits) -> None:
        """Create a budget with no requests counted."""
        self._limits = limits
        self._requests = SlidingSum(limits.window_s)
        self._retries = SlidingSum(limits.window_s)

    def record_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._requests.add(1, now)

    def try_retry(self, now: float, instances: int) -> bool:
        """Count one retry if the budget allows it; return whether it does."""
        share = self._limits.allowance * _ALLOWANCE_PART / max(1, instances)
        allowed = self._limits.ratio * self._requests.total(now) + share
        if self._retries.total(now) + 1 > allowed:
            return False
        self._retries.add(1, now)
        return True
