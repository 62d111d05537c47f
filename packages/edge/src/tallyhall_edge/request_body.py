"""The body of a request, held in blocks."""

from __future__ import annotations

from collections.abc import Sequence

from .body_memory import BodyReservation

# Pieces are joined up to this size in bytes. A caller may send chunks of a few
# bytes, whose objects would take many times their length.
_BLOCK_BYTES = 65_536


class RequestBody:
    """Blocks of bytes, and the memory that is reserved for them."""

    def __init__(self, reservation: BodyReservation | None = None) -> None:
        """Start empty.

        reservation: released with the body.
        """
        self.size = 0
        self._reservation = reservation
        self._blocks: list[bytes | bytearray] = []

    @property
    def blocks(self) -> Sequence[bytes | bytearray]:
        """Return the blocks in order; they are not changed any more."""
        return self._blocks

    def add(self, piece: bytes) -> None:
        """Append received bytes."""
        self.size += len(piece)
        if not self._blocks or self._exceeds_block(len(piece)):
            self._blocks.append(piece)
            return
        last = self._blocks[-1]
        if isinstance(last, bytes):
            last = bytearray(last)
            self._blocks[-1] = last
        last += piece

    def release(self) -> None:
        """Free the blocks and their memory; may be called more than once."""
        self._blocks = []
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def _exceeds_block(self, size: int) -> bool:
        return len(self._blocks[-1]) + size > _BLOCK_BYTES
