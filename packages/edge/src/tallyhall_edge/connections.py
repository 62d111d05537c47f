"""Kept connections to upstreams, by address.

A kept connection saves the upstream a set-up, but it may have died without
a sign. What cannot be sent twice therefore takes only connections used a
moment ago.
"""

from __future__ import annotations

import asyncio
import collections

from .client import ClientConnection

Address = tuple[str, int]

# An upstream that states no time keeps idle connections for seconds; half
# of the shortest time stated is never reached.
_UNSTATED_KEEP_S = 2.0
_KEEP_PART = 0.5
# Connections kept for one upstream.
_MOST_KEPT = 16


class ConnectionPool:
    """Opens, keeps and gives out connections."""

    def __init__(self, id_header: bytes, connect_s: float) -> None:
        """Wait at most `connect_s` for a new connection."""
        self._id_header = id_header
        self._connect_s = connect_s
        self._idle: dict[Address, collections.deque[ClientConnection]] = {}
        self._loop = asyncio.get_running_loop()

    async def take(self, address: Address, idle_s: float) -> ClientConnection:
        """Return a connection idle for at most `idle_s`, or a new one.

        Raises NotSentError where no connection can be had.
        """
        kept = self._idle.get(address)
        while kept:
            conn = kept.pop()
            if self._is_usable(conn, idle_s):
                return conn
            conn.close()
        return await ClientConnection.open(
            *address,
            self._connect_s,
            self._id_header,
        )

    def give_back(self, address: Address, conn: ClientConnection) -> None:
        """Keep a connection if it can carry another request."""
        if not conn.reusable:
            conn.close()
            return
        conn.idle_since = self._loop.time()
        kept = self._idle.setdefault(address, collections.deque())
        kept.append(conn)
        if len(kept) > _MOST_KEPT:
            kept.popleft().close()

    def drop(self, address: Address) -> None:
        """Close all kept connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close_old(self) -> None:
        """Close what has been idle for too long to be used again."""
        for address, kept in tuple(self._idle.items()):
            while kept and not self._is_usable(kept[0], _UNSTATED_KEEP_S):
                kept.popleft().close()
            if not kept:
                self._idle.pop(address)

    def _is_usable(self, conn: ClientConnection, idle_s: float) -> bool:
        if not conn.reusable or not conn.is_open:
            return False
        keep_s = _UNSTATED_KEEP_S
        if conn.keep_s is not None:
            keep_s = conn.keep_s * _KEEP_PART
        return self._loop.time() - conn.idle_since < min(keep_s, idle_s)
