"""The retry budgets of all emulated instances."""

from __future__ import annotations

import random

from tallyhall_dispatch.retries import RetryBudget, RetryLimits

# As deployments set it: a fifth of the requests of ten seconds, and 50.
_RETRY_RATIO = 0.2
_RETRY_ALLOWANCE = 50
_RETRY_WINDOW_S = 10
RETRY_LIMITS = RetryLimits(_RETRY_RATIO, _RETRY_ALLOWANCE, _RETRY_WINDOW_S)


class RetryBudgets:
    """A retry budget for each instance, lost when the instance restarts."""

    def __init__(self, instances: int, rng: random.Random) -> None:
        """Start all instances."""
        self._rng = rng
        self._budgets = [self._start(instances, 0) for _ in range(instances)]

    def of(self, instance: int) -> RetryBudget:
        """Return the budget of an instance."""
        return self._budgets[instance]

    def restart(self, count: int, now: float) -> None:
        """Restart this many instances, drawn at random."""
        instances = len(self._budgets)
        for number in self._rng.sample(range(instances), count):
            self._budgets[number] = self._start(instances, now)

    def _start(self, instances: int, now: float) -> RetryBudget:
        budget = RetryBudget(RETRY_LIMITS, self._rng, now)
        budget.instances = instances
        return budget
