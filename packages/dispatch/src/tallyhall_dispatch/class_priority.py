"""Priority between urgency classes whose requests hold slots unequally long.

Handles the load condition in which slots are short and a less urgent class
holds its slots much longer than a more urgent one. There is no preemption, so
each of its requests takes the slot of several urgent ones that arrive
meanwhile. Such a class defers: it is served after the others, and only in the
slots that they do not need (trunk reservation).
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

import msgspec

from .jobs import NOT_SENT, AttemptOutcome, RunReport
from .urgency_stats import ServedFractions, UrgencyRates

# Ratio of the hold times from which on a class defers to a more urgent one:
# each of its requests then takes the slot of two or more urgent requests.
_MIN_RATIO = 2.0
# Ratio below which it stops. The mean of a hundred hold times that vary as much
# as their mean has a standard error of 7%, so with a single threshold, a class
# near it would start and stop several times a minute.
_STOP_RATIO = 1.8
# Weight of the newest request in the mean hold time of its class.
_SMOOTHING = 0.01
# Number of completed runs from which on the mean hold time of a class is used.
_MIN_RUNS = 20
# Fraction served in time below which a deferring class is treated as if it did
# not defer. Prevents starvation.
_FLOOR = 0.05
_MAX_CHANGES = 100
# Outcomes in which the upstream did not run the request.
_NOT_RUN = NOT_SENT | {AttemptOutcome.rejected, AttemptOutcome.misplaced}


class DeferralChange(msgspec.Struct, frozen=True):
    """An urgency has started or stopped deferring to a more urgent one.

    hold_s, other_hold_s: mean slot hold times of the urgency and of the other.
    """

    urgency: int
    other: int
    hold_s: float
    other_hold_s: float
    is_deferring: bool


def held_s(report: RunReport) -> float | None:
    """Return for how long a request held its slot, None if it did not run."""
    return None if report.ending in _NOT_RUN else report.total_s


class _HoldTime:
    """Mean time for which the requests of one urgency hold a slot."""

    def __init__(self) -> None:
        self.runs = 0
        self.mean_s: float = 0

    def record(self, held_s: float) -> None:
        """Add a run; the first hundred are weighted equally."""
        self.runs += 1
        weight = max(_SMOOTHING, 1 / self.runs)
        self.mean_s += weight * (held_s - self.mean_s)


class ClassPriority:
    """Which urgencies of a service defer to more urgent ones, and how far."""

    def __init__(
        self,
        served_fractions: ServedFractions,
        *,
        enabled: bool = True,
        ranked: bool = True,
    ) -> None:
        """Start without hold times, so that nothing defers.

        enabled: whether any urgency may defer. ranked: whether the urgencies
        are ordered by `ServedFractions` instead of by urgency alone.
        """
        # Changes that have not been logged yet. Bounded, as the emulator never
        # takes them.
        self._changes: collections.deque[DeferralChange] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self._served_fractions = served_fractions
        self._enabled = enabled
        self._ranked = ranked
        self._hold_times: dict[int, _HoldTime] = {}
        self._arrivals = UrgencyRates()
        self._running: collections.Counter[int] = collections.Counter()
        # The urgencies to which each deferring urgency defers.
        self._deferring: dict[int, frozenset[int]] = {}

    @property
    def has_deferring(self) -> bool:
        """Return whether any urgency defers."""
        return bool(self._deferring)

    def is_deferring(self, urgency: int) -> bool:
        """Return whether an urgency defers to a more urgent one."""
        return urgency in self._deferring

    @property
    def urgencies(self) -> list[int]:
        """Return the urgencies that have a completed run."""
        return sorted(self._hold_times)

    def take_changes(self) -> list[DeferralChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def running(self, urgency: int) -> int:
        """Return the number of running requests of an urgency."""
        return self._running[urgency]

    def mean_hold_s(self, urgency: int) -> float | None:
        """Return the mean hold time of an urgency, None until it is known."""
        known = self._hold_times.get(urgency)
        if known is None or known.runs < _MIN_RUNS:
            return None
        return known.mean_s

    def record_arrival(self, urgency: int, now: float) -> None:
        """Record that a request within its quota was queued."""
        self._arrivals.record(urgency, now)

    def record_start(self, urgency: int) -> None:
        """Record that a request occupies a slot."""
        self._running[urgency] += 1

    def record_end(self, urgency: int, held_s: float | None) -> None:
        """Record that a request has released its slot.

        held_s: for how long it ran, None if it did not run.
        """
        self._running[urgency] -= 1
        if held_s is None:
            return
        self._hold_times.setdefault(urgency, _HoldTime()).record(held_s)
        if self._enabled:
            self._update_deferring()

    def slot_limit(self, urgency: int, slots: int, now: float) -> int:
        """Return how many of these slots an urgency may occupy.

        slots: the usable slots that this instance may fill. A part of a slot
        counts as a whole one. Otherwise an urgency could never start on a
        service with one slot, even if that slot is mostly idle.
        """
        if self._is_unrestricted(urgency):
            return slots
        needed = sum(
            self._needed_slots(other, now) for other in self._deferring[urgency]
        )
        return max(0, math.ceil(slots - needed))

    def goes_last(self, urgency: int) -> bool:
        """Return whether an urgency is ordered behind all others now."""
        return not self._is_unrestricted(urgency)

    def order(self, urgencies: Iterable[int]) -> list[int]:
        """Return the urgencies in the order in which they are served."""
        return sorted(urgencies, key=self._sort_key)

    def _sort_key(self, urgency: int) -> tuple[bool, float]:
        if self.goes_last(urgency):
            return (True, urgency)
        if self._ranked:
            return (False, self._served_fractions.rank(urgency))
        return (False, urgency)

    def _is_unrestricted(self, urgency: int) -> bool:
        if urgency not in self._deferring:
            return True
        return self._served_fractions.fraction(urgency) < _FLOOR

    def _needed_slots(self, urgency: int, now: float) -> float:
        hold_s = self.mean_hold_s(urgency) or 0
        return self._arrivals.per_s(urgency, now) * hold_s

    def _update_deferring(self) -> None:
        deferring: dict[int, frozenset[int]] = {}
        for urgency in self._hold_times:
            others = frozenset(
                other
                for other in self._hold_times
                if other < urgency and self._defers_to(urgency, other)
            )
            if others:
                deferring[urgency] = others
        if deferring != self._deferring:
            self._record_changes(deferring)
            self._deferring = deferring

    def _defers_to(self, urgency: int, other: int) -> bool:
        hold_s = self.mean_hold_s(urgency)
        other_hold_s = self.mean_hold_s(other)
        if hold_s is None or other_hold_s is None:
            return False
        already = other in self._deferring.get(urgency, ())
        ratio = _STOP_RATIO if already else _MIN_RATIO
        return 0 < ratio * other_hold_s <= hold_s

    def _record_changes(self, deferring: dict[int, frozenset[int]]) -> None:
        for urgency in self._hold_times:
            was = self._deferring.get(urgency, frozenset())
            for other in sorted(was ^ deferring.get(urgency, frozenset())):
                self._changes.append(
                    DeferralChange(
                        urgency,
                        other,
                        self.mean_hold_s(urgency) or 0,
                        self.mean_hold_s(other) or 0,
                        is_deferring=other not in was,
                    ),
                )
