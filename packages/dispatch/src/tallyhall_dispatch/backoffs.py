"""Backoff periods that upstreams requested from this instance.

A backoff applies only to the instance that received it. The instance that
schedules its requests is told with each request which upstreams to avoid.
"""

from __future__ import annotations

from collections.abc import Mapping


class Backoffs:
    """The backoff periods of one instance; times in seconds."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._until: dict[str, float] = {}

    def add(self, incarnation: str, rest_s: float, now: float) -> None:
        """Record that an upstream requested a backoff of `rest_s`."""
        known = self._until.get(incarnation, now)
        self._until[incarnation] = max(known, now + rest_s)

    def is_backing_off(self, incarnation: str, now: float) -> bool:
        """Return whether nothing must be sent to an upstream now."""
        return now < self._until.get(incarnation, now)

    def current(self, now: float) -> Mapping[str, float]:
        """Return the upstreams in backoff and when each backoff ends."""
        if not self._until:
            return {}
        self._until = {
            incarnation: until
            for incarnation, until in self._until.items()
            if now < until
        }
        return dict(self._until)
