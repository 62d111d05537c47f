"""Upstreams that asked an instance for rest, and until when.

A rest binds the instance that was asked. Whoever places its requests is told
with each of them where it must not send them.
"""

from __future__ import annotations

from collections.abc import Mapping


class Rests:
    """The rests that one instance was asked for; times in seconds."""

    def __init__(self) -> None:
        """Start with none."""
        self._until: dict[str, float] = {}

    def ask(self, incarnation: str, rest_s: float, now: float) -> None:
        """Take that an upstream wants nothing for so long."""
        known = self._until.get(incarnation, now)
        self._until[incarnation] = max(known, now + rest_s)

    def rests(self, incarnation: str, now: float) -> bool:
        """Return whether an upstream must get nothing now."""
        return now < self._until.get(incarnation, now)

    def current(self, now: float) -> Mapping[str, float]:
        """Return the upstreams that rest, each with the end of its rest."""
        if not self._until:
            return {}
        self._until = {
            incarnation: until
            for incarnation, until in self._until.items()
            if now < until
        }
        return dict(self._until)
