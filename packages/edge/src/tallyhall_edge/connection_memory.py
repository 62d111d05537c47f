"""What single connections hold, reported to the memory budget.

A connection whose peer reads and writes as usual costs nothing here. Only
connections with unread bytes, and those that are not read, are polled.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .memory_budget import Holder, MemoryBudget, Step, UnreadPeer
from .server_limits import ServerLimits
from .sockets import received_bytes, unacknowledged_bytes

# Assumed memory of a connection in bytes, on either side: its objects in the
# process and the socket in the kernel. See docs/design/memory-budget.md.
_CONNECTION_BYTES = 16_384
# Socket buffers of a connection under a budget, in bytes. The kernel would let
# them grow to several MB, which count towards the limit of the process. This
# size limits the throughput of a connection to 32 KB per round trip.
_SOCKET_BUFFER_BYTES = 32_768
# Maximum time in seconds for which a received request is left unread. After
# that it is read and refused, so that its caller has time for another attempt.
_MAX_HOLD_S = 0.5
# Requests up to this size in bytes are read to be refused in any step; the body
# of a larger one could exceed a budget that is used up.
_SMALL_REQUEST_BYTES = 16_384


class ConnectionMemory:
    """Counts what one connection holds.

    close: closes the connection; called if its peer has stopped reading.
    """

    holder = Holder.upstream_writes

    def __init__(
        self,
        monitor: MemoryMonitor,
        transport: asyncio.Transport,
        close: Callable[[], None],
    ) -> None:
        """Count an open connection."""
        self.monitor = monitor
        self.budget = monitor.budget
        self.progress: UnreadPeer | None = None
        self.close = close
        self._transport = transport
        # Bytes in the receive buffer of the kernel while it is not read, and
        # the workspace of the slow caller because of which it is not read.
        self._received = 0
        self._received_for: str | None = None
        # Notifies at the first unread byte, and once all have been sent.
        transport.set_write_buffer_limits(0)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        self.budget.add(Holder.connections, _CONNECTION_BYTES)

    def release(self) -> None:
        """Release all counted bytes, as the connection is closed."""
        self.end_unread()
        self.reading_resumed()
        self.budget.add(Holder.connections, -_CONNECTION_BYTES)
        # It refers to the connection, which refers to this object.
        self.close = _do_nothing

    # -- unread bytes

    def begin_unread(self, now: float, unwritten: int = 0) -> None:
        """Start counting unread bytes, as the peer reads too slowly.

        unwritten: bytes that are only written once it has read those.
        """
        if self.progress is not None:
            return
        held = unacknowledged_bytes(self._transport)
        self.progress = UnreadPeer(held, now, unwritten)
        self.monitor.unread[self.progress] = self
        self._count(held)

    def end_unread(self) -> None:
        """Stop counting: all bytes were sent, or the connection is closed."""
        progress = self.progress
        if progress is None:
            return
        self.progress = None
        self.monitor.unread.pop(progress)
        self._count(-progress.held)

    def poll(self, now: float) -> None:
        """Update what is unread and whether the peer reads."""
        progress = self.progress
        if progress is not None:
            before = progress.held
            progress.update(unacknowledged_bytes(self._transport), now)
            self._count(progress.held - before)

    # -- bytes that were received and not read

    def reading_paused(self, workspace: str | None = None) -> None:
        """Count what the kernel receives from now on.

        workspace: that of the caller who does not read it, None if no caller is
        the reason.
        """
        if self not in self.monitor.paused:
            self.monitor.paused.add(self)
            self._received_for = workspace

    def reading_resumed(self) -> None:
        """Stop counting received bytes."""
        self.monitor.paused.discard(self)
        self._count_received(0)

    def poll_received(self, now: float) -> None:
        """Update how many bytes were received and not read."""
        self._count_received(received_bytes(self._transport))

    # -- internals

    def _count(self, size: int) -> None:
        self.budget.add(self.holder, size)

    def _count_received(self, received: int) -> None:
        size = received - self._received
        if not size:
            return
        self._received = received
        if self._received_for is None:
            self.budget.add(Holder.received, size)
        else:
            self.budget.add_unread(self._received_for, size, Holder.received)


class CallerMemory(ConnectionMemory):
    """Counts what the connection of a caller holds, by its workspace.

    notify_writable: called with whether the upstream may go on to send.
    """

    holder = Holder.caller_writes

    def __init__(
        self,
        monitor: MemoryMonitor,
        transport: asyncio.Transport,
        close: Callable[[], None],
        notify_writable: Callable[[bool], None],
    ) -> None:
        """Count an open connection."""
        # Step from which on the connection is not read while it is idle.
        self.pause_step = Step.stop_buffering
        if monitor.budget.step >= Step.hold_new:
            self.pause_step = Step.hold_new
        # When bytes of an unread connection were first seen, None before.
        self.received_at: float | None = None
        # Whether the next request has waited for too long and is refused.
        self.refuses_next = False
        self.workspace = ''
        self._notify_writable = notify_writable
        super().__init__(monitor, transport, close)

    def release(self) -> None:
        """Release all counted bytes, as the connection is closed."""
        super().release()
        self._notify_writable = _ignore_writable

    @property
    def may_pipeline(self) -> bool:
        """Return whether requests are read while another one is handled."""
        return self.budget.step < Step.stop_buffering

    def apply_step(self) -> None:
        """Pause or resume reading of this idle connection, by the step."""
        if self.budget.step >= self.pause_step:
            self._transport.pause_reading()
            self.reading_paused()
        elif self in self.monitor.paused:
            self._resume()

    def begin_message(self, now: float) -> float:
        """Start a request; return when its first byte was received."""
        received_at = self.received_at
        self.received_at = None
        if not self.refuses_next:
            self.pause_step = Step.stop_buffering
        return now if received_at is None else received_at

    def end_message(self) -> None:
        """Note that a request has ended."""
        self.refuses_next = False

    def use_workspace(self, name: str) -> None:
        """Count unread bytes for this workspace from now on."""
        if self.workspace == name:
            return
        held = 0 if self.progress is None else self.progress.held
        if held:
            self.budget.add_unread(self.workspace, -held)
            self.budget.add_unread(name, held)
        self.workspace = name

    def begin_unread(self, now: float, unwritten: int = 0) -> None:
        """Start counting; pause the upstream if the limit is exceeded."""
        super().begin_unread(now, unwritten)
        self._apply_buffer_limit()

    def end_unread(self) -> None:
        """Stop counting, and resume the upstream."""
        if self.progress is not None:
            super().end_unread()
            self._notify_writable(True)

    def record_write(self, size: int) -> None:
        """Count bytes written behind unread ones."""
        progress = self.progress
        if progress is not None:
            progress.record_write(size)
            progress.held += size
            self._count(size)
            self._apply_buffer_limit()

    def poll(self, now: float) -> None:
        """Update what is unread; the limit of the buffer may have changed."""
        super().poll(now)
        self._apply_buffer_limit()

    def poll_received(self, now: float) -> None:
        """Note when the first bytes came, as deadlines count from then."""
        super().poll_received(now)
        if not self._received:
            return
        if self.received_at is None:
            self.received_at = now
        may_read = self._received <= _SMALL_REQUEST_BYTES
        if self.budget.step < Step.close:
            may_read = True
        if may_read and now - self.received_at >= _MAX_HOLD_S:
            self.refuses_next = True
            self._resume()

    def _count(self, size: int) -> None:
        self.budget.add_unread(self.workspace, size)

    def _resume(self) -> None:
        self._transport.resume_reading()
        self.reading_resumed()

    def _apply_buffer_limit(self) -> None:
        progress = self.progress
        limit = self.budget.caller_buffer_bytes(self.workspace)
        if progress is not None and progress.held > limit:
            self._notify_writable(False)


class MemoryMonitor:
    """Polls the connections that hold more than an idle one.

    unread_timeout_s: after which a caller that reads nothing is closed.
    """

    unread_timeout_s: float = ServerLimits().unread_timeout_s

    def __init__(self, budget: MemoryBudget) -> None:
        """Report to this budget."""
        self.budget = budget
        self.unread: dict[UnreadPeer, ConnectionMemory] = {}
        self.paused: set[ConnectionMemory] = set()

    def poll(self, now: float) -> None:
        """Update all counts, and close the connections of stalled peers."""
        for paused in tuple(self.paused):
            paused.poll_received(now)
        callers = []
        for progress, memory in tuple(self.unread.items()):
            memory.poll(now)
            if memory.holder is Holder.caller_writes:
                callers.append(progress)
                if now - progress.read_at >= self.unread_timeout_s:
                    memory.close()
            elif progress.is_stalled_upstream(now):
                memory.close()
        for stalled in self.budget.callers_to_close(callers, now):
            closed = self.unread.get(stalled)
            # Its connection may have been closed just now.
            if closed is not None:
                closed.close()


def _do_nothing() -> None:
    """Stand in for the end of a connection that is closed."""


def _ignore_writable(writable: bool) -> None:  # noqa: FBT001
    """Stand in for the upstream of a caller who has left."""
