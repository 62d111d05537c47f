"""Scheduling order of urgency classes under overload.

The most urgent class always goes first. Strict priority among the others would
starve the least urgent class as soon as the engines are saturated, although its
jobs may be the smallest. Therefore the class with the lowest fraction of jobs
served in time goes first, with a bias in favor of more urgent classes so that
they are not served less often than less urgent ones.
"""

from __future__ import annotations

from .windows import SlidingSum

# Weight of the newest job in the moving average of its class: fifty jobs, about
# two seconds of one class, replace two thirds of the average.
_SMOOTHING = 0.02
# Difference of the served fraction at which the next less urgent class goes
# first.
_URGENCY_BIAS = 0.05
_MOST_URGENT = 0
_TOP_RANK = -1.0
# Window of the grant rate in seconds, about the time for which jobs wait, and
# its number of buckets.
_RATE_WINDOW_S = 1.0
_RATE_BUCKETS = 10


class ServedFractions:
    """Fraction of the jobs of each urgency class that was served in time."""

    def __init__(self) -> None:
        """Start as if all jobs had been served in time."""
        self._fractions: dict[int, float] = {}

    def record(self, urgency: int, *, served: bool) -> None:
        """Record whether a job was served in time."""
        fraction = self._fractions.get(urgency, 1)
        self._fractions[urgency] = fraction + _SMOOTHING * (served - fraction)

    def fraction(self, urgency: int) -> float:
        """Return the fraction of the jobs of a class served in time."""
        return self._fractions.get(urgency, 1)

    def rank(self, urgency: int) -> float:
        """Return the sort key of an urgency class; the lowest goes first."""
        if urgency <= _MOST_URGENT:
            return _TOP_RANK
        return self.fraction(urgency) + _URGENCY_BIAS * urgency


class ResponseLengths:
    """Moving average of the number of response events per urgency class.

    The token limit that callers state is about ten times the actual length.
    Estimates based on it would be dominated by the decoding time, which would
    hide how long an engine's prefill takes.
    """

    def __init__(self) -> None:
        """Start without responses."""
        self._events: dict[int, float] = {}

    def record(self, urgency: int, events: int) -> None:
        """Record the length of a response."""
        known = self._events.get(urgency, events)
        self._events[urgency] = known + _SMOOTHING * (events - known)

    def events(self, urgency: int, unknown: float) -> float:
        """Return the expected length of a response, `unknown` without data."""
        return self._events.get(urgency, unknown)


class UrgencyRates:
    """Events per second of each urgency class in the last second."""

    def __init__(self) -> None:
        """Start without events."""
        self._sums: dict[int, SlidingSum] = {}

    @property
    def urgencies(self) -> tuple[int, ...]:
        """Return the urgency classes with events so far."""
        return tuple(self._sums)

    def record(self, urgency: int, now: float) -> None:
        """Record an event."""
        known = self._sums.get(urgency)
        if known is None:
            known = SlidingSum(_RATE_WINDOW_S, _RATE_BUCKETS)
            self._sums[urgency] = known
        known.add(1, now)

    def per_s(self, urgency: int, now: float) -> float:
        """Return the rate of one urgency class."""
        known = self._sums.get(urgency)
        return 0 if known is None else known.total(now) / _RATE_WINDOW_S


class GrantRates:
    """Slots granted per second to each urgency class."""

    def __init__(self) -> None:
        """Start without grants."""
        self._grants = UrgencyRates()
        self._late_grants = UrgencyRates()

    @property
    def urgencies(self) -> tuple[int, ...]:
        """Return the urgency classes that were granted slots."""
        return self._grants.urgencies

    def record(self, urgency: int, now: float, *, late: bool) -> None:
        """Record that a job was granted a slot, and whether it will be late."""
        self._grants.record(urgency, now)
        if late:
            self._late_grants.record(urgency, now)

    def per_s(self, urgency: int, now: float) -> float:
        """Return the grant rate of one urgency class."""
        return self._grants.per_s(urgency, now)

    def late_per_s(self, urgency: int, now: float) -> float:
        """Return the grant rate of the late jobs of one urgency class."""
        return self._late_grants.per_s(urgency, now)

    def in_time_per_s(self, urgency: int, now: float) -> float:
        """Return the grant rate of the jobs in time of one urgency class."""
        return self.per_s(urgency, now) - self.late_per_s(urgency, now)

    def above(self, urgency: int, now: float) -> float:
        """Return the grant rate of all more urgent classes."""
        return sum(
            self.per_s(other, now)
            for other in self.urgencies
            if other < urgency
        )
