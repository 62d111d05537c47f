"""The retry budget of a service, kept by each instance alone.

The budget over all instances is a share of the requests plus a fixed
allowance. Each instance spends the share of its own requests and an equal
part of the allowance, so the sum stays within the budget without messages.
"""

from __future__ import annotations

import msgspec

from .windows import SlidingSum


class RetryLimits(msgspec.Struct, frozen=True):
    """ratio: further sends for each request; allowance: sends for free."""

    ratio: float
    allowance: float
    window_s: float


# A part of the allowance stays unspent: instances that join or restart
# within a window hold an equal part of it as well.
_ALLOWANCE_SPENT = 0.6


class RetryBudget:
    """Counts first and further sends to one service."""

    def __init__(self, limits: RetryLimits) -> None:
        """Start with nothing counted."""
        self._limits = limits
        self._requests = SlidingSum(limits.window_s)
        self._repeats = SlidingSum(limits.window_s)

    def request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.add(1, now)

    def take(self, now: float, instances: int) -> bool:
        """Spend one further send; return whether the budget allows it."""
        share = self._limits.allowance * _ALLOWANCE_SPENT / max(1, instances)
        allowed = self._limits.ratio * self._requests.total(now) + share
        if self._repeats.total(now) + 1 > allowed:
            return False
        self._repeats.add(1, now)
        return True
