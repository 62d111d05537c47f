"""When an engine is slowed by other workloads on its machine."""

from __future__ import annotations

import random

from .scenario import Slowdowns


class SlowdownTrace:
    """The slowdowns of one engine, drawn as time goes on.

    They depend on the random generator alone, so that two sets of switches
    meet the same slowdowns.
    """

    def __init__(self, spec: Slowdowns, rng: random.Random) -> None:
        """Start in either state with its probability."""
        self._spec = spec
        self._rng = rng
        self._is_slowed = rng.random() < spec.share
        self._until = self._duration_s()

    def factor(self, now: float) -> float:
        """Return the factor of all times; `now` never decreases."""
        while self._until <= now:
            self._is_slowed = not self._is_slowed
            self._until += self._duration_s()
        return self._spec.factor if self._is_slowed else 1

    def _duration_s(self) -> float:
        mean_s = self._spec.mean_s
        if not self._is_slowed:
            mean_s *= (1 - self._spec.share) / self._spec.share
        return self._rng.expovariate(1 / mean_s)
