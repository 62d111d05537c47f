"""Received bytes of requests that are not parsed yet.

A caller may send any number of requests ahead, each of which takes a hundred
times its bytes once it is parsed. So received bytes are parsed in pieces that
end with a request, and no further one than may be queued.
"""

from __future__ import annotations

from .memory_budget import Holder, MemoryBudget

# End of a head, and of a body in chunks.
_MESSAGE_END = b'\r\n\r\n'
# Minimum size in bytes of a piece of a body in chunks, which may hold any
# number of message ends.
_MIN_CHUNKED_BYTES = 256
# Maximum bytes of one read where a head is expected, and of any other.
_HEAD_READ_BYTES = 4096
MAX_READ_BYTES = 65_536


class MessagePosition:
    """Where in a message the next received byte belongs.

    body_left: bytes of the body that are still to come, 0 in a head.
    """

    def __init__(self) -> None:
        """Start at the head of a message."""
        self.body_left = 0
        self.is_chunked = False
        # Bytes of the body that were received.
        self._received = 0

    def begin_head(self) -> None:
        """Start at the head of the next message."""
        self.body_left = 0
        self.is_chunked = False
        self._received = 0

    def begin_body(self, length: int | None) -> None:
        """Start at a body; a length of None means that it comes in chunks."""
        self.body_left = length or 0
        self.is_chunked = length is None

    def add_body(self, size: int) -> None:
        """Count received bytes of the body."""
        self._received += size
        self.body_left = max(0, self.body_left - size)

    def piece_end(self, received: bytes, start: int) -> int:
        """Return up to where to parse, so that at most one message ends."""
        if self.body_left:
            return min(len(received), start + self.body_left)
        search_from = start
        if self.is_chunked:
            search_from = start + _MIN_CHUNKED_BYTES
        found = received.find(_MESSAGE_END, search_from)
        if found < 0:
            return len(received)
        return found + len(_MESSAGE_END)

    @property
    def read_bytes(self) -> int:
        """Return how many bytes to read at most.

        What follows this message is kept until it may be parsed.
        """
        expected = self._received if self.is_chunked else self.body_left
        return min(MAX_READ_BYTES, _HEAD_READ_BYTES + expected)


class ReadAhead:
    """Bytes that wait to be parsed, counted in the memory budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Start empty."""
        self._budget = budget
        self._kept = b''

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._kept)

    def keep(self, received: bytes) -> None:
        """Append received bytes."""
        self._kept += received
        self._budget.add(Holder.requests, len(received))

    def take(self) -> bytes:
        """Return all bytes and keep none."""
        taken = self._kept
        self._kept = b''
        self._budget.add(Holder.requests, -len(taken))
        return taken
