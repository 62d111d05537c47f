"""Callers of one server that read too little or send too much.

Answers that a caller does not read stay in this process, requests that it sends
ahead in the receive buffer of the kernel, which counts towards the limit of the
process. Only connections that hold such bytes are polled.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from .memory_budget import Holder, MemoryBudget, UnreadPeer


@enum.unique
class CloseReason(enum.Enum):
    """Why a connection of a caller was closed or turned away.

    evicted: a new connection needed the room, and this one had no request.
    turned_away: there was no room, and none without a request. unread: its
    answers were not read. sent_ahead: requests were sent ahead while the memory
    budget was used up. rejected: what was received is no request, or exceeds a
    limit. no_memory: there was no memory for a request.
    """

    evicted = 'evicted'
    turned_away = 'turned_away'
    unread = 'unread'
    sent_ahead = 'sent_ahead'
    rejected = 'rejected'
    no_memory = 'no_memory'


class WatchedConnection(Protocol):
    """A connection as it is watched."""

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not taken."""

    @property
    def received_bytes(self) -> int:
        """Return the bytes that the kernel has received and nobody has read."""

    def abort_for(self, reason: CloseReason) -> None:
        """Reset the connection."""


class ConnectionWatch:
    """Counts and bounds what slow callers hold."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Count in this budget."""
        self._budget = budget
        self._unread: dict[WatchedConnection, UnreadPeer] = {}
        # Bytes received on connections that are not read.
        self._paused: dict[WatchedConnection, int] = {}

    # -- answers that are not read

    def begin_unread(self, conn: WatchedConnection, now: float) -> None:
        """Watch a caller that has not read all of its answers."""
        if conn not in self._unread:
            held = conn.unsent_bytes
            self._unread[conn] = UnreadPeer(held, now)
            self._budget.add(Holder.caller_writes, held)

    def is_unread(self, conn: WatchedConnection) -> bool:
        """Return whether a caller is watched for unread answers."""
        return conn in self._unread

    def record_write(self, conn: WatchedConnection, size: int) -> None:
        """Count bytes written behind unread ones."""
        progress = self._unread.get(conn)
        if progress is not None:
            progress.record_write(size)
            progress.held += size
            self._budget.add(Holder.caller_writes, size)

    def end_unread(self, conn: WatchedConnection) -> None:
        """Stop watching: all bytes were sent, or the connection is closed."""
        progress = self._unread.pop(conn, None)
        if progress is not None:
            self._budget.add(Holder.caller_writes, -progress.held)

    # -- requests that are not read

    def begin_pause(self, conn: WatchedConnection) -> None:
        """Count what is received on a connection that is not read."""
        self._paused.setdefault(conn, 0)

    def end_pause(self, conn: WatchedConnection) -> None:
        """Stop counting, as the connection is read or closed."""
        received = self._paused.pop(conn, 0)
        if received:
            self._budget.add(Holder.received, -received)

    # -- polling

    def poll(self, now: float, unread_timeout_s: float) -> None:
        """Update all counts, and close whoever exceeds a bound.

        unread_timeout_s: after which a caller that reads nothing is closed.
        """
        for conn, progress in self._unread.items():
            before = progress.held
            progress.update(conn.unsent_bytes, now)
            self._budget.add(Holder.caller_writes, progress.held - before)
        for paused, before in self._paused.items():
            received = paused.received_bytes
            self._paused[paused] = received
            self._budget.add(Holder.received, received - before)
        self._close_unread(now, unread_timeout_s)
        self._close_paused()

    def _close_unread(self, now: float, timeout_s: float) -> None:
        to_close = {
            id(progress)
            for progress in self._budget.callers_to_close(
                self._unread.values(), now
            )
        }
        for conn, progress in tuple(self._unread.items()):
            is_over = now - progress.read_at >= timeout_s
            if is_over or id(progress) in to_close:
                _close(conn, CloseReason.unread, self.end_unread)

    def _close_paused(self) -> None:
        """Close those that sent most ahead, until the budget suffices."""
        ordered = sorted(
            self._paused.items(), key=lambda row: row[1], reverse=True
        )
        excess = self._budget.excess
        for conn, received in ordered:
            if excess <= 0:
                return
            excess -= received
            _close(conn, CloseReason.sent_ahead, self.end_pause)


def _close(
    conn: WatchedConnection,
    reason: CloseReason,
    forget: Callable[[WatchedConnection], None],
) -> None:
    forget(conn)
    conn.abort_for(reason)
