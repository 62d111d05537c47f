"""Requests of one connection that were read while another one is handled."""

from __future__ import annotations

import collections

from .exchange import Exchange


class PipelinedRequests:
    """A queue of requests, in the order in which they were sent."""

    def __init__(self) -> None:
        """Start empty."""
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Append a request."""
        self._exchanges.append(exchange)

    def next(self) -> Exchange:
        """Remove and return the first request."""
        return self._exchanges.popleft()

    def drop(self) -> None:
        """Release all requests; they are not handled."""
        while self._exchanges:
            self._exchanges.popleft().release()
