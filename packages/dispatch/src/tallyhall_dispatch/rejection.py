"""Early rejection of queued jobs, and the retry delay for their callers.

Under load, a job that cannot meet its deadline is rejected immediately. The
slot that it would use serves another job in time, and its caller learns early
that it should retry.
"""

from __future__ import annotations

import random

import msgspec

from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .switches import Switches
from .urgency_stats import GrantRates

# Bounds for the retry delay of a rejected caller, in seconds: the minimum, the
# maximum, and the minimum for a caller that will be late at any retry.
# Spreading the latter between the last two bounds reduced the cost of rejecting
# it again from 0.015 to 0.014.
_MIN_RETRY_S = 0.25
_MAX_RETRY_S = 3.0
_MIN_LATE_RETRY_S = 1.0
# A job is rejected this many seconds before the time at which no upstream could
# respond in time any more. It covers two sweeps of the queue.
_REJECTION_MARGIN_S = 0.05
# Number of queued jobs that can meet their deadlines from which on late jobs
# are rejected. Fewer occur in the normal jitter of arrivals.
_IN_TIME_THRESHOLD = 3
# Lower bound for the slots per second available to a job, unless the forecast
# is lower.
_MIN_RATE = 0.5
# Maximum retry delay caused by a rate limit of the upstreams, in seconds. The
# limit is likely to change within this time.
_MAX_LIMIT_RETRY_S = 30.0


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
    """A job was rejected without being sent, as it cannot meet its deadline."""

    key: str
    retry_after_s: float
    forecast: RejectionForecast = RejectionForecast()


class RejectionPolicy:
    """Decides which queued jobs of a service are rejected."""

    def __init__(
        self,
        group: UpstreamGroup,
        rates: GrantRates,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Use these upstreams and the grant rates of the urgencies."""
        # Number of queued jobs that could meet their deadlines in the last
        # sweep.
        self.in_time_count = 0
        self._group = group
        self._rates = rates
        self._rng = rng
        self._switches = switches

    def evaluate(
        self, job: Job, ahead: int, forecast: Forecast
    ) -> RejectDecision | None:
        """Return the rejection of a job, or None if it may stay in the queue.

        ahead: number of jobs of the same urgency that are served before it.
        """
        if not self._group.may_serve(job):
            return RejectDecision(job.key, _MIN_RETRY_S)
        backoff_s = self._group.backoff_ends_in_s(job.backoffs, forecast.now)
        if backoff_s:
            # No upstream would accept an earlier retry.
            return RejectDecision(job.key, max(_MIN_RETRY_S, backoff_s))
        forecast = self._group.forecast_for(job, forecast)
        wait_s = self._wait_s(job.urgency, ahead, forecast)
        if self._is_rejected(job, wait_s, forecast):
            return RejectDecision(
                job.key,
                self._retry_s(job, wait_s, forecast.now),
                RejectionForecast(
                    ahead,
                    wait_s,
                    forecast.rate,
                    self._group.free_slots(forecast.now),
                ),
            )
        return None

    def _is_rejected(self, job: Job, wait_s: float, forecast: Forecast) -> bool:
        if (
            job.over_quota
            or forecast.now >= job.reject_at - _REJECTION_MARGIN_S
        ):
            return True
        if not self._switches.early_refusals:
            return False
        starts_at = forecast.now + wait_s
        if forecast.can_meet_deadline(job, starts_at):
            return False
        is_unserveable = starts_at > job.reject_at
        return is_unserveable or self.in_time_count >= _IN_TIME_THRESHOLD

    def _retry_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return the retry delay for the caller.

        Callers that will be late at any retry get a longer delay, so that they
        return after the load peak, with jitter, so that they do not return all
        at once.
        """
        retry_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, 2 * wait_s))
        if self._group.all_limited:
            limit_wait_s = max(wait_s, self._group.next_token_in_s(now))
            retry_s = max(retry_s, min(_MAX_LIMIT_RETRY_S, limit_wait_s))
        will_be_late = now + _MIN_RETRY_S > job.due_at
        if not will_be_late or not self._switches.late_returns:
            return retry_s
        late_retry_s = self._rng.uniform(_MIN_LATE_RETRY_S, _MAX_RETRY_S)
        return max(retry_s, late_retry_s)

    def _wait_s(self, urgency: int, ahead: int, forecast: Forecast) -> float:
        """Return the expected wait behind `ahead` jobs, 0 if unknown.

        Slots granted to more urgent jobs are not available to this one. Its own
        urgency is expected to get at least as many slots as in the last second.
        """
        if not forecast.rate:
            return 0
        others = self._rates.above(urgency, forecast.now)
        own = self._rates.per_s(urgency, forecast.now)
        min_rate = min(_MIN_RATE, forecast.rate)
        rate = max(own, forecast.rate - others, min_rate)
        return (ahead + 1) / rate
