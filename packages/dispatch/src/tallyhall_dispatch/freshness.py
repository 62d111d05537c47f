"""How old the last confirmation of the desired state is.

A revoked API key must not work for longer than a bound after the operator
took it away. So a request with a key runs only while the desired state in
force was confirmed recently enough, counted from the moment at which the
confirming question was sent, on the steady clock.
"""

from __future__ import annotations


class Freshness:
    """The newest confirmation and whether it still holds."""

    def __init__(self, bound_s: float) -> None:
        """Hold a confirmation for `bound_s`; 0 means for ever."""
        self.bound_s = bound_s
        self._asked_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Take that a question sent at this time confirmed the state."""
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at

    def age(self, now: float) -> float | None:
        """Return the seconds since the confirming question was sent."""
        if self._asked_at is None:
            return None
        return now - self._asked_at

    def holds(self, now: float) -> bool:
        """Return whether requests with keys may run."""
        age = self.age(now)
        if age is None:
            return False
        return not self.bound_s or age < self.bound_s
