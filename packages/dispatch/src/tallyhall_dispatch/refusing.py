"""Which waiting jobs are given up, and when their callers may return.

Under load a job that cannot be in time is given up at once: the place that it
would take serves another job in time, and its caller learns early that it
should come back.
"""

from __future__ import annotations

import random

import msgspec

from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .shares import GrantRates
from .switches import Switches

# What a refused caller is told to wait, in seconds: at least, at most, and at
# least where it will be late whenever it comes back. Spread between the last
# two, the price of refusing it again fell from 0.015 to 0.014.
_LEAST_RETRY_S = 0.25
_LONGEST_RETRY_S = 3.0
_LATE_RETRY_S = 1.0
# A job is given up this long before an upstream could no longer answer it, in
# seconds: two looks at the queue.
_GIVE_UP_MARGIN_S = 0.05
# Jobs that can be in time and wait, from which on a late job is given up:
# fewer are the ordinary jitter of arrivals.
_IN_TIME_MANY = 3
# Places in a second that are taken for granted at least, unless there are less.
_LEAST_RATE = 0.5
# Nobody is told to wait longer for the turn that a named limit leaves, in
# seconds: the limit will have changed.
_LONGEST_TURN_S = 30.0


class Outlook(msgspec.Struct, frozen=True):
    """What was foreseen of a job's wait.

    ahead: jobs that are served before it. rate: places that become free in a
    second. free: places that were free.
    """

    ahead: int = 0
    wait_s: float = 0
    rate: float = 0
    free: int = 0


class GivenUp(msgspec.Struct, frozen=True):
    """A job cannot be answered in time; it was not sent."""

    key: str
    retry_after_s: float
    outlook: Outlook = Outlook()


class Refusing:
    """Gives up jobs of one service."""

    def __init__(
        self,
        group: UpstreamGroup,
        rates: GrantRates,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Judge by these upstreams and by what each urgency is granted."""
        # Waiting jobs that could be in time, at the last sweep.
        self.in_time = 0
        self._group = group
        self._rates = rates
        self._rng = rng
        self._switches = switches

    def judge(self, job: Job, ahead: int, forecast: Forecast) -> GivenUp | None:
        """Return why a job must not wait on, or None if it may.

        ahead: how many of its urgency are served before it.
        """
        if not self._group.may_serve(job):
            return GivenUp(job.key, _LEAST_RETRY_S)
        rest_s = self._group.opens_in_s(job.resting, forecast.now)
        if rest_s:
            # Nobody would take it if it came back sooner.
            return GivenUp(job.key, max(_LEAST_RETRY_S, rest_s))
        forecast = self._group.forecast_for(job, forecast)
        wait_s = self._wait_s(job.urgency, ahead, forecast)
        if self._must_go(job, wait_s, forecast):
            return GivenUp(
                job.key,
                self._retry_s(job, wait_s, forecast.now),
                Outlook(
                    ahead,
                    wait_s,
                    forecast.rate,
                    self._group.free_places(forecast.now),
                ),
            )
        return None

    def _must_go(self, job: Job, wait_s: float, forecast: Forecast) -> bool:
        if job.spare or forecast.now >= job.give_up_at - _GIVE_UP_MARGIN_S:
            return True
        if not self._switches.early_refusals:
            return False
        starts_at = forecast.now + wait_s
        if forecast.may_be_in_time(job, starts_at):
            return False
        hopeless = starts_at > job.give_up_at
        return hopeless or self.in_time >= _IN_TIME_MANY

    def _retry_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return after how long the caller should come back.

        Who will be late whenever it comes back comes when there is less to
        do, and not all of them at once.
        """
        retry_s = min(_LONGEST_RETRY_S, max(_LEAST_RETRY_S, 2 * wait_s))
        if self._group.is_bound:
            turn_s = max(wait_s, self._group.limits_open_in_s(now))
            retry_s = max(retry_s, min(_LONGEST_TURN_S, turn_s))
        will_be_late = now + _LEAST_RETRY_S > job.due_at
        if not will_be_late or not self._switches.late_returns:
            return retry_s
        longer_s = self._rng.uniform(_LATE_RETRY_S, _LONGEST_RETRY_S)
        return max(retry_s, longer_s)

    def _wait_s(self, urgency: int, ahead: int, forecast: Forecast) -> float:
        """Return the forecast wait behind so many, 0 where nothing is known.

        What is granted to more urgent jobs is not there for this one; what
        its own urgency was granted in the last second goes on.
        """
        if not forecast.rate:
            return 0
        others = self._rates.above(urgency, forecast.now)
        own = self._rates.per_s(urgency, forecast.now)
        least = min(_LEAST_RATE, forecast.rate)
        rate = max(own, forecast.rate - others, least)
        return (ahead + 1) / rate
