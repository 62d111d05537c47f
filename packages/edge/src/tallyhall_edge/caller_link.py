"""The transport of one caller's connection, and what is unread on it."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable

from .connection_memory import CallerMemory, MemoryMonitor
from .connection_watch import CloseReason, ConnectionWatch
from .request_reader import RequestReader
from .sockets import received_bytes

# Unsent bytes from which on the upstream is paused.
_WRITE_HIGH_WATER_BYTES = 65_536
# Milliseconds without acknowledgement after which a peer counts as dead.
_USER_TIMEOUT_MS = 5000


class CallerLink:
    """Writes to a caller, and pauses reading from it.

    count_closed: called with the reason when a bound closes the connection.
    """

    def __init__(
        self,
        watch: ConnectionWatch,
        count_closed: Callable[[CloseReason], None],
    ) -> None:
        """Create a link that is not open yet."""
        # What the connection holds, None without a budget for slow peers.
        self.memory: CallerMemory | None = None
        self._watch = watch
        self._count_closed = count_closed
        self._transport: asyncio.Transport | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Use this transport."""
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_WATER_BYTES)
        sock: socket.socket | None = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )

    def use_memory(
        self, monitor: MemoryMonitor, notify_writable: Callable[[bool], None]
    ) -> None:
        """Count what the connection holds in the budget of this monitor."""
        if self._transport is not None:
            self.memory = CallerMemory(
                monitor,
                self._transport,
                functools.partial(self.abort_for, CloseReason.unread),
                notify_writable,
            )

    def lost(self) -> None:
        """Release everything, as the connection has ended."""
        self._watch.end_unread(self)
        self._watch.end_pause(self)
        if self.memory is not None:
            self.memory.release()
        self._transport = None

    @property
    def is_open(self) -> bool:
        """Return whether there is a connection."""
        return self._transport is not None

    # -- writing

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not taken."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def write(self, payload: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        if self._transport is None:
            return
        memory = self.memory
        # Read before the write: if the write itself pauses the upstream, the
        # payload is counted there.
        if memory is None:
            is_counted = self._watch.is_unread(self)
        else:
            is_counted = memory.progress is not None
        self._transport.write(payload)
        if not is_counted:
            return
        if memory is None:
            self._watch.record_write(self, len(payload))
        else:
            memory.record_write(len(payload))

    def await_sent(self) -> None:
        """Have `writing_resumed` called once all bytes are sent."""
        self._limit_unsent(0)

    def writing_paused(self, now: float) -> None:
        """Watch a caller that reads too slowly."""
        if self.memory is None:
            self._watch.begin_unread(self, now)
        else:
            self.memory.begin_unread(now)

    def writing_resumed(self) -> None:
        """Stop watching, as the caller has read what was written."""
        if self.memory is None:
            self._watch.end_unread(self)
            self._limit_unsent(_WRITE_HIGH_WATER_BYTES)
        else:
            self.memory.end_unread()

    # -- reading

    @property
    def received_bytes(self) -> int:
        """Return the bytes that the kernel has received and nobody has read."""
        transport = self._transport
        return 0 if transport is None else received_bytes(transport)

    def update_reading(self, reader: RequestReader) -> None:
        """Read, unless received bytes wait to be parsed or for memory."""
        transport = self._transport
        if transport is None:
            return
        if reader.is_ahead:
            self._watch.begin_pause(self)
        else:
            self._watch.end_pause(self)
        if reader.is_ahead or reader.is_waiting:
            transport.pause_reading()
        else:
            transport.resume_reading()

    # -- closing

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def abort_for(self, reason: CloseReason) -> None:
        """Reset the connection for a reason that is counted."""
        self._count_closed(reason)
        self.abort()

    def close(self) -> None:
        """Close after all bytes have been sent."""
        if self._transport is not None:
            # A caller that does not read the rest is watched.
            self.await_sent()
            self._transport.close()

    # -- internals

    def _limit_unsent(self, size: int) -> None:
        if self._transport is not None and self.memory is None:
            self._transport.set_write_buffer_limits(size)
