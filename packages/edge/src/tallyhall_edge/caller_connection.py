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
import weakref
from collections.abc import Callable
from typing import Protocol

from .connection_memory import CallerMemory, MemoryMonitor
from .exchange import Exchange, RequestHandler
from .messages import RequestHead
from .request_body import RequestBody
from .request_reader import (
    TIMED_OUT,
    IncomingRequest,
    ReaderOwner,
    Rejection,
    RequestReader,
)

# Pipelined requests that may be queued before reading is paused.
_MAX_PIPELINED = 8
# Size of the write buffer at which reading from the upstream is paused.
_WRITE_HIGH_WATER_BYTES = 65_536
# Milliseconds without acknowledgement after which a peer counts as dead.
_USER_TIMEOUT_MS = 5000
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


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

    def add(self, conn: ServerConnection) -> bool:
        """Register a connection; return False if there are too many."""

    def discard(self, conn: ServerConnection) -> None:
        """Unregister a connection."""


class ServerConnection(asyncio.BufferedProtocol):
    """The protocol of one caller's connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Create the protocol of a connection to this server."""
        self.supports_chunked = True
        # What this connection holds, None without a memory budget.
        self.memory: CallerMemory | None = None
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(weakref.proxy(self), server)
        self._pipelined: collections.deque[Exchange] = collections.deque()
        self._current: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._keep_alive = True
        # Whether the rest of an answered request is received, to be dropped.
        self._is_lingering = False

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
        self._transport = None
        self._reader.close()
        self._drop_pipelined()
        if self._current is not None:
            self._current.release_body()
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

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that is shared by all connections."""
        return self._server.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        is_closing = not self._keep_alive and self._current is None
        if is_closing and not self._is_lingering:
            return
        received = memoryview(self._server.receive_buffer)
        self._reader.feed(received[:nbytes])
        limit = _MAX_PIPELINED
        if self.memory is not None and not self.memory.may_pipeline:
            limit = 0
        if len(self._pipelined) > limit and self._transport is not None:
            self._transport.pause_reading()

    # -- called by the reader

    def on_request_begun(self, now: float) -> float:
        """Start the timeout of a head; return when it was received."""
        if self._current is None:
            self._start_read_timer(self._server.limits.header_timeout_s)
        return now if self.memory is None else self.memory.begin_message(now)

    def on_head_read(self) -> None:
        """Start the timeout of the body; handle `Expect: 100-continue`."""
        if self._current is None:
            self._start_read_timer(self._server.limits.body_timeout_s)
        self._send_continue()

    def on_wait_changed(self) -> None:
        """Do not read while a body waits for its memory."""
        if self._transport is None:
            return
        if self._reader.is_waiting:
            self._transport.pause_reading()
            return
        self._transport.resume_reading()
        self._send_continue()

    def on_request_read(self, req: IncomingRequest) -> None:
        """Queue a request."""
        self.supports_chunked = req.supports_chunked
        exchange = Exchange(self, req.head, req.body, req.received_at)
        exchange.keep_alive = req.keep_alive
        exchange.is_refused = req.is_refused
        self._pipelined.append(exchange)
        self._start_next()

    def on_rejected(self, rejection: Rejection) -> None:
        """Answer a request that could not be read, and close."""
        self._keep_alive = False
        if self._current is not None:
            return
        head = RequestHead(b'', b'', ())
        exchange = Exchange(self, head, RequestBody(), 0)
        exchange.keep_alive = False
        exchange.answer(rejection.status, rejection.reason, (), b'')

    def on_dropped(self) -> None:
        """Close, as the caller has sent the rest of an answered request."""
        if self._is_lingering:
            self._reader.close()
            self.close()

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
        if self.memory is not None:
            self.memory.end_message()
        self._current = None
        self._task = None
        if not keep:
            self._end()
            return
        if self._transport is not None and not self._reader.is_waiting:
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
        if self._current is None and not self._reader.is_reading:
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
        if self._current is not None:
            return True
        return self._reader.is_reading and not self._is_lingering

    # -- internals

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

    def _end(self) -> None:
        """Close, after an answered request has been received to its end.

        Closed before, the connection would be reset by what the caller still
        sends, and the caller could lose the answer.
        """
        self._keep_alive = False
        self._drop_pipelined()
        if not (self._reader.is_reading and self._reader.is_answered):
            self.close()
            return
        self._is_lingering = True
        self._start_timer(self._server.limits.body_timeout_s, self.close)
        if self._transport is not None:
            self._transport.resume_reading()

    def _drop_pipelined(self) -> None:
        for exchange in self._pipelined:
            exchange.release_body()
        self._pipelined.clear()

    def _send_continue(self) -> None:
        # An interim response written during an answer would become part of it.
        reader = self._reader
        if self._current is not None or reader.is_waiting:
            return
        if reader.expects_continue and not reader.is_answered:
            reader.expects_continue = False
            self.write(_CONTINUE)

    def _start_read_timer(self, delay_s: float) -> None:
        expire = functools.partial(self._reader.reject, TIMED_OUT)
        self._start_timer(delay_s, expire)

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
