"""Simulated instances that share a retry budget, on simulated time."""

import dataclasses
import random

from tallyhall_dispatch.retries import (
    RetryBudget,
    RetryLimits,
    RetryReservation,
)

LIMITS = RetryLimits(ratio=0.2, allowance=52, window_s=10)


@dataclasses.dataclass(slots=True)
class RetryFleet:
    """Instances that retry as long as their budget allows it."""

    size: int
    limits: RetryLimits = LIMITS
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(6)
    )
    budgets: list[RetryBudget] = dataclasses.field(init=False)
    requests: list[float] = dataclasses.field(default_factory=list)
    retries: list[float] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        """Start all instances."""
        self.budgets = [self._start(0) for _ in range(self.size)]

    def restart(self, number: int, now: float) -> None:
        """Kill an instance and start it again."""
        self.budgets[number] = self._start(now)

    def restart_all(self, now: float) -> None:
        """Kill all instances and start them again."""
        for number in range(self.size):
            self.restart(number, now)

    def join(self, now: float) -> None:
        """Start one more instance, which all others count."""
        self.size += 1
        self.budgets.append(self._start(now))
        for budget in self.budgets:
            budget.instances = self.size

    def request(self, number: int, now: float, rejections: int) -> None:
        """Send a request that is rejected so often, with its retries."""
        budget = self.budgets[number]
        budget.record_request(now)
        self.requests.append(now)
        for _ in range(rejections):
            reservation = budget.reserve(now)
            if reservation is None:
                return
            reservation.commit()
            reservation.settle()
            self.retries.append(now)

    def play(
        self,
        rng: random.Random,
        *,
        seconds: tuple[float, float],
        per_s: float,
        rejected: float,
    ) -> None:
        """Send requests at this rate, of which a share is rejected."""
        now, ends_at = seconds
        while now < ends_at:
            rejections = 0
            while rejections < 3 and rng.random() < rejected:
                rejections += 1
            self.request(rng.randrange(self.size), now, rejections)
            now += rng.expovariate(per_s)

    def _start(self, now: float) -> RetryBudget:
        rng = random.Random(self.rng.random())
        budget = RetryBudget(self.limits, rng, now)
        budget.instances = self.size
        return budget


@dataclasses.dataclass(slots=True)
class PausingFleet(RetryFleet):
    """The same before upstreams that may stop reading."""

    # Retries that wait unread, each with the run of the instance that sent it.
    unread: list[tuple[RetryBudget, RetryReservation]] = dataclasses.field(
        default_factory=list
    )

    def retry_unread(self, number: int, now: float, *, abandons: bool) -> None:
        """Send a request of which a send waits unread, if it may be retried.

        abandons: whether that is the first send, which the retry replaces; else
        it is the retry.
        """
        budget = self.budgets[number]
        budget.record_request(now)
        self.requests.append(now)
        reservation = budget.reserve(now, abandons=abandons)
        if reservation is None:
            return
        reservation.commit()
        reservation.record_overdue()
        self.unread.append((budget, reservation))

    def read_all(self, now: float) -> None:
        """Let the upstreams read all that waits."""
        for budget, reservation in self.unread:
            self.retries.append(now)
            if budget in self.budgets:
                reservation.settle()
        self.unread.clear()
