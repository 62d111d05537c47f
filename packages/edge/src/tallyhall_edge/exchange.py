"""One request of a caller, and the way to answer it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from .errors import EndedError
from .messages import LAST_CHUNK, Headers, RequestHead, chunk, head_bytes


class AnswerConnection(Protocol):
    """What an exchange needs of its connection."""

    speaks_chunks: bool

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has left."""

    def may_keep(self) -> bool:
        """Return whether the connection may carry another request."""

    def finished(self, *, keep: bool) -> None:
        """Go on with the next request, or close."""

    def abort(self) -> None:
        """Reset the connection."""

    def failed(self, exc: Exception) -> None:
        """Tell of what must not happen."""


class Exchange:
    """One request and the way to answer it.

    Once it has ended, its connection may carry the next request. Whatever is
    asked of it then is not done, only told to the server's `failed`.
    """

    def __init__(
        self,
        conn: AnswerConnection,
        head: RequestHead,
        body: bytes,
        received_at: float,
    ) -> None:
        """Belong to a connection; `received_at` is the first byte's time."""
        self.head = head
        self.body = body
        self.received_at = received_at
        # When the first byte was written, None before.
        self.started_at: float | None = None
        self.ended = False
        self.keep_alive = True
        self.on_writable: Callable[[bool], None] | None = None
        self._conn = conn
        self._chunked = False

    @property
    def started(self) -> bool:
        """Return whether a part of the answer was written."""
        return self.started_at is not None

    def start(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Send the head; a length of None means that it is not known."""
        if self._is_over('start'):
            return
        self.started_at = asyncio.get_running_loop().time()
        framing: list[tuple[bytes, bytes]] = []
        if length is None and self._conn.speaks_chunks:
            self._chunked = True
            framing.append((b'Transfer-Encoding', b'chunked'))
        elif length is None:
            self.keep_alive = False
        else:
            framing.append((b'Content-Length', b'%d' % length))
        if not (self.keep_alive and self._conn.may_keep()):
            self.keep_alive = False
            framing.append((b'Connection', b'close'))
        line = b'HTTP/1.1 %d %b' % (status, reason)
        self._conn.write(head_bytes(line, (*headers, *framing)))

    def write(self, payload: bytes) -> None:
        """Send a part of the body."""
        if self._is_over('write'):
            return
        if payload:
            self._conn.write(chunk(payload) if self._chunked else payload)

    def finish(self) -> None:
        """End the answer as complete."""
        if self._is_over('finish'):
            return
        if self._chunked:
            self._conn.write(LAST_CHUNK)
        self.ended = True
        self._conn.finished(keep=self.keep_alive)

    def answer(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        if self._is_over('answer'):
            return
        self.start(status, reason, headers, len(body))
        self.write(body)
        self.finish()

    def abort(self) -> None:
        """Break the connection off, so that the answer looks incomplete."""
        if self._is_over('abort'):
            return
        self.ended = True
        self._conn.abort()

    def _is_over(self, asked: str) -> bool:
        if self.ended:
            self._conn.failed(EndedError(f'{asked} after the end'))
        return self.ended


Respond = Callable[[Exchange], Awaitable[None]]
