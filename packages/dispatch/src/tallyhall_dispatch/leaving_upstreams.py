"""Upstreams that announced in a response that they are shutting down.

Their entries in the store may be marked much later, or not at all while the
store is unreachable. An announcement is final for an incarnation, since each
start of an upstream has an incarnation of its own.
"""

from __future__ import annotations

import msgspec

from .desired import Upstream

# Maximum number of incarnations kept: enough for several hundred upstreams to
# be replaced a few times each before the oldest is dropped.
_MAX_KEPT = 2000


class LeavingUpstreams:
    """The incarnations that announced their shutdown, newest last."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._announced: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        """Return whether an upstream announced its shutdown."""
        return incarnation in self._announced

    def add(self, incarnation: str) -> bool:
        """Record an announcement; return whether it is new."""
        if incarnation in self._announced:
            return False
        self._announced[incarnation] = None
        if len(self._announced) > _MAX_KEPT:
            self._announced.pop(next(iter(self._announced)))
        return True

    def mark_leaving(self, upstream: Upstream) -> Upstream:
        """Return the upstream, set to leaving if it announced its shutdown."""
        if upstream.leaving or upstream.incarnation not in self._announced:
            return upstream
        return msgspec.structs.replace(upstream, leaving=True)
