"""HTTP/1.1 server for callers: a listening socket and its connections."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

from .body_memory import BodyMemory
from .caller_connection import ServerConnection
from .connection_memory import MemoryMonitor
from .connection_watch import CloseReason, ConnectionWatch
from .exchange import RequestHandler
from .idle_connections import IdleConnections
from .listening import listen
from .memory_budget import MemoryBudget, budget_bytes
from .messages import RequestHead
from .read_ahead import MAX_READ_BYTES
from .server_limits import ServerLimits
from .turns import Turns

# Default maximum of simultaneous connections.
_MAX_CONNECTIONS = 1000


class HttpServer:
    """Accepts connections on one address."""

    def __init__(
        self,
        handle_request: RequestHandler,
        on_error: Callable[[Exception], None],
        limits: ServerLimits,
        max_connections: int = _MAX_CONNECTIONS,
        memory: MemoryMonitor | None = None,
        bodies: BodyMemory | None = None,
    ) -> None:
        """Pass requests to `handle_request`, its exceptions to `on_error`.

        memory: counts what the connections of slow peers hold; None for no
        limit. bodies: the memory for the bodies of requests, None for some of
        its own.
        """
        self.memory = memory
        self.bodies = bodies or BodyMemory(MemoryBudget(budget_bytes(0, None)))
        self.receive_buffer = bytearray(MAX_READ_BYTES)
        self.workspace_of: Callable[[RequestHead], str] = _unknown_workspace
        self.max_connections = max_connections
        # Connections that were closed before their callers wanted it.
        self.closed: collections.Counter[CloseReason] = collections.Counter()
        self.watch = ConnectionWatch(self.bodies.budget)
        self.idle = IdleConnections()
        self.turns = Turns()
        self.handle_request = handle_request
        self.on_error = on_error
        self.limits = limits
        self.stopping = False
        self._conns: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if it is in use."""
        self._server = await listen(lambda: ServerConnection(self), host, port)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._conns)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that handle a request."""
        return sum(conn.busy for conn in self._conns)

    def disable_keep_alive(self) -> None:
        """Close each connection after its current request."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for conn in tuple(self._conns):
            if not conn.busy:
                conn.close()

    def apply_memory_step(self) -> None:
        """Read or do not read idle connections, by the memory in use."""
        for conn in tuple(self._conns):
            conn.apply_memory_step()

    def abort_all(self) -> None:
        """Reset all connections."""
        for conn in tuple(self._conns):
            conn.abort()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def add(self, conn: ServerConnection) -> bool:
        """Register a connection; return False if there are too many."""
        is_full = len(self._conns) >= self.max_connections
        if is_full and not self.idle.evict_longest():
            self.count_closed(CloseReason.turned_away)
            return False
        self._conns.add(conn)
        self.idle.add_new(conn)
        return True

    def discard(self, conn: ServerConnection) -> None:
        """Unregister a connection."""
        self._conns.discard(conn)
        self.idle.remove(conn)

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that is closed for this reason."""
        self.closed[reason] += 1

    def poll(self, now: float) -> None:
        """Close callers that read too little or send too much."""
        self.watch.poll(now, self.limits.unread_timeout_s)


def _unknown_workspace(head: RequestHead) -> str:
    return ''
