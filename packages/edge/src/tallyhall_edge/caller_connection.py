"""Server side of a caller's connection: requests are handled in turn.

A connection handles one request at a time; pipelined requests are queued. The
handler of a request is a task that is cancelled as soon as its caller
disconnects, so that no upstream keeps working on an answer that nobody reads.
The connection therefore keeps reading while a request is handled; otherwise a
disconnect would not be detected.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import socket
from collections.abc import Callable
from typing import Protocol

import httptools
import msgspec

from .connection_memory import CallerMemory, MemoryMonitor
from .exchange import Exchange, RequestHandler
from .memory_budget import Holder, MemoryBudget
from .messages import RequestHead, find_header

# Pipelined requests that may be queued before reading is paused.
_MAX_PIPELINED = 8
# Size of the write buffer at which reading from the upstream is paused.
_WRITE_HIGH_WATER_BYTES = 65_536
# Milliseconds without acknowledgement after which a peer counts as dead.
_USER_TIMEOUT_MS = 5000
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# HTTP version without chunked encoding.
_OLD_VERSION = '1.0'
_BAD_REQUEST = (400, b'Bad Request')
_TIMED_OUT = (408, b'Request Timeout')
_TOO_LARGE = (413, b'Content Too Large')
_HEAD_TOO_LARGE = (431, b'Request Header Fields Too Large')


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of one connection, in bytes and seconds.

    body_timeout_s: maximum time from the head of a request to its last byte.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    body_timeout_s: float = 10
    idle_timeout_s: float = 15


class ConnectionOwner(Protocol):
    """The part of the server that a connection uses."""

    @property
    def limits(self) -> ServerLimits:
        """Return the limits of a connection."""

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
    def budget(self) -> MemoryBudget | None:
        """Return what counts the bodies of requests, if anything does."""

    def add(self, conn: ServerConnection) -> bool:
        """Register a connection; return False if there are too many."""

    def discard(self, conn: ServerConnection) -> None:
        """Unregister a connection."""


class ServerConnection(asyncio.Protocol):
    """The protocol of one caller's connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Create the protocol of a connection to this server."""
        self.supports_chunked = True
        # What this connection holds, None without a memory budget.
        self.memory: CallerMemory | None = None
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: collections.deque[Exchange] = collections.deque()
        self._current: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._keep_alive = True
        self._rejection: tuple[int, bytes] | None = None
        self._began_at: float = 0
        # Bytes of the bodies of requests that have not ended.
        self._held_bytes = 0
        self._reset_message()

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _set_user_timeout(sock)
        if not self._server.add(self):
            # Requests in progress need file descriptors for their upstreams.
            self.abort()
            return
        monitor = self._server.memory
        if monitor is not None:
            self.memory = CallerMemory(
                monitor,
                transport,
                self.abort,
                self._notify_writable,
            )
            self.apply_memory_step()
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and drop the queued ones."""
        self._stop_timer()
        self._server.discard(self)
        if self.memory is not None:
            self.memory.release()
        self._hold(-self._held_bytes)
        self._transport = None
        self._pipelined.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Pause the upstream, or buffer up to a limit if memory is budgeted."""
        if self.memory is None:
            self._notify_writable(False)
        else:
            self.memory.begin_unread(self._loop.time())

    def resume_writing(self) -> None:
        """Resume the upstream, as the caller reads again."""
        if self.memory is None:
            self._notify_writable(True)
        else:
            self.memory.end_unread()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._keep_alive and self._current is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(*_BAD_REQUEST)
        limit = _MAX_PIPELINED
        if self.memory is not None and not self.memory.may_pipeline:
            limit = 0
        if len(self._pipelined) > limit and self._transport is not None:
            self._transport.pause_reading()

    # -- parser

    def on_message_begin(self) -> None:
        """Start a request and the timeout of its head."""
        self._reset_message()
        self._began_at = self._loop.time()
        if self.memory is not None:
            self._began_at = self.memory.begin_message(self._began_at)
        if self._current is None:
            self._start_timer(
                self._server.limits.header_timeout_s,
                functools.partial(self._reject, *_TIMED_OUT),
            )

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may come in parts."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and check the size of the head."""
        self._headers.append((name, value))
        self._add_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Start the timeout of the body; handle `Expect: 100-continue`."""
        if self._current is None:
            self._start_timer(
                self._server.limits.body_timeout_s,
                functools.partial(self._reject, *_TIMED_OUT),
            )
        headers = tuple(self._headers)
        expectation = find_header(headers, b'expect')
        if expectation is not None and expectation.lower() == b'100-continue':
            self._continue_pending = True
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Append to the body and check its size."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._reject(*_TOO_LARGE)
            return
        self._body.append(body)
        self._hold(len(body))

    def on_message_complete(self) -> None:
        """Queue a completely received request."""
        if self._rejection is not None:
            return
        parser = self._parser
        self.supports_chunked = parser.get_http_version() != _OLD_VERSION
        head = RequestHead(
            parser.get_method(),
            self._target,
            tuple(self._headers),
        )
        exchange = Exchange(self, head, b''.join(self._body), self._began_at)
        exchange.keep_alive = parser.should_keep_alive()
        self._reset_message()
        self._pipelined.append(exchange)
        self._start_next()

    # -- used by exchanges

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        transport = self._transport
        if transport is None:
            return
        memory = self.memory
        # Read before the write: if the write itself calls `pause_writing`, the
        # payload is counted there.
        is_counted = memory is not None and memory.progress is not None
        transport.write(payload)
        if memory is not None and is_counted:
            memory.record_write(len(payload))

    def on_error(self, exc: Exception) -> None:
        """Report an unexpected exception."""
        self._server.on_error(exc)

    def can_keep_alive(self) -> bool:
        """Return whether the connection may be kept for another request."""
        return self._keep_alive and not self._server.stopping

    def finished(self, *, keep: bool) -> None:
        """Handle the next request, or close the connection."""
        if self._current is not None:
            self._hold(-len(self._current.body))
        if self.memory is not None:
            self.memory.end_message()
        self._current = None
        self._task = None
        if not keep:
            self._keep_alive = False
            self._pipelined.clear()
            self.close()
            return
        if self._transport is not None:
            self._transport.resume_reading()
        if self._pipelined:
            self._start_next()
            return
        self._send_continue()
        self._start_idle_timer()
        self.apply_memory_step()

    def apply_memory_step(self) -> None:
        """Pause or resume reading if idle, by the current memory step."""
        memory = self.memory
        if memory is None or self._transport is None:
            return
        if self._current is None and not self._began_at:
            memory.apply_step()

    def abort(self) -> None:
        """Reset the connection."""
        self._keep_alive = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after the write buffer has been sent."""
        self._keep_alive = False
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, handled or answered.

        Bytes in the write buffer count as well: they would be lost if the
        process ended before the kernel took them.
        """
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            return True
        return self._current is not None or bool(self._began_at)

    # -- internals

    def _hold(self, size: int) -> None:
        """Count bytes of request bodies; negative if they are released."""
        self._held_bytes += size
        if size and self._server.budget is not None:
            self._server.budget.add(Holder.request_bodies, size)

    def _start_next(self) -> None:
        if self._current is not None or not self._pipelined:
            return
        self._stop_timer()
        self._current = self._pipelined.popleft()
        self._task = self._loop.create_task(self._run(self._current))

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._server.handle_request(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as exc:  # noqa: BLE001
            self.on_error(exc)
            if not exchange.ended:
                exchange.abort()
        finally:
            exchange.release_body()
            if self._current is exchange:
                self._current = None
                self._task = None
        if not exchange.ended:
            exchange.abort()

    def _reset_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._began_at = 0
        self._continue_pending = False

    def _send_continue(self) -> None:
        # An interim response written during an answer would become part of it.
        if self._continue_pending and self._current is None:
            self._continue_pending = False
            self.write(_CONTINUE)

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(*_HEAD_TOO_LARGE)

    def _reject(self, status: int, reason: bytes) -> None:
        """Answer a request that could not be read, and close."""
        if self._rejection is not None:
            return
        self._rejection = (status, reason)
        self._keep_alive = False
        if self._current is not None:
            return
        exchange = Exchange(self, RequestHead(b'', b'', ()), b'', 0)
        exchange.keep_alive = False
        exchange.answer(status, reason, (), b'')

    def _start_idle_timer(self) -> None:
        # A stopping server still handles requests that callers have sent or are
        # sending on open connections; `Connection: close` in the answer then
        # tells them to reconnect elsewhere.
        self._start_timer(self._server.limits.idle_timeout_s, self.close)

    def _start_timer(self, delay: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _notify_writable(self, writable: bool) -> None:  # noqa: FBT001
        current = self._current
        if current is not None and current.on_writable is not None:
            current.on_writable(writable)


def _set_user_timeout(sock: socket.socket) -> None:
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
