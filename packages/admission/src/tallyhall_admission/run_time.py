"""Run time estimates aggregated over the upstreams of a service.

Forecasts consider every waiting job. Estimating each job on each upstream
took most of an owner's CPU time; the aggregate is computed once per decision,
and estimating a job with it takes a few multiplications.
"""

from __future__ import annotations

import dataclasses

from .jobs import Job
from .upstream import Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimeModel:
    """Run time: base + slope * prompt tokens + token * output tokens."""

    base: float = 0
    slope: float = 0
    token: float = 0

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of a job."""
        prompt = max(0, job.ask.prompt_tokens - job.expected_cached)
        return (
            self.base + self.slope * prompt + self.token * job.expected_output
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRunTimes:
    """Run times of a service's upstreams.

    fastest: fastest upstream at the current load. idle: fastest upstream
    without load. mean: average of all upstreams at the current load.
    """

    fastest: RunTimeModel = RunTimeModel()
    idle: RunTimeModel = RunTimeModel()
    mean: RunTimeModel = RunTimeModel()
    slots: int = 0
    free_slots: int = 0

    @classmethod
    def summarize(cls, upstreams: list[Upstream]) -> ServiceRunTimes:
        """Aggregate these upstreams."""
        if not upstreams:
            return cls()
        now = [_run_time_model(up, up.speed.token_s.value) for up in upstreams]
        idle = [_run_time_model(up, up.speed.best_token_s) for up in upstreams]
        count = len(now)
        return cls(
            min(now, key=_typical_run_s),
            min(idle, key=_typical_run_s),
            RunTimeModel(
                sum(model.base for model in now) / count,
                sum(model.slope for model in now) / count,
                sum(model.token for model in now) / count,
            ),
            sum(up.limit.slots for up in upstreams),
            sum(up.free_slots() for up in upstreams),
        )


_TYPICAL_PROMPT = 500
_TYPICAL_OUTPUT = 100


def _typical_run_s(model: RunTimeModel) -> float:
    prompt = model.slope * _TYPICAL_PROMPT
    return model.base + prompt + model.token * _TYPICAL_OUTPUT


def _run_time_model(upstream: Upstream, token_s: float) -> RunTimeModel:
    speed = upstream.speed
    base = speed.first_s.predict(0) + speed.call_s.value
    return RunTimeModel(base, speed.first_s.slope, token_s)
