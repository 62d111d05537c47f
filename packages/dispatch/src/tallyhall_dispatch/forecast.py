"""Capacity forecast of a service, used to schedule its queue."""

from __future__ import annotations

import msgspec

from .jobs import Job


class Forecast(msgspec.Struct, frozen=True):
    """The capacity of the upstreams of a service from a given time on.

    rate: slots that become free per second, 0 if unknown. first_s: fixed part
    of the time to the first event. token_s: prefill time per prompt token on
    the fastest upstream.
    """

    now: float
    rate: float
    first_s: float
    token_s: float

    def can_meet_deadline(self, job: Job, starts_at: float) -> bool:
        """Return whether the fastest upstream could meet the deadline.

        starts_at: when the job would start.
        """
        first_s = self.first_s + job.prompt_tokens * self.token_s
        return starts_at + first_s <= job.due_at
