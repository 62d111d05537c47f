"""Frames of what an upstream sends through a tunnel.

A frame is its length in 4 bytes and as many bytes of the upstream. A length of
0 says that the upstream ended its side in order: 8 bytes follow, with the
number of bytes that its machine had received through the tunnel. A tunnel that
ends without this frame was cut.
"""

from __future__ import annotations

_LENGTH_BYTES = 4
_RECEIVED_BYTES = 8
_END = bytes(_LENGTH_BYTES)


def encode_frame(payload: bytes) -> bytes:
    """Encode received bytes, at least one."""
    return len(payload).to_bytes(_LENGTH_BYTES) + payload


def encode_end(received: int) -> bytes:
    """Encode the end of an upstream whose machine received so many bytes."""
    return _END + received.to_bytes(_RECEIVED_BYTES)


class FrameDecoder:
    """Decodes frames from pieces of any size."""

    def __init__(self) -> None:
        """Start before the first frame."""
        # What the machine of the upstream had received when it ended its side;
        # None before.
        self.received_at_end: int | None = None
        self._head = b''
        # Bytes that the current frame still lacks.
        self._missing = 0

    def feed(self, piece: bytes) -> list[bytes]:
        """Return the bytes of the upstream in a piece; ignore any after it."""
        payloads = []
        rest = piece
        while rest and self.received_at_end is None:
            if not self._missing:
                rest = self._read_head(rest)
                continue
            payload = rest[: self._missing]
            rest = rest[self._missing :]
            self._missing -= len(payload)
            payloads.append(payload)
        return payloads

    def _read_head(self, piece: bytes) -> bytes:
        """Collect the head of a frame; return what follows it."""
        size = _LENGTH_BYTES
        if self._head[:size] == _END:
            size += _RECEIVED_BYTES
        lacking = size - len(self._head)
        self._head += piece[:lacking]
        if len(self._head) == size:
            self._finish_head()
        return piece[lacking:]

    def _finish_head(self) -> None:
        head = self._head
        if len(head) > _LENGTH_BYTES:
            self.received_at_end = int.from_bytes(head[_LENGTH_BYTES:])
        elif head != _END:
            self._missing = int.from_bytes(head)
            self._head = b''
