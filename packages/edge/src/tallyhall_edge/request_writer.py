"""Writes a request to an upstream as fast as the upstream reads it."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence

from .sockets import unacknowledged_bytes

# Requests up to this size in bytes are written at once. The blocks of a larger
# one are written as the upstream reads them, since the transport copies what
# it cannot send.
_MAX_WRITTEN_BYTES = 65_536


class RequestWriter:
    """Writes the requests of one connection, one after the other."""

    def __init__(self) -> None:
        """Start without a connection; `transport` is set once there is one."""
        self.transport: asyncio.Transport | None = None
        # Size in bytes of the last request.
        self.request_bytes = 0
        # Size in bytes of all requests.
        self.total_bytes = 0
        # Blocks of the request that are not written yet.
        self._unwritten: collections.deque[bytes | bytearray] = (
            collections.deque()
        )
        self._may_write = True

    @property
    def unwritten_bytes(self) -> int:
        """Return how much of the request is not written yet."""
        return sum(map(len, self._unwritten))

    @property
    def has_sent_all(self) -> bool:
        """Return whether the kernel holds or has sent the whole request."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._unwritten:
            return False
        return not transport.get_write_buffer_size()

    @property
    def is_acknowledged(self) -> bool:
        """Return whether the peer's machine has received all that was sent.

        True if this is not known.
        """
        if self._unwritten:
            return False
        transport = self.transport
        return transport is None or not unacknowledged_bytes(transport)

    def write(self, raw: bytes, body: Sequence[bytes | bytearray]) -> None:
        """Write a request.

        body: blocks that follow `raw`; they are dropped once they are written.
        """
        self.request_bytes = len(raw) + sum(map(len, body))
        self.total_bytes += self.request_bytes
        if self.request_bytes > _MAX_WRITTEN_BYTES:
            self._unwritten.extend((raw, *body))
        else:
            self._unwritten.append(b''.join((raw, *body)))
        self._write_blocks()

    def pause(self) -> None:
        """Stop writing, as the upstream does not read."""
        self._may_write = False

    def resume(self) -> None:
        """Go on writing, as the upstream has read what was written."""
        self._may_write = True
        self._write_blocks()

    def discard(self) -> None:
        """Drop what is not written."""
        self._unwritten.clear()

    def _write_blocks(self) -> None:
        transport = self.transport
        while self._unwritten and self._may_write and transport is not None:
            transport.write(self._unwritten.popleft())
