"""HTTP/1.1 towards callers: an address and the connections to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .caller_connection import ServerConnection, ServerLimits
from .exchange import Respond

# Listen queue; a full one costs a caller seconds, as its opening packet is
# dropped and sent again.
_BACKLOG = 1024
# Connections of callers at once, where no other bound is given.
_MOST_CONNECTIONS = 1000


class HttpServer:
    """Accepts connections on one address."""

    def __init__(
        self,
        respond: Respond,
        failed: Callable[[Exception], None],
        limits: ServerLimits,
        most_connections: int = _MOST_CONNECTIONS,
    ) -> None:
        """Call `respond` for each request, `failed` for what it raises."""
        self.most_connections = most_connections
        self.turned_away = 0
        self.respond = respond
        self.failed = failed
        self.limits = limits
        self.stopping = False
        self._conns: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the address; raise OSError where it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._conns)

    @property
    def busy(self) -> int:
        """Return how many connections have a request in hand."""
        return sum(conn.busy for conn in self._conns)

    def stop_keeping(self) -> None:
        """End each connection after the request that it carries."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for conn in tuple(self._conns):
            if not conn.busy:
                conn.close()

    def abort_all(self) -> None:
        """Reset all connections."""
        for conn in tuple(self._conns):
            conn.abort()

    def close(self) -> None:
        """Stop to accept."""
        if self._server is not None:
            self._server.close()

    def add(self, conn: ServerConnection) -> bool:
        """Know a new connection; return whether there is room for it."""
        if len(self._conns) >= self.most_connections:
            self.turned_away += 1
            return False
        self._conns.add(conn)
        return True

    def discard(self, conn: ServerConnection) -> None:
        """Forget a connection."""
        self._conns.discard(conn)
