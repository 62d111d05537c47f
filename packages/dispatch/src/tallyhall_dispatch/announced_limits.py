"""Rate limits that upstreams announce in their responses.

A limit is the number of requests per second from all instances together. The
latest announcement of an upstream applies, no matter which instance received
it. A response without a limit withdraws the previous limit, but only if its
request was sent after that limit was received. Responses to earlier requests
may have been sent before the limit was announced.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

# Maximum number of upstreams whose announcements are kept; see
# `LeavingUpstreams`.
_MAX_KEPT = 2000


class AnnouncedLimit(msgspec.Struct, frozen=True):
    """The latest announcement of an upstream.

    per_s: requests per second that it accepts from all instances together, None
    if the limit was withdrawn. heard_at: time of receipt on the local clock.
    """

    per_s: float | None
    heard_at: float


class AnnouncedLimits:
    """The latest announcements of all upstreams, by incarnation."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._announced: dict[str, AnnouncedLimit] = {}
        self._current: dict[str, float] = {}

    @property
    def current(self) -> Mapping[str, float]:
        """Return the limits in force."""
        return self._current

    def get(self, incarnation: str) -> AnnouncedLimit | None:
        """Return the latest announcement, None if there never was one."""
        return self._announced.get(incarnation)

    def all(self) -> Iterator[tuple[str, AnnouncedLimit]]:
        """Yield the latest announcements, including withdrawn limits."""
        yield from self._announced.items()

    def update(self, incarnation: str, announcement: AnnouncedLimit) -> bool:
        """Store an announcement; return whether the limit changed."""
        known = self._announced.get(incarnation)
        if known is not None and announcement.heard_at < known.heard_at:
            return False
        if known is None and announcement.per_s is None:
            return False
        # Reinserted at the end, so that the dict stays in order of receipt.
        self._announced.pop(incarnation, None)
        self._announced[incarnation] = announcement
        self._forget_oldest()
        if announcement.per_s is None:
            return self._current.pop(incarnation, None) is not None
        has_changed = self._current.get(incarnation) != announcement.per_s
        self._current[incarnation] = announcement.per_s
        return has_changed

    def is_superseded(
        self, incarnation: str, announcement: AnnouncedLimit
    ) -> bool:
        """Return whether a different limit was received later."""
        known = self._announced.get(incarnation)
        if known is None or known.heard_at <= announcement.heard_at:
            return False
        return known.per_s != announcement.per_s

    def is_withdrawn(self, incarnation: str, asked_at: float) -> bool:
        """Return whether a response without a limit withdraws the limit.

        asked_at: when the request of that response was sent.
        """
        if incarnation not in self._current:
            return False
        return asked_at > self._announced[incarnation].heard_at

    def _forget_oldest(self) -> None:
        if len(self._announced) > _MAX_KEPT:
            oldest = next(iter(self._announced))
            self._announced.pop(oldest)
            self._current.pop(oldest, None)
