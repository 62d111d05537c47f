"""The timeouts of one caller's connection, one at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .incoming import ReaderOwner


class ConnectionTimeouts:
    """A timeout by what is awaited; each replaces the one before it."""

    def __init__(
        self,
        server: ReaderOwner,
        reject: Callable[[], None],
        close: Callable[[], None],
    ) -> None:
        """Apply the limits of a server.

        reject: answers a request that is not received in time. close: closes
        the connection.
        """
        self._server = server
        self._reject = reject
        self._close = close
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Await nothing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def await_request(self) -> None:
        """Close the connection if no request begins in time.

        A stopping server still handles requests that callers have sent or are
        sending on open connections; `Connection: close` in the answer then
        tells them to reconnect elsewhere.
        """
        self._start(self._server.limits.idle_timeout_s, self._close)

    def await_head(self) -> None:
        """Reject a request whose head is not received in time."""
        self._start(self._server.limits.header_timeout_s, self._reject)

    def await_body(self) -> None:
        """Reject a request whose body is not received in time."""
        self._start(self._server.limits.body_timeout_s, self._reject)

    def await_dropped(self) -> None:
        """Close if the rest of an answered request is not received in time."""
        self._start(self._server.limits.body_timeout_s, self._close)

    def _start(self, delay_s: float, action: Callable[[], None]) -> None:
        self.stop()
        self._timer = self._loop.call_later(delay_s, action)
