"""A retry budget: limits retries to a small fraction of the requests.

Without it, retries multiply the load just when upstreams are failing.
"""

from __future__ import annotations


class RetryBudget:
    """Token bucket of retries; each request adds a fraction of a token."""

    def __init__(self, ratio: float, initial: float) -> None:
        """Add `ratio` retries per request, starting with `initial` retries."""
        self._ratio = ratio
        self._burst = max(initial, 1)
        self._available = self._burst

    def record_request(self) -> None:
        """Add to the budget for a new request."""
        self._available = min(self._burst * 10, self._available + self._ratio)

    def try_retry(self) -> bool:
        """Consume one retry; return whether the budget allowed it."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
