"""Connection pool for upstreams, by incarnation.

A kept connection saves connection setup, but it may have died unnoticed.
Requests that must not be sent twice therefore use only connections that were
in use a moment ago. An upstream that restarts at the same address is another
incarnation; requests sent on connections to the previous one are never
answered.
"""

from __future__ import annotations

import asyncio
import collections
import functools
from collections.abc import Callable
from typing import Protocol

from tallyhall_dispatch.desired import Upstream

from .client import ClientConnection
from .errors import ConnectionLostError
from .unread_sends import IGNORED, SendPath, SilenceListener, UnreadSends

# Upstreams that state no timeout keep idle connections for several seconds.
# Connections are used for only half of a stated timeout, so that the upstream
# does not close them first.
_DEFAULT_KEEP_S = 2.0
_KEEP_FRACTION = 0.5
# Maximum idle connections per upstream.
_MAX_IDLE_CONNECTIONS = 16


class Connector(Protocol):
    """Opens connections and learns from them which links work."""

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance reaches no upstream itself."""

    async def connect(self, upstream: Upstream) -> ClientConnection:
        """Return a new connection; raise NotSentError."""

    def may_reuse(self, conn: ClientConnection) -> bool:
        """Return whether an idle connection may carry another request."""

    def record_released(
        self, upstream: Upstream, conn: ClientConnection
    ) -> None:
        """Record how a connection fared when its request has ended."""

    def record_silence(
        self, upstream: Upstream, conn: ClientConnection, asked_at: float
    ) -> None:
        """Record that a request that was sent at `asked_at` has no answer."""


class ConnectionPool:
    """Keeps and reuses connections to upstreams."""

    def __init__(
        self, connector: Connector, listener: SilenceListener = IGNORED
    ) -> None:
        """Create an empty pool of connections that the connector opens."""
        self.connector = connector
        self.unread = UnreadSends(listener)
        self._idle: dict[str, collections.deque[ClientConnection]] = {}
        self._busy: dict[str, set[ClientConnection]] = {}
        self._loop = asyncio.get_running_loop()

    async def acquire(
        self, upstream: Upstream, max_idle_s: float
    ) -> ClientConnection:
        """Return a connection idle for at most `max_idle_s`, or a new one.

        Raises NotSentError if no connection can be opened.
        """
        incarnation = upstream.incarnation
        conn = self._pop_idle(incarnation, max_idle_s)
        if conn is None:
            conn = await self.connector.connect(upstream)
            path = SendPath(incarnation, conn.via)
            conn.on_heard = functools.partial(self.unread.record_data, path)
        self._busy.setdefault(incarnation, set()).add(conn)
        return conn

    def release(self, upstream: Upstream, conn: ClientConnection) -> None:
        """Keep a connection if it is reusable, else close it."""
        incarnation = upstream.incarnation
        self.connector.record_released(upstream, conn)
        busy = self._busy.get(incarnation, set())
        busy.discard(conn)
        if not busy:
            self._busy.pop(incarnation, None)
        if not conn.reusable:
            conn.close()
            return
        # A response may end right when its caller did not read. Left paused,
        # the connection would not read the next response or notice its end.
        conn.resume()
        conn.idle_since = self._loop.time()
        kept = self._idle.setdefault(incarnation, collections.deque())
        kept.append(conn)
        if len(kept) > _MAX_IDLE_CONNECTIONS:
            kept.popleft().close()

    def close_idle(self, incarnation: str) -> None:
        """Close the idle connections to one that takes no new requests."""
        for conn in self._idle.pop(incarnation, ()):
            conn.close()

    def close_idle_where(
        self, is_stale: Callable[[ClientConnection], bool]
    ) -> None:
        """Close the idle connections that must not be used any more."""
        for kept in self._idle.values():
            for conn in tuple(kept):
                if is_stale(conn):
                    kept.remove(conn)
                    conn.close()

    def fail_all(self, incarnation: str) -> None:
        """Fail the requests in flight to an incarnation that has ended."""
        self.close_idle(incarnation)
        self.unread.forget(incarnation)
        for conn in tuple(self._busy.get(incarnation, ())):
            conn.fail(ConnectionLostError('the upstream has restarted'))

    def close_expired(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        for incarnation, kept in tuple(self._idle.items()):
            while kept and not self._is_usable(kept[0], _DEFAULT_KEEP_S):
                kept.popleft().close()
            if not kept:
                self._idle.pop(incarnation)

    def _pop_idle(
        self,
        incarnation: str,
        max_idle_s: float,
    ) -> ClientConnection | None:
        kept = self._idle.get(incarnation)
        while kept:
            conn = kept.pop()
            if self._is_usable(conn, max_idle_s):
                return conn
            conn.close()
        return None

    def _is_usable(self, conn: ClientConnection, max_idle_s: float) -> bool:
        if not conn.reusable or not conn.is_open:
            return False
        if not self.connector.may_reuse(conn):
            return False
        keep_s = _DEFAULT_KEEP_S
        if conn.keep_alive_s is not None:
            keep_s = conn.keep_alive_s * _KEEP_FRACTION
        return self._loop.time() - conn.idle_since < min(keep_s, max_idle_s)
