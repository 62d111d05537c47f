"""Forecast of how long a queued job waits for a slot.

Each urgency gets only a part of the slots that become free. Where an urgency
defers (see `ClassPriority`), the parts also depend on which jobs are late, as
late jobs are served behind those in time, and on the slot limits.
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
        slot_limit: Callable[[int, float], int],
    ) -> None:
        """Use these grant rates and priorities.

        slot_limit: returns the slot limit of an urgency at a time.
        """
        self._rates = rates
        self._priority = priority
        self._slot_limit = slot_limit

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
        now = forecast.now
        if self._priority.has_deferring:
            if self._is_at_limit(job.urgency, now):
                return self._own_releases_per_s(job.urgency)
            return self._available_per_s(job, forecast)
        own = self._rates.per_s(job.urgency, now)
        return max(own, forecast.rate - self._rates.above(job.urgency, now))

    def _is_at_limit(self, urgency: int, now: float) -> bool:
        if not self._priority.goes_last(urgency):
            return False
        return self._priority.running(urgency) >= self._slot_limit(urgency, now)

    def _own_releases_per_s(self, urgency: int) -> float:
        """Return how many slots the runs of an urgency release per second."""
        hold_s = self._priority.mean_hold_s(urgency)
        return self._priority.running(urgency) / hold_s if hold_s else 0

    def _available_per_s(self, job: Job, forecast: Forecast) -> float:
        """Return the slots per second that are left for a job of this kind."""
        now = forecast.now
        late = not forecast.can_meet_deadline(job, now)
        rates = self._rates
        own = (
            rates.late_per_s(job.urgency, now)
            if late
            else rates.in_time_per_s(job.urgency, now)
        )
        taken = sum(
            self._taken_per_s(other, job.urgency, now, late=late)
            for other in rates.urgencies
        )
        return max(own, forecast.rate - taken)

    def _taken_per_s(
        self, other: int, urgency: int, now: float, *, late: bool
    ) -> float:
        """Return the slots per second that another urgency gets first.

        A deferring urgency is served behind all that do not defer and behind
        more urgent ones. Among the others, a job in time is served behind the
        jobs in time of more urgent ones, a late job behind all jobs of more
        urgent ones and all jobs in time, including those of its own urgency.
        """
        is_above = other < urgency
        other_last = self._priority.goes_last(other)
        if self._priority.goes_last(urgency):
            if is_above or not other_last:
                return self._rates.per_s(other, now)
            return 0
        if other_last:
            return 0
        if is_above and late:
            return self._rates.per_s(other, now)
        return self._rates.in_time_per_s(other, now) if late or is_above else 0
