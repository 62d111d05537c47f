"""Server side of a caller's connection: requests are handled in turn.

A connection handles one request at a time; a few pipelined requests are queued,
and the next one is begun once the answers before it were taken by the kernel.
The handler of a request is a task that is cancelled as soon as its caller
disconnects, so that no upstream keeps working on an answer that nobody reads.
The connection therefore keeps reading while a request is handled; otherwise a
disconnect would not be detected.
"""

from __future__ import annotations

import asyncio
import functools
import weakref

from .caller_link import CallerLink
from .connection_memory import CallerMemory
from .connection_owner import ConnectionOwner
from .connection_timeouts import ConnectionTimeouts
from .connection_watch import CloseReason
from .exchange import Exchange
from .incoming import IncomingRequest
from .messages import RequestHead
from .pipelined import PipelinedRequests
from .request_body import RequestBody
from .request_memory import RequestReservation, may_read_ahead
from .request_reader import RequestReader
from .server_limits import NO_MEMORY, TIMED_OUT, Rejection

# Pipelined requests that may be queued before reading is paused.
_MAX_PIPELINED = 8
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(asyncio.BufferedProtocol):
    """The protocol of one caller's connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Create the protocol of a connection to this server."""
        self.supports_chunked = True
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._link = CallerLink(server.watch, server.count_closed)
        self._reader = RequestReader(weakref.proxy(self), server)
        self._pipelined = PipelinedRequests()
        self._current: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timeouts = ConnectionTimeouts(
            server,
            functools.partial(self._reader.reject, TIMED_OUT),
            # A cycle would keep the connection alive after its end.
            functools.partial(ServerConnection.close, weakref.proxy(self)),
        )
        self._keep_alive = True
        # Whether the rest of an answered request is received, to be dropped.
        self._is_lingering = False

    @property
    def memory(self) -> CallerMemory | None:
        """Return what counts this connection, None without a budget for it."""
        return self._link.memory

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._link.open(transport)
        if not self._server.add(self):
            # Requests in progress need file descriptors for their upstreams.
            self.abort()
            return
        monitor = self._server.memory
        if monitor is not None:
            self._link.use_memory(monitor, self._notify_writable)
            self.apply_memory_step()
        self._timeouts.await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and drop the queued ones."""
        self._timeouts.stop()
        self._server.discard(self)
        self._server.turns.leave(self)
        self._link.lost()
        self._reader.close()
        self._pipelined.drop()
        if self._current is not None:
            self._current.release()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Pause the upstream, or buffer up to a limit if memory is budgeted."""
        self._link.writing_paused(self._loop.time())
        if self.memory is None:
            self._notify_writable(False)

    def resume_writing(self) -> None:
        """Resume the upstream, or begin the next request."""
        self._link.writing_resumed()
        if self.memory is None:
            self._notify_writable(True)
        if self._current is None and self._keep_alive:
            self._continue()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that is shared by all connections."""
        buffer = memoryview(self._server.receive_buffer)
        return buffer[: self._reader.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        is_closing = not self._keep_alive and self._current is None
        if is_closing and not self._is_lingering:
            return
        received = memoryview(self._server.receive_buffer)
        self._reader.feed(received[:nbytes])
        self._link.update_reading(self._reader)

    # -- called by the reader

    @property
    def accepts_request(self) -> bool:
        """Return whether another request may be parsed now."""
        if self._current is None:
            return not (self._pipelined or self._link.unsent_bytes)
        if len(self._pipelined) >= _MAX_PIPELINED:
            return False
        if self.memory is not None and not self.memory.may_pipeline:
            return False
        return may_read_ahead(self._server.bodies.budget)

    def on_request_begun(self, now: float) -> float:
        """Start the timeout of a head; return when it was received."""
        self._server.idle.remove(self)
        if self._current is None:
            self._timeouts.await_head()
        return now if self.memory is None else self.memory.begin_message(now)

    def on_head_read(self) -> None:
        """Start the timeout of the body; handle `Expect: 100-continue`."""
        if self._current is None:
            self._timeouts.await_body()
        self._send_continue()

    def on_wait_changed(self) -> None:
        """Do not read while a body waits for its memory."""
        self._link.update_reading(self._reader)
        if not self._reader.is_waiting:
            self._send_continue()

    def on_request_read(self, req: IncomingRequest) -> None:
        """Queue a request."""
        self.supports_chunked = req.supports_chunked
        exchange = Exchange(
            self, req.head, req.body, req.reservation, req.received_at
        )
        exchange.keep_alive = req.keep_alive
        exchange.is_refused = req.is_refused
        self._pipelined.add(exchange)
        self._start_next()

    def on_rejected(self, rejection: Rejection) -> None:
        """Answer a request that could not be read, and close."""
        self._keep_alive = False
        reason = CloseReason.rejected
        if rejection is NO_MEMORY:
            reason = CloseReason.no_memory
        self._server.count_closed(reason)
        if self._current is not None:
            return
        reservation = RequestReservation(self._server.bodies.budget)
        head = RequestHead(b'', b'', ())
        exchange = Exchange(self, head, RequestBody(), reservation, 0)
        exchange.keep_alive = False
        exchange.answer(
            rejection.status, rejection.reason, rejection.headers, b''
        )

    def on_dropped(self) -> None:
        """Close, as the caller has sent the rest of an answered request."""
        if self._is_lingering:
            self._reader.close()
            self.close()

    # -- used by exchanges

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        self._link.write(payload)

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
        if keep and (self._pipelined or self._reader.is_ahead):
            self._server.turns.wait(self)
        elif keep:
            self._continue()
        else:
            self._end()

    def abort(self) -> None:
        """Reset the connection."""
        self._keep_alive = False
        self._link.abort()

    # -- used by the server

    def apply_memory_step(self) -> None:
        """Pause or resume reading if idle, by the current memory step."""
        memory = self.memory
        if memory is None or not self._link.is_open:
            return
        if self._current is None and not self._reader.is_reading:
            memory.apply_step()

    def close(self) -> None:
        """Close after the write buffer has been sent."""
        self._keep_alive = False
        self._timeouts.stop()
        self._link.close()

    def evict(self) -> None:
        """Close, as another connection needs the room."""
        self._server.count_closed(CloseReason.evicted)
        self._server.discard(self)
        self.close()

    def take_turn(self) -> None:
        """Begin a pipelined request, as others have begun theirs."""
        if self._link.is_open and self._current is None:
            self._continue()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, handled or answered.

        Bytes in the write buffer count as well: they would be lost if the
        process ended before the kernel took them.
        """
        if self._link.unsent_bytes or self._current is not None:
            return True
        if self._server.turns.is_waiting(self):
            return True
        return self._reader.is_reading and not self._is_lingering

    # -- internals

    def _continue(self) -> None:
        """Begin the next request, or wait until one is received.

        It is not begun before the kernel has taken the answers to others.
        """
        if self._link.unsent_bytes:
            self._timeouts.await_request()
            self._link.await_sent()
            return
        if self._pipelined:
            self._start_next()
        else:
            self._reader.resume()
        self._link.update_reading(self._reader)
        if self._current is not None or not self._keep_alive:
            return
        self._send_continue()
        if self._reader.has_head:
            self._timeouts.await_body()
            return
        if self._reader.is_reading:
            self._timeouts.await_head()
            return
        self._server.idle.add_kept(self)
        self._timeouts.await_request()
        self.apply_memory_step()

    def _start_next(self) -> None:
        if self._current is not None or not self._pipelined:
            return
        self._timeouts.stop()
        self._current = self._pipelined.next()
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
            exchange.release()
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
        self._pipelined.drop()
        if not (self._reader.is_reading and self._reader.is_answered):
            self.close()
            return
        self._is_lingering = True
        self._timeouts.await_dropped()
        self._link.update_reading(self._reader)

    def _send_continue(self) -> None:
        # An interim response written during an answer would become part of it.
        reader = self._reader
        if self._current is not None or reader.is_waiting:
            return
        if reader.expects_continue and not reader.is_answered:
            reader.expects_continue = False
            self.write(_CONTINUE)

    def _notify_writable(self, writable: bool) -> None:  # noqa: FBT001
        current = self._current
        if current is not None and current.on_writable is not None:
            current.on_writable(writable)
