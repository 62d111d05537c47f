"""An HTTP exchange: one request of a caller and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from .connection_memory import CallerMemory
from .errors import ExchangeEndedError
from .messages import (
    LAST_CHUNK,
    Headers,
    RequestHead,
    encode_chunk,
    encode_head,
)
from .request_body import RequestBody
from .request_memory import RequestReservation


class ExchangeConnection(Protocol):
    """The part of a connection that an exchange uses."""

    supports_chunked: bool

    @property
    def memory(self) -> CallerMemory | None:
        """Return what counts the connection, if anything does."""

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""

    def can_keep_alive(self) -> bool:
        """Return whether the connection may be kept for another request."""

    def finished(self, *, keep: bool) -> None:
        """Handle the next request, or close the connection."""

    def abort(self) -> None:
        """Reset the connection."""

    def on_error(self, exc: Exception) -> None:
        """Report an unexpected exception."""


class Exchange:
    """One request and the operations that write its response.

    Once an exchange has ended, its connection may carry the next request.
    Operations that are called after that have no effect and are reported to the
    server's `on_error`.
    """

    def __init__(
        self,
        conn: ExchangeConnection,
        head: RequestHead,
        body: RequestBody,
        reservation: RequestReservation,
        received_at: float,
    ) -> None:
        """Create the exchange of a request.

        reservation: what the request holds beside its body. received_at: when
        the first byte of the request was received.
        """
        self.head = head
        self.request_body = body
        self.received_at = received_at
        # Whether there was no memory for its body, which is empty here.
        self.is_refused = False
        # When the head of the response was written, None before.
        self.started_at: float | None = None
        self.ended = False
        self.keep_alive = True
        self.on_writable: Callable[[bool], None] | None = None
        self._conn = conn
        self._reservation = reservation
        self._chunked = False

    @property
    def body(self) -> bytes:
        """Return a copy of the body of the request."""
        return b''.join(self.request_body.blocks)

    @property
    def memory(self) -> CallerMemory | None:
        """Return what counts the memory of the caller's connection."""
        return self._conn.memory

    @property
    def started(self) -> bool:
        """Return whether a part of the response was written."""
        return self.started_at is not None

    def start(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Send the head; a length of None means an unknown length."""
        if self._report_if_ended('start'):
            return
        self.started_at = asyncio.get_running_loop().time()
        framing: list[tuple[bytes, bytes]] = []
        if length is None and self._conn.supports_chunked:
            self._chunked = True
            framing.append((b'Transfer-Encoding', b'chunked'))
        elif length is None:
            self.keep_alive = False
        else:
            framing.append((b'Content-Length', b'%d' % length))
        if not (self.keep_alive and self._conn.can_keep_alive()):
            self.keep_alive = False
            framing.append((b'Connection', b'close'))
        line = b'HTTP/1.1 %d %b' % (status, reason)
        self._conn.write(encode_head(line, (*headers, *framing)))

    def write(self, payload: bytes) -> None:
        """Send a part of the body."""
        if self._report_if_ended('write'):
            return
        if payload:
            self._conn.write(
                encode_chunk(payload) if self._chunked else payload
            )

    def finish(self) -> None:
        """Complete the response."""
        if self._report_if_ended('finish'):
            return
        if self._chunked:
            self._conn.write(LAST_CHUNK)
        self.ended = True
        self._conn.finished(keep=self.keep_alive)
        self.release()

    def answer(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a complete response."""
        if self._report_if_ended('answer'):
            return
        self.start(status, reason, headers, len(body))
        self.write(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that the response is seen as incomplete."""
        if self._report_if_ended('abort'):
            return
        self.ended = True
        self._conn.abort()
        self.release()

    def release(self) -> None:
        """Release the memory of the request, which is not sent any more."""
        self.request_body.release()
        self._reservation.release()

    def _report_if_ended(self, operation: str) -> bool:
        if self.ended:
            self._conn.on_error(
                ExchangeEndedError(f'{operation} called after the end'),
            )
        return self.ended


RequestHandler = Callable[[Exchange], Awaitable[None]]
