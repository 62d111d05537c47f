"""Forecast of how long a queued job waits for a slot.

Each urgency gets only the slots that those served before it leave. Urgencies
that defer are served last and have a slot limit (see `ClassPriority`).
"""

from __future__ import annotations

from collections.abc import Callable

from .class_priority import ClassPriority
from .forecast import Forecast
from .jobs import Job
from .urgency_stats import GrantRates

# Lower bound for the slots per second available to a job, unless the forecast
# is lower.
_MIN_RATE = 0.5


class WaitForecast:
    """Forecasts waits from the grants of the last second."""

    def __init__(
        self,
        rates: GrantRates,
        priority: ClassPriority,
        slot_limit: Callable[[int, float], float],
    ) -> None:
        """Use these grant rates and priorities.

        slot_limit: returns the slot limit of an urgency at a time.
        """
        self._rates = rates
        self._priority = priority
        self._slot_limit = slot_limit
        # Limits by urgency at one time, because computing one reads the state
        # of all upstreams.
        self._limits: dict[int, float] = {}
        self._limits_at: float = 0

    def wait_s(self, job: Job, ahead: int, forecast: Forecast) -> float:
        """Return the expected wait behind `ahead` jobs, 0 if unknown.

        Slots granted to jobs that are served first are not available to this
        one. Its own urgency is expected to get at least as many slots as in the
        last second.
        """
        if not forecast.rate:
            return 0
        rate = self._rate_for(job, forecast)
        return (ahead + 1) / max(rate, min(_MIN_RATE, forecast.rate))

    def _rate_for(self, job: Job, forecast: Forecast) -> float:
        """Return how many slots per second the urgency of a job can get."""
        now = forecast.now
        urgency = job.urgency
        if self._is_at_limit(urgency, now):
            return self._own_releases_per_s(urgency)
        own = self._rates.per_s(urgency, now)
        if self._priority.has_deferring:
            taken = self._taken_per_s(urgency, now)
        else:
            taken = self._rates.above(urgency, now)
        return max(own, forecast.rate - taken)

    def _taken_per_s(self, urgency: int, now: float) -> float:
        """Return the slots per second granted to those served before."""
        own_order = self._order(urgency)
        return sum(
            self._rates.per_s(other, now)
            for other in self._rates.urgencies
            if self._order(other) < own_order
        )

    def _order(self, urgency: int) -> tuple[bool, int]:
        return (self._priority.goes_last(urgency), urgency)

    def _is_at_limit(self, urgency: int, now: float) -> bool:
        if not self._priority.goes_last(urgency):
            return False
        if now != self._limits_at:
            self._limits.clear()
            self._limits_at = now
        if urgency not in self._limits:
            self._limits[urgency] = self._slot_limit(urgency, now)
        return self._priority.running(urgency) >= self._limits[urgency]

    def _own_releases_per_s(self, urgency: int) -> float:
        """Return how many slots the runs of an urgency release per second."""
        hold_s = self._priority.mean_hold_s(urgency)
        return self._priority.running(urgency) / hold_s if hold_s else 0
