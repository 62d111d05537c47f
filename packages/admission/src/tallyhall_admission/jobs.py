"""One request as its owner sees it, waiting or permitted."""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import RequestId
from tallyhall_core.messages import Ask

# Share of a job's remaining time that may go into decoding.
_DECODE_SHARE = 0.8
# How long a job waits for an upstream that has its prefix, at the most, and
# as a share of the time to its deadline.
_PATIENT_S = 3.0
_PATIENT_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class Job:
    """A request that waits.

    deadline: on the owner's clock. output: expected output tokens. rank: of
    its tier, 0 the highest. cached: prompt tokens that some upstream is
    expected to have.
    """

    ask: Ask
    rid: RequestId
    rank: int
    deadline: float
    output: float
    arrived: float
    cached: int = 0

    @property
    def patient_until(self) -> float:
        """Return until when it waits for an upstream that has its prefix."""
        span = self.deadline - self.arrived
        return self.arrived + min(_PATIENT_S, _PATIENT_SHARE * span)

    @property
    def cost(self) -> float:
        """Return the tokens that fairness charges for it."""
        return max(1.0, self.ask.prompt_tokens + self.output)


@dataclasses.dataclass(slots=True)
class Grant:
    """A permit in use, or not yet used."""

    job: Job
    upstream: str
    granted: float
    expected_cached: int = 0
    revoked: bool = False
    revoked_at: float = 0

    @property
    def needed_gap_s(self) -> float:
        """Return the time between tokens that still ends in time."""
        left = self.job.deadline - self.granted
        return _DECODE_SHARE * left / max(self.job.output, 1)

    @property
    def lost_tokens(self) -> int:
        """Return the prompt work thrown away if it is stopped now."""
        return max(0, self.job.ask.prompt_tokens - self.expected_cached)
