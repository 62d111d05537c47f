"""The part of a server that its connections use."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from .connection_memory import MemoryMonitor
from .connection_watch import CloseReason, ConnectionWatch
from .exchange import RequestHandler
from .idle_connections import IdleConnections
from .incoming import ReaderOwner
from .turns import Turns

if TYPE_CHECKING:
    from .caller_connection import ServerConnection


class ConnectionOwner(ReaderOwner, Protocol):
    """The part of the server that a connection and its reader use."""

    @property
    def stopping(self) -> bool:
        """Return whether connections close after their current request."""

    @property
    def handle_request(self) -> RequestHandler:
        """Return the handler of requests."""

    @property
    def on_error(self) -> Callable[[Exception], None]:
        """Return the handler of unexpected exceptions."""

    @property
    def memory(self) -> MemoryMonitor | None:
        """Return what counts the memory of connections, if anything does."""

    @property
    def receive_buffer(self) -> bytearray:
        """Return a buffer that holds received bytes until they are parsed."""

    @property
    def watch(self) -> ConnectionWatch:
        """Return what watches callers that read or send badly."""

    @property
    def idle(self) -> IdleConnections:
        """Return the connections without a request."""

    @property
    def turns(self) -> Turns:
        """Return the queue of connections with pipelined requests."""

    def add(self, conn: ServerConnection) -> bool:
        """Register a connection; return False if there are too many."""

    def discard(self, conn: ServerConnection) -> None:
        """Unregister a connection."""

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that is closed for this reason."""
