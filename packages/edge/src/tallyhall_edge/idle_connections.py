"""Which connection makes room for a new one where there are too many."""

from __future__ import annotations

from typing import Protocol


class EvictableConnection(Protocol):
    """A connection that can be closed while it has no request."""

    def evict(self) -> None:
        """Close, as another connection needs the room."""


class IdleConnections:
    """The connections without a request, in the order in which they idle.

    Those that never sent a request go before all others: a caller that keeps
    its connection may be about to use it.
    """

    def __init__(self) -> None:
        """Start without connections."""
        # Both are ordered sets.
        self._unused: dict[EvictableConnection, None] = {}
        self._kept: dict[EvictableConnection, None] = {}

    def add_new(self, conn: EvictableConnection) -> None:
        """Add a connection that has not sent anything."""
        self._unused[conn] = None

    def add_kept(self, conn: EvictableConnection) -> None:
        """Add a connection that is kept for another request."""
        self._kept[conn] = None

    def remove(self, conn: EvictableConnection) -> None:
        """Remove a connection that sends a request or is closed."""
        self._unused.pop(conn, None)
        self._kept.pop(conn, None)

    def evict_longest(self) -> bool:
        """Evict the connection to go first; return whether there was one."""
        candidates = self._unused or self._kept
        if not candidates:
            return False
        conn = next(iter(candidates))
        self.remove(conn)
        conn.evict()
        return True
