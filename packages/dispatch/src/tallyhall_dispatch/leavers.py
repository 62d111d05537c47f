"""Upstreams that said themselves that they leave.

Their entries in the store may say so much later, or never where the store is
away. What was said holds for the rest of an upstream's life: a start has an
incarnation of its own.
"""

from __future__ import annotations

import msgspec

from .desired import Upstream

# Those that are remembered; a fleet of some hundred upstreams replaces each
# a few times before the first is forgotten.
_MOST_KEPT = 2000


class Leavers:
    """The incarnations that said so, newest last."""

    def __init__(self) -> None:
        """Start with none."""
        self._said: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        """Return whether an upstream said that it leaves."""
        return incarnation in self._said

    def add(self, incarnation: str) -> bool:
        """Take that one said so; return whether it is news."""
        if incarnation in self._said:
            return False
        self._said[incarnation] = None
        if len(self._said) > _MOST_KEPT:
            self._said.pop(next(iter(self._said)))
        return True

    def marked(self, upstream: Upstream) -> Upstream:
        """Return an upstream as it is, with what it said."""
        if upstream.leaving or upstream.incarnation not in self._said:
            return upstream
        return msgspec.structs.replace(upstream, leaving=True)
