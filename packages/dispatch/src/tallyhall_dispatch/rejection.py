"""Early rejection of queued jobs, and the retry delay for their callers.

Under load, a job that cannot meet its deadline is rejected immediately. The
slot that it would use serves another job in time, and its caller learns early
that it should retry.
"""

from __future__ import annotations

import enum
import random

import msgspec

from .class_priority import ClassPriority
from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .retry_delays import MIN_RETRY_S, RetryDelays
from .switches import Switches
from .wait_forecast import WaitForecast

# A job is rejected this many seconds before the time at which no upstream could
# respond in time any more. It covers two sweeps of the queue.
_REJECTION_MARGIN_S = 0.05
# Number of queued jobs that can meet their deadlines from which on late jobs
# are rejected. Fewer occur in the normal jitter of arrivals.
_IN_TIME_THRESHOLD = 3


@enum.unique
class RejectionCause(enum.StrEnum):
    """Why a job was rejected.

    no_upstream: no upstream accepts it. over_quota: it exceeds its quota and no
    slot is idle. late: it would be late, and other jobs can still be in time.
    no_slot: no slot is expected before its caller's timeout.
    """

    no_upstream = 'no_upstream'
    over_quota = 'over_quota'
    late = 'late'
    no_slot = 'no_slot'


class RejectionForecast(msgspec.Struct, frozen=True):
    """The forecast on which the rejection of a job was based.

    ahead: number of jobs served before it. wait_s: expected wait. rate: slots
    that become free per second. free: number of free slots.
    """

    ahead: int = 0
    wait_s: float = 0
    rate: float = 0
    free: int = 0


class RejectDecision(msgspec.Struct, frozen=True):
    """A job was rejected without being sent.

    cause: reason for the log, None unless an urgency of its service defers.
    """

    key: str
    retry_after_s: float
    forecast: RejectionForecast = RejectionForecast()
    cause: RejectionCause | None = None


class RejectionPolicy:
    """Decides which queued jobs of a service are rejected."""

    def __init__(
        self,
        group: UpstreamGroup,
        wait_forecast: WaitForecast,
        priority: ClassPriority,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Use these upstreams, forecasts of waits and priorities."""
        # Number of queued jobs that could meet their deadlines in the last
        # sweep.
        self.in_time_count = 0
        self._group = group
        self._priority = priority
        self._wait_forecast = wait_forecast
        self._retry_delays = RetryDelays(group, rng, switches)
        self._switches = switches

    def evaluate(
        self, job: Job, ahead: int, forecast: Forecast
    ) -> RejectDecision | None:
        """Return the rejection of a job, or None if it may stay in the queue.

        ahead: number of jobs of the same urgency that are served before it.
        """
        if not self._group.may_serve(job):
            return self._reject_unsendable(job, 0)
        backoff_s = self._group.backoff_ends_in_s(job.backoffs, forecast.now)
        if backoff_s:
            # No upstream would accept an earlier retry.
            return self._reject_unsendable(job, backoff_s)
        all_rate = forecast.rate
        forecast = self._group.forecast_for(job, forecast)
        if job.version is not None and all_rate:
            # Most of the jobs ahead start on upstreams of other versions.
            ahead = round(ahead * min(1, forecast.rate / all_rate))
        wait_s = self._wait_forecast.wait_s(job, ahead, forecast)
        cause = self._cause(job, wait_s, forecast)
        if cause is None:
            return None
        return RejectDecision(
            job.key,
            self._retry_delays.delay_s(job, wait_s, forecast.now),
            RejectionForecast(
                ahead,
                wait_s,
                forecast.rate,
                self._group.free_slots(forecast.now),
            ),
            self._cause_to_log(cause),
        )

    def _reject_unsendable(self, job: Job, backoff_s: float) -> RejectDecision:
        return RejectDecision(
            job.key,
            max(MIN_RETRY_S, backoff_s),
            cause=self._cause_to_log(RejectionCause.no_upstream),
        )

    def _cause_to_log(self, cause: RejectionCause) -> RejectionCause | None:
        """Return the cause, None unless an urgency of the service defers."""
        return cause if self._priority.has_deferring else None

    def _cause(
        self, job: Job, wait_s: float, forecast: Forecast
    ) -> RejectionCause | None:
        """Return why a job is rejected, None if it is not."""
        if job.over_quota:
            return RejectionCause.over_quota
        if forecast.now >= job.reject_at - _REJECTION_MARGIN_S:
            return RejectionCause.no_slot
        if not self._switches.early_refusals:
            return None
        starts_at = forecast.now + wait_s
        if forecast.can_meet_deadline(job, starts_at):
            return None
        if starts_at > job.reject_at:
            return RejectionCause.no_slot
        if self.in_time_count >= _IN_TIME_THRESHOLD:
            return RejectionCause.late
        return None
