"""What is foreseen of a service when its queue is looked at."""

from __future__ import annotations

import msgspec

from .jobs import Job


class Forecast(msgspec.Struct, frozen=True):
    """What the upstreams of a service can do from a moment on.

    rate: places that become free in a second, 0 if unknown. first_s: fixed
    part of the time to a first event. token_s: least time to read a token of
    a prompt, anywhere.
    """

    now: float
    rate: float
    first_s: float
    token_s: float

    def may_be_in_time(self, job: Job, starts_at: float) -> bool:
        """Return whether the fastest upstream could be in time."""
        first_s = self.first_s + job.prompt_tokens * self.token_s
        return starts_at + first_s <= job.due_at
