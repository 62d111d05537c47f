"""Age of the last confirmation that the desired state is current.

An API key must stop working within a bounded time after the operator revoked
it. A request with a key is therefore only run while the desired state in force
was confirmed recently enough. The age counts from the time at which the
confirming query was sent, on the monotonic clock.
"""

from __future__ import annotations


class Freshness:
    """The latest confirmation and whether it is still valid."""

    def __init__(self, bound_s: float) -> None:
        """Accept a confirmation for `bound_s` seconds; 0 means forever."""
        self.bound_s = bound_s
        self._asked_at: float | None = None

    def record_confirmation(self, asked_at: float) -> None:
        """Record that a query sent at this time confirmed the state."""
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at

    def age(self, now: float) -> float | None:
        """Return the seconds since the confirming query was sent."""
        if self._asked_at is None:
            return None
        return now - self._asked_at

    def is_valid(self, now: float) -> bool:
        """Return whether requests with API keys may run."""
        age = self.age(now)
        if age is None:
            return False
        return not self.bound_s or age < self.bound_s
