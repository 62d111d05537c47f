"""Selects the queued jobs to check for rejection, with their positions."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from .class_priority import ClassPriority
from .forecast import Forecast
from .jobs import Job
from .rejection import RejectionPolicy
from .switches import Switches
from .waiting import WaitingJobs

# Interval of the sweeps that search the queue for late jobs, in seconds; short
# relative to any latency objective.
_SWEEP_INTERVAL_S = 0.02
# Queue length above which the sweep interval grows in proportion. Checking a
# job takes 3 us, so sweeps use less than 2% of a core.
_SWEEP_BASE_JOBS = 100


class QueueChecks:
    """Finds the jobs to check and counts the jobs ahead of each."""

    def __init__(
        self,
        waiting: WaitingJobs,
        policy: RejectionPolicy,
        priority: ClassPriority,
        switches: Switches,
    ) -> None:
        """Check the jobs of this queue."""
        self._waiting = waiting
        self._policy = policy
        self._priority = priority
        self._switches = switches
        self._unchecked: list[str] = []
        self._last_sweep_at: float = 0

    def add(self, key: str) -> None:
        """Check a new job the next time."""
        self._unchecked.append(key)

    def clear(self) -> None:
        """Forget the new jobs, as the queue is empty."""
        self._unchecked.clear()

    @property
    def new_jobs(self) -> Iterator[Job]:
        """Return the queued jobs that have not been checked yet."""
        jobs = map(self._waiting.get, self._unchecked)
        return (job for job in jobs if job is not None)

    def next_jobs(self, forecast: Forecast) -> Iterator[tuple[Job, int]]:
        """Yield the jobs to check for rejection.

        Each job comes with the number of jobs of its urgency ahead of it. New
        jobs are checked immediately, all jobs in a sweep every
        `_SWEEP_INTERVAL_S`.
        """
        unchecked = self._unchecked
        self._unchecked = []
        factor = max(1, len(self._waiting) / _SWEEP_BASE_JOBS)
        if forecast.now - self._last_sweep_at >= _SWEEP_INTERVAL_S * factor:
            yield from self._sweep(forecast)
            return
        for key in unchecked:
            job = self._waiting.get(key)
            if job is not None:
                yield job, self._count_ahead(job, forecast)

    def _sweep(self, forecast: Forecast) -> Iterator[tuple[Job, int]]:
        self._last_sweep_at = forecast.now
        in_time = {
            job.key
            for job in self._waiting.all()
            if forecast.can_meet_deadline(job, forecast.now)
        }
        self._policy.in_time_count = len(in_time)
        ahead: collections.Counter[int] = collections.Counter()
        late_ahead: collections.Counter[int] = collections.Counter()
        for job in sorted(self._waiting.all(), key=_due_at):
            is_late = job.key not in in_time
            position = ahead[job.urgency]
            if self._waits_behind_late(is_late=is_late):
                position += late_ahead[job.urgency]
            yield job, position
            counts = late_ahead if is_late else ahead
            counts[job.urgency] += self._waiting.get(job.key) is not None

    def _count_ahead(self, job: Job, forecast: Forecast) -> int:
        is_late = not forecast.can_meet_deadline(job, forecast.now)
        counts_late = self._waits_behind_late(is_late=is_late)
        return sum(
            other.urgency == job.urgency
            and other.due_at < job.due_at
            and (counts_late or forecast.can_meet_deadline(other, forecast.now))
            for other in self._waiting.all()
        )

    def _waits_behind_late(self, *, is_late: bool) -> bool:
        """Return whether late jobs with earlier deadlines are served first.

        Late jobs only use idle slots, so no job in time waits behind them.
        """
        return not self._switches.late_aside or (
            is_late and self._priority.has_deferring
        )


def _due_at(job: Job) -> float:
    return job.due_at
