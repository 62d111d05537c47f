"""The retry delay for callers whose jobs were rejected."""

from __future__ import annotations

import random

from .group import UpstreamGroup
from .jobs import Job
from .switches import Switches

# Bounds for the retry delay of a rejected caller, in seconds: the minimum, the
# maximum, and the minimum for a caller that will be late at any retry. The
# delays of such callers are spread between the last two bounds, so that few of
# them return at the same time.
MIN_RETRY_S = 0.25
_MAX_RETRY_S = 3.0
_MIN_LATE_RETRY_S = 1.0
# Maximum retry delay caused by a rate limit of the upstreams, in seconds. The
# limit is likely to change within this time.
_MAX_LIMIT_RETRY_S = 30.0


class RetryDelays:
    """Chooses the time after which a rejected caller should retry."""

    def __init__(
        self,
        group: UpstreamGroup,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Use the rate limits of these upstreams."""
        self._group = group
        self._rng = rng
        self._switches = switches

    def delay_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return the retry delay for a rejected caller.

        Callers that will be late at any retry get a longer delay, so that they
        return after the load peak, with jitter, so that they do not return all
        at once.
        """
        retry_s = min(_MAX_RETRY_S, max(MIN_RETRY_S, 2 * wait_s))
        if self._group.all_limited:
            retry_s = max(retry_s, self._limit_wait_s(wait_s, now))
        will_be_late = now + MIN_RETRY_S > job.due_at
        if not will_be_late or not self._switches.late_returns:
            return retry_s
        late_retry_s = self._rng.uniform(_MIN_LATE_RETRY_S, _MAX_RETRY_S)
        return max(retry_s, late_retry_s)

    def _limit_wait_s(self, wait_s: float, now: float) -> float:
        """Return the wait for a slot that a rate limit admits."""
        limit_wait_s = max(wait_s, self._group.next_token_in_s(now))
        return min(_MAX_LIMIT_RETRY_S, limit_wait_s)
