"""Counts what received requests hold beside their bodies."""

from __future__ import annotations

from .memory_budget import Holder, MemoryBudget

# Assumed memory in bytes of the objects of a request.
_REQUEST_BYTES = 4096
# Assumed memory in bytes of a header beside its name and value.
_HEADER_BYTES = 160
# A request of up to this many bytes is read whatever else is held: it may be
# served without a body, or is told what is wrong with it.
_SMALL_REQUEST_BYTES = 12_288
# Fraction of the budget that requests may hold while others are read ahead.
_AHEAD_SHARE = 0.25


class RequestReservation:
    """The memory that is reserved for one request, from its first byte on."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Reserve nothing yet."""
        self._budget = budget
        self._held = 0

    def cover(self, received: int, headers: int) -> bool:
        """Reserve memory for a head; return whether there is enough.

        received: its bytes. headers: their number.
        """
        wanted = _REQUEST_BYTES + received + headers * _HEADER_BYTES
        more = wanted - self._held
        budget = self._budget
        is_small = wanted <= _SMALL_REQUEST_BYTES
        if not is_small and budget.total + more > budget.size:
            return False
        self._held = wanted
        budget.add(Holder.requests, more)
        return True

    def release(self) -> None:
        """Release everything; it may be called more than once."""
        if self._held:
            self._budget.add(Holder.requests, -self._held)
            self._held = 0


def may_read_ahead(budget: MemoryBudget) -> bool:
    """Return whether a request may be read while another one is handled."""
    return budget.held[Holder.requests] < _AHEAD_SHARE * budget.size
