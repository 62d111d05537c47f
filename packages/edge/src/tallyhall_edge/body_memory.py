"""Bounds the bytes of request bodies that an instance holds at a time.

Memory for a body is reserved before the body is read. Small bodies may use the
whole budget. Large ones may use a part of it, so that small ones are read
beside any number of them; a large body that does not fit waits unread. Among
those that wait, the workspace that holds least comes first.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable

from .memory_budget import Holder, MemoryBudget

# Maximum size in bytes of a small body.
SMALL_BODY_BYTES = 131_072
# Fractions of the budget for large bodies; where the steps of the budget apply,
# large bodies alone do not reach the first.
_LARGE_SHARE = 0.75
_LARGE_SHARE_BESIDE_STEPS = 0.4
# Fraction of the budget for what is received of bodies that wait.
_WAITING_SHARE = 0.2
# Assumed bytes in the kernel's receive buffer of a connection that waits.
_UNREAD_BYTES = 65_536
# A workspace may hold at most this many times what it leaves free for others.
_MAX_HELD_TO_FREE = 2


class BodyReservation:
    """The memory reserved for one body.

    workspace: that of the request. held: reserved bytes. wanted: bytes of the
    whole body, 0 unless it is large.
    """

    def __init__(self, memory: BodyMemory) -> None:
        """Reserve nothing yet."""
        self.workspace = ''
        self.held = 0
        self.wanted = 0
        self.on_granted: Callable[[], None] | None = None
        # Its place among those that wait.
        self.serial = -1
        self._memory = memory

    def add(self, size: int) -> None:
        """Reserve bytes that have been received; negative to release them."""
        self.held += size
        self._memory.budget.add(Holder.request_bodies, size)

    def shrink(self, size: int) -> None:
        """Keep memory for the body of this size, which is complete."""
        self._memory.shrink(self, size)

    def release(self) -> None:
        """Release everything; it may be called more than once."""
        self._memory.release(self)


class BodyMemory:
    """The part of a memory budget that request bodies may use."""

    def __init__(
        self, budget: MemoryBudget, *, has_steps: bool = False
    ) -> None:
        """Reserve memory in this budget.

        has_steps: whether the steps of the budget apply.
        """
        self.budget = budget
        self._large_share = (
            _LARGE_SHARE_BESIDE_STEPS if has_steps else _LARGE_SHARE
        )
        # Bodies refused because there was no memory for them.
        self.refused = 0
        self._serials = itertools.count()
        # In order of arrival.
        self._waiting: dict[int, BodyReservation] = {}
        self._large_bytes = 0
        self._by_workspace: collections.Counter[str] = collections.Counter()

    @property
    def waiting(self) -> int:
        """Return the number of bodies that wait unread."""
        return len(self._waiting)

    def exceeds_budget(self, size: int) -> bool:
        """Return whether a body can never be held."""
        return size > self.budget.size

    def most(self, size: int) -> int:
        """Return how many bytes of a body of up to this size can be held."""
        return min(size, self.budget.size)

    def reserve_small(self, reservation: BodyReservation, size: int) -> bool:
        """Reserve bytes of a small body; return whether they fit."""
        if size and self.budget.total + size > self.budget.size:
            return False
        reservation.add(size)
        return True

    def reserve_large(
        self,
        reservation: BodyReservation,
        size: int,
        on_granted: Callable[[], None],
    ) -> bool:
        """Reserve memory for a body of this size, at once or later.

        Calls `on_granted`, possibly before this returns. Returns False if no
        further body may wait.
        """
        reservation.wanted = size
        reservation.on_granted = on_granted
        reservation.serial = next(self._serials)
        self._waiting[reservation.serial] = reservation
        self.grant_waiting()
        if reservation.serial not in self._waiting:
            return True
        if self._may_wait():
            return True
        self._waiting.pop(reservation.serial)
        reservation.wanted = 0
        return False

    def grant_waiting(self) -> None:
        """Grant memory to those that wait and fit now."""
        reservation = self._next_granted()
        while reservation is not None:
            self._grant(reservation)
            reservation = self._next_granted()

    def shrink(self, reservation: BodyReservation, size: int) -> None:
        """Release what a reservation holds above a size; it does not wait."""
        is_waiting = self._waiting.pop(reservation.serial, None) is not None
        wanted = 0 if is_waiting else reservation.wanted
        excess = max(0, reservation.held - size)
        if wanted:
            self._count_large(reservation.workspace, -min(wanted, excess))
        reservation.wanted = max(0, wanted - excess)
        reservation.on_granted = None
        reservation.add(-excess)
        if excess and self._waiting:
            self.grant_waiting()

    def release(self, reservation: BodyReservation) -> None:
        """Release all that a reservation holds; it does not wait."""
        self.shrink(reservation, 0)

    # -- internals

    def _may_wait(self) -> bool:
        received = sum(one.held for one in self._waiting.values())
        assumed = len(self._waiting) * _UNREAD_BYTES
        return received + assumed <= _WAITING_SHARE * self.budget.size

    def _next_granted(self) -> BodyReservation | None:
        """Return the next reservation to grant.

        One that does not fit into what is free is not overtaken, as it would
        wait for as long as smaller ones arrive.
        """
        exceeded: set[str] = set()
        for reservation in sorted(self._waiting.values(), key=self._rank):
            workspace = reservation.workspace
            if workspace in exceeded:
                continue
            if not self._is_free(reservation):
                return None
            if self._exceeds_share(reservation):
                exceeded.add(workspace)
                continue
            return reservation
        return None

    def _rank(self, reservation: BodyReservation) -> tuple[int, int]:
        held = self._by_workspace[reservation.workspace]
        return held, reservation.serial

    def _is_free(self, reservation: BodyReservation) -> bool:
        missing = reservation.wanted - reservation.held
        if self.budget.total + missing > self.budget.size:
            return False
        if not self._large_bytes:
            return True
        return reservation.wanted <= self._free_bytes()

    def _exceeds_share(self, reservation: BodyReservation) -> bool:
        held = self._by_workspace[reservation.workspace]
        if not held:
            return False
        free = self._free_bytes() - reservation.wanted
        return held + reservation.wanted > _MAX_HELD_TO_FREE * free

    def _free_bytes(self) -> float:
        return self._large_share * self.budget.size - self._large_bytes

    def _grant(self, reservation: BodyReservation) -> None:
        self._waiting.pop(reservation.serial)
        self._count_large(reservation.workspace, reservation.wanted)
        reservation.add(reservation.wanted - reservation.held)
        if reservation.on_granted is not None:
            reservation.on_granted()

    def _count_large(self, workspace: str, size: int) -> None:
        self._large_bytes += size
        self._by_workspace[workspace] += size
        if not self._by_workspace[workspace]:
            self._by_workspace.pop(workspace)
