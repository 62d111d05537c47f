"""How fast a service's upstreams are now, summed up once for many jobs.

Forecasts look at every waiting job; working each one out on each upstream
took most of an owner's time. A pace is worked out once a decision, and a
job's forecast from it is a few multiplications.
"""

from __future__ import annotations

import dataclasses

from .jobs import Job
from .upstream import Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Seconds of a run: base + slope * prompt tokens + token * output."""

    base: float = 0
    slope: float = 0
    token: float = 0

    def run(self, job: Job) -> float:
        """Return the expected seconds for a job."""
        prompt = max(0, job.ask.prompt_tokens - job.cached)
        return self.base + self.slope * prompt + self.token * job.output


@dataclasses.dataclass(frozen=True, slots=True)
class Paces:
    """The fastest upstream now, the fastest if idle, and the middling."""

    fastest: Pace = Pace()
    idle: Pace = Pace()
    mean: Pace = Pace()
    slots: int = 0
    free: int = 0

    @classmethod
    def of(cls, upstreams: list[Upstream]) -> Paces:
        """Sum up these upstreams."""
        if not upstreams:
            return cls()
        now = [_pace(up, up.speed.token_s.value) for up in upstreams]
        idle = [_pace(up, up.speed.best_token_s) for up in upstreams]
        count = len(now)
        return cls(
            min(now, key=_typical),
            min(idle, key=_typical),
            Pace(
                sum(pace.base for pace in now) / count,
                sum(pace.slope for pace in now) / count,
                sum(pace.token for pace in now) / count,
            ),
            sum(up.limit.slots for up in upstreams),
            sum(up.free() for up in upstreams),
        )


_TYPICAL_PROMPT = 500
_TYPICAL_OUTPUT = 100


def _typical(pace: Pace) -> float:
    prompt = pace.slope * _TYPICAL_PROMPT
    return pace.base + prompt + pace.token * _TYPICAL_OUTPUT


def _pace(upstream: Upstream, token_s: float) -> Pace:
    speed = upstream.speed
    base = speed.first_s.at(0) + speed.call_s.value
    return Pace(base, speed.first_s.slope, token_s)
