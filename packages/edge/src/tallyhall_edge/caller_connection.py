"""One caller's connection: requests are read and answered in turn.

A connection carries one request at a time; requests that a caller sends
ahead wait in the connection. The handler of a request is a task that is
cancelled as soon as its caller leaves, so that no upstream goes on working
for nobody. Reading therefore never stops while a request is being handled:
the end of the connection would not be seen.
"""

from __future__ import annotations

import asyncio
import collections
import socket
from collections.abc import Callable
from typing import Protocol

import httptools
import msgspec

from .exchange import Exchange, Respond
from .messages import RequestHead, find

# Requests that a caller may send ahead before it is no longer read from.
_MOST_AHEAD = 8
# Bytes of unsent answer in the process at which an upstream is paused.
_WRITE_HIGH_BYTES = 65_536
# A peer that acknowledges nothing for this long is gone, in milliseconds.
_USER_TIMEOUT_MS = 5000
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_OLD_HTTP = '1.0'
_BAD_REQUEST = (400, b'Bad Request')
_TIMED_OUT = (408, b'Request Timeout')
_TOO_LARGE = (413, b'Content Too Large')
_HEAD_TOO_LARGE = (431, b'Request Header Fields Too Large')


class ServerLimits(msgspec.Struct, frozen=True):
    """Bounds on one connection, in bytes and seconds.

    body_s: longest time between the head of a request and its last byte.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    body_s: float = 10
    idle_s: float = 15


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    @property
    def limits(self) -> ServerLimits:
        """Return the bounds in force."""

    @property
    def stopping(self) -> bool:
        """Return whether connections end after the request they carry."""

    @property
    def respond(self) -> Respond:
        """Return what answers a request."""

    @property
    def failed(self) -> Callable[[Exception], None]:
        """Return what takes exceptions that must not happen."""

    def add(self, conn: ServerConnection) -> bool:
        """Know a new connection; return whether there is room for it."""

    def discard(self, conn: ServerConnection) -> None:
        """Forget a connection."""


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Belong to a server."""
        self.speaks_chunks = True
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ahead: collections.deque[Exchange] = collections.deque()
        self._current: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._keeps = True
        self._refused: tuple[int, bytes] | None = None
        self._began_at: float = 0
        self._reset_message()

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_BYTES)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _limit_silence(sock)
        if not self._server.add(self):
            # Requests in hand need descriptors of their own, for upstreams.
            self.abort()
            return
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End whatever was done for this caller."""
        self._stop_timer()
        self._server.discard(self)
        self._transport = None
        self._ahead.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take that the caller closed its side: it has left."""
        return False

    def pause_writing(self) -> None:
        """Hold the upstream back while the caller does not read."""
        self._tell_writable(writable=False)

    def resume_writing(self) -> None:
        """Let the upstream go on."""
        self._tell_writable(writable=True)

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if not self._keeps and self._current is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(*_BAD_REQUEST)
        if len(self._ahead) > _MOST_AHEAD and self._transport is not None:
            self._transport.pause_reading()

    # -- parser

    def on_message_begin(self) -> None:
        """Start the time that a caller has for its head."""
        self._reset_message()
        self._began_at = self._loop.time()
        if self._current is None:
            self._arm(self._server.limits.header_s, self._too_slow)

    def on_url(self, url: bytes) -> None:
        """Add to the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Give the caller time for the body."""
        if self._current is None:
            self._arm(self._server.limits.body_s, self._too_slow)
        headers = tuple(self._headers)
        expects = find(headers, b'expect')
        if expects is not None and expects.lower() == b'100-continue':
            self._owes_continue = True
            self._tell_to_continue()

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(*_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take the whole request."""
        if self._refused is not None:
            return
        parser = self._parser
        self.speaks_chunks = parser.get_http_version() != _OLD_HTTP
        head = RequestHead(
            parser.get_method(),
            self._target,
            tuple(self._headers),
        )
        exchange = Exchange(self, head, b''.join(self._body), self._began_at)
        exchange.keep_alive = parser.should_keep_alive()
        self._reset_message()
        self._ahead.append(exchange)
        self._next()

    # -- for exchanges

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has left."""
        if self._transport is not None:
            self._transport.write(payload)

    def failed(self, exc: Exception) -> None:
        """Tell of what must not happen."""
        self._server.failed(exc)

    def may_keep(self) -> bool:
        """Return whether the connection may carry another request."""
        return self._keeps and not self._server.stopping

    def finished(self, *, keep: bool) -> None:
        """Go on with the next request, or close."""
        self._current = None
        self._task = None
        if not keep:
            self._keeps = False
            self._ahead.clear()
            self.close()
            return
        if self._transport is not None:
            self._transport.resume_reading()
        if self._ahead:
            self._next()
            return
        self._tell_to_continue()
        self._wait_idle()

    def abort(self) -> None:
        """Reset the connection."""
        self._keeps = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after what was written has been sent."""
        self._keeps = False
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, handled or answered.

        What was written is lost with the process until the kernel has it.
        """
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            return True
        return self._current is not None or bool(self._began_at)

    # -- inner steps

    def _next(self) -> None:
        if self._current is not None or not self._ahead:
            return
        self._stop_timer()
        self._current = self._ahead.popleft()
        self._task = self._loop.create_task(self._run(self._current))

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._server.respond(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as exc:  # noqa: BLE001
            self.failed(exc)
            if not exchange.ended:
                exchange.abort()
        if not exchange.ended:
            exchange.abort()

    def _reset_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._began_at = 0
        self._owes_continue = False

    def _tell_to_continue(self) -> None:
        # Behind the answer under way; in it, it would be a part of it.
        if self._owes_continue and self._current is None:
            self._owes_continue = False
            self.write(_CONTINUE)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes:
            self._refuse(*_HEAD_TOO_LARGE)

    def _refuse(self, status: int, reason: bytes) -> None:
        """Answer a request that was not read whole, and close."""
        if self._refused is not None:
            return
        self._refused = (status, reason)
        self._keeps = False
        if self._current is not None:
            return
        exchange = Exchange(self, RequestHead(b'', b'', ()), b'', 0)
        exchange.keep_alive = False
        exchange.answer(status, reason, (), b'')

    def _too_slow(self) -> None:
        self._refuse(*_TIMED_OUT)

    def _wait_idle(self) -> None:
        # A stopping server still takes what callers have sent or are sending
        # on open connections; the answer then tells them to leave.
        self._arm(self._server.limits.idle_s, self.close)

    def _arm(self, delay: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tell_writable(self, *, writable: bool) -> None:
        current = self._current
        if current is not None and current.on_writable is not None:
            current.on_writable(writable)


def _limit_silence(sock: socket.socket) -> None:
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
