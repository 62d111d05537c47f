"""Requests at the owner of a service: queued jobs and issued permits."""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import RequestId
from tallyhall_core.messages import Ask

# Share of a job's remaining time that decoding may take.
_DECODE_SHARE = 0.8
# Longest wait for a slot on an upstream that has the job's prefix cached, in
# seconds and as a share of the time to the job's deadline.
_MAX_PREFIX_WAIT_S = 3.0
_MAX_PREFIX_WAIT_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class Job:
    """A request that waits for a permit.

    rank: rank of its tier, 0 is the highest. deadline: on the owner's clock.
    expected_output: in tokens. expected_cached: the most prompt tokens that
    any upstream is expected to have cached.
    """

    ask: Ask
    rid: RequestId
    rank: int
    deadline: float
    expected_output: float
    arrived_at: float
    expected_cached: int = 0

    @property
    def prefix_wait_until(self) -> float:
        """Return until when it waits for an upstream with its prefix."""
        span = self.deadline - self.arrived_at
        return self.arrived_at + min(
            _MAX_PREFIX_WAIT_S, _MAX_PREFIX_WAIT_SHARE * span
        )

    @property
    def cost(self) -> float:
        """Return the tokens charged to its workspace for fair sharing."""
        return max(1.0, self.ask.prompt_tokens + self.expected_output)


@dataclasses.dataclass(slots=True)
class Grant:
    """A permit that was issued and not returned."""

    job: Job
    upstream: str
    granted_at: float
    expected_cached: int = 0
    revoked: bool = False
    revoked_at: float = 0

    @property
    def required_gap_s(self) -> float:
        """Return the time between tokens that just meets the deadline."""
        left = self.job.deadline - self.granted_at
        return _DECODE_SHARE * left / max(self.job.expected_output, 1)

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens whose computation a revocation wastes."""
        return max(0, self.job.ask.prompt_tokens - self.expected_cached)
