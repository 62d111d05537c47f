"""Connections to upstreams, by incarnation: kept ones and those in use.

A kept connection saves the upstream a set-up, but it may have died without
a sign. What cannot be sent twice therefore takes only connections used a
moment ago. One that starts again at the same address is another incarnation,
and what was said on connections to the one before has no answer any more.
"""

from __future__ import annotations

import asyncio
import collections

from tallyhall_dispatch.desired import Upstream

from .client import ClientConnection
from .errors import LostError

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
        self._idle: dict[str, collections.deque[ClientConnection]] = {}
        self._busy: dict[str, set[ClientConnection]] = {}
        self._loop = asyncio.get_running_loop()

    async def take(self, upstream: Upstream, idle_s: float) -> ClientConnection:
        """Return a connection idle for at most `idle_s`, or a new one.

        Raises NotSentError where no connection can be had.
        """
        incarnation = upstream.incarnation
        conn = self._kept(incarnation, idle_s)
        if conn is None:
            conn = await ClientConnection.open(
                upstream.host,
                upstream.port,
                self._connect_s,
                self._id_header,
            )
        self._busy.setdefault(incarnation, set()).add(conn)
        return conn

    def give_back(self, upstream: Upstream, conn: ClientConnection) -> None:
        """Keep a connection if it can carry another request."""
        incarnation = upstream.incarnation
        busy = self._busy.get(incarnation, set())
        busy.discard(conn)
        if not busy:
            self._busy.pop(incarnation, None)
        if not conn.reusable:
            conn.close()
            return
        conn.idle_since = self._loop.time()
        kept = self._idle.setdefault(incarnation, collections.deque())
        kept.append(conn)
        if len(kept) > _MOST_KEPT:
            kept.popleft().close()

    def drop(self, incarnation: str) -> None:
        """Close all kept connections to one that takes no new requests."""
        for conn in self._idle.pop(incarnation, ()):
            conn.close()

    def end(self, incarnation: str) -> None:
        """Break off what is asked of an incarnation that has ended."""
        self.drop(incarnation)
        for conn in tuple(self._busy.get(incarnation, ())):
            conn.fail(LostError('the upstream has started again'))

    def close_old(self) -> None:
        """Close what has been idle for too long to be used again."""
        for incarnation, kept in tuple(self._idle.items()):
            while kept and not self._is_usable(kept[0], _UNSTATED_KEEP_S):
                kept.popleft().close()
            if not kept:
                self._idle.pop(incarnation)

    def _kept(
        self,
        incarnation: str,
        idle_s: float,
    ) -> ClientConnection | None:
        kept = self._idle.get(incarnation)
        while kept:
            conn = kept.pop()
            if self._is_usable(conn, idle_s):
                return conn
            conn.close()
        return None

    def _is_usable(self, conn: ClientConnection, idle_s: float) -> bool:
        if not conn.reusable or not conn.is_open:
            return False
        keep_s = _UNSTATED_KEEP_S
        if conn.keep_s is not None:
            keep_s = conn.keep_s * _KEEP_PART
        return self._loop.time() - conn.idle_since < min(keep_s, idle_s)
