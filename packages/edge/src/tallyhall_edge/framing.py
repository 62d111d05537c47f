"""Bounds what is received of a message beside its body.

The parser gathers a line until it is complete, so what it has reported does not
bound what it holds.
"""

from __future__ import annotations

# Maximum number of headers of a message; each takes many times its length.
MAX_HEADERS = 256
# Bytes of chunk sizes and line ends that are allowed for each byte of a body.
_MAX_FRAMING_PER_BYTE = 16


class FramingCounter:
    """Counts the received bytes of a message that are not its body."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._received = 0
        self._body = 0

    def reset(self) -> None:
        """Start with the next message."""
        self._received = 0
        self._body = 0

    def add_received(self, size: int) -> None:
        """Count bytes of the message, with those of its body."""
        self._received += size

    def add_body(self, size: int) -> None:
        """Count bytes of the body."""
        self._body += size

    def exceeds(self, limit: int) -> bool:
        """Return whether there is more than a limit and chunks allow."""
        allowed = limit + self._body * (1 + _MAX_FRAMING_PER_BYTE)
        return self._received > allowed
