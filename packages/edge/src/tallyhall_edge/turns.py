"""Lets connections with requests that were sent ahead take turns.

A caller that sends many requests ahead gets one of them handled, then waits
behind the others. Without it, a few callers whose requests are answered at once
would take the whole event loop.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

# Turns in one iteration of the event loop.
_MAX_AT_ONCE = 8


class TurnTaker(Protocol):
    """A connection with a request that was sent ahead."""

    def take_turn(self) -> None:
        """Begin the next request."""


class Turns:
    """A queue of connections, in order of their last request."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._loop = asyncio.get_running_loop()
        # An ordered set.
        self._waiting: dict[TurnTaker, None] = {}
        self._is_scheduled = False

    def wait(self, conn: TurnTaker) -> None:
        """Let a connection take its turn after those that wait."""
        self._waiting.setdefault(conn)
        self._schedule()

    def is_waiting(self, conn: TurnTaker) -> bool:
        """Return whether a connection waits for its turn."""
        return conn in self._waiting

    def leave(self, conn: TurnTaker) -> None:
        """Let a connection wait no more, as it is closed."""
        self._waiting.pop(conn, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        for conn in tuple(itertools.islice(self._waiting, _MAX_AT_ONCE)):
            self._waiting.pop(conn, None)
            conn.take_turn()
        self._schedule()
