"""The retry budget of a service, enforced by each instance on its own.

The budget of all instances together is, in any window, a fraction of the
requests plus a fixed allowance. It counts retries when they reach upstreams.
Each instance has a token bucket: requests and time add tokens, a retry takes
one. A bucket starts empty, and what time adds to all buckets within a window,
together with all that they hold, is at most the allowance. A retry that is not
known to have arrived takes its place in the bucket, as it may arrive in any
later window. So whatever arrives in a window was earned in it or was in a
bucket when it began. Instances that restart or join bring nothing, and a lost
one takes its tokens with it, however often that happens. What upstreams that do
not read hold of lost instances is covered by the part of the allowance that is
not divided: a new run of an instance adds nothing to it (`unread_sends`).
"""

from __future__ import annotations

import random

import msgspec


class RetryLimits(msgspec.Struct, frozen=True):
    """The retries of all instances in any window of `window_s` seconds.

    ratio: retries per request. allowance: retries beyond the ratio.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryUse(msgspec.Struct, frozen=True):
    """What one instance has used of a retry budget.

    requests, retries: counted since the start of the process, retries when they
    are sent. denied: retries that the budget did not allow. available: retries
    allowed at this moment. instances: number of instances that share the
    allowance. unread: retries that were sent and are not known to have arrived.
    """

    requests: int
    retries: int
    denied: int
    available: float
    instances: int
    unread: int = 0


# Part of the allowance that is divided. The rest is for instances that are not
# counted, up to half as many as those that are, and for retries of lost
# instances that upstreams have not read.
_ALLOWANCE_PART = 2 / 3
# Part of an instance's share that its bucket holds. Time adds the rest in each
# window.
_HELD_PART = 2 / 3
# Retries that a bucket holds if the share allows it. In a smaller one, much of
# what requests add would be lost.
_LEAST_HELD = 2


class RetryReservation:
    """A retry that the budget allows, until it has arrived or never will."""

    def __init__(
        self, budget: RetryBudget, price: float, *, abandons: bool
    ) -> None:
        """Hold the tokens that were taken for it."""
        self._budget = budget
        self._price = price
        self._abandons = abandons
        # What it takes of the capacity of the bucket.
        self._held = 1

    def commit(self) -> None:
        """Count the retry as sent; it may arrive from now on."""
        self._hold(self._budget.commit())

    def record_overdue(self) -> None:
        """Record that it takes longer than usual to arrive."""
        self._hold(1)

    def settle(self) -> None:
        """Record that the retry has arrived, or never will."""
        self._hold(0)
        self._budget.settle(abandons=self._abandons)

    def release(self) -> None:
        """Return the tokens of a retry that will not be sent."""
        self._hold(0)
        self._budget.release(self._price, abandons=self._abandons)

    def _hold(self, held: int) -> None:
        self._budget.change_held(held - self._held)
        self._held = held


class RetryBudget:
    """Token bucket for the retries of one service on one instance.

    A retry counts against the capacity of the bucket until it is known to have
    arrived, since it counts in the window in which it arrives. If there are
    more instances than the allowance has retries, a bucket holds less than one
    token. A retry is then allowed with the probability that the tokens pay for,
    and counts against the capacity once it is overdue: any retry under way
    would leave no room.
    """

    def __init__(
        self, limits: RetryLimits, rng: random.Random, started_at: float
    ) -> None:
        """Create a bucket that was empty when the instance started."""
        # Number of instances that share the allowance.
        self.instances = 1
        self._limits = limits
        self._rng = rng
        self._tokens: float = 0
        self._refilled_at = started_at
        # What retries that have not arrived take of the capacity.
        self._held = 0
        # Retries that are sent and not known to have arrived.
        self._unread = 0
        # Reserved or unread retries of requests that an upstream may hold
        # unread.
        self._abandoning = 0
        # Rounds the share in what upstreams may hold unread; drawn when needed.
        self._rounding: float | None = None
        self._requests = 0
        self._retries = 0
        self._denied = 0

    def record_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._refill(now)
        self._requests += 1
        self._add_tokens(self._limits.ratio)

    def reserve(
        self, now: float, *, abandons: bool = False
    ) -> RetryReservation | None:
        """Return a reservation for one retry, None if the budget is spent.

        abandons: whether an upstream may hold an earlier send of the request
        unread, which counts as a retry once it is read.
        """
        self._refill(now)
        if abandons and self._abandoning >= self._max_abandoning():
            self._denied += 1
            return None
        price = self._draw_price() if self._capacity < 1 else 1
        if price is None or self._tokens < price:
            self._denied += 1
            return None
        self._tokens -= price
        self._held += 1
        self._abandoning += abandons
        return RetryReservation(self, price, abandons=abandons)

    def use(self, now: float) -> RetryUse:
        """Return what this instance has used of the budget."""
        self._refill(now)
        return RetryUse(
            self._requests,
            self._retries,
            self._denied,
            self._tokens,
            self.instances,
            self._unread,
        )

    # -- called by reservations

    def commit(self) -> int:
        """Count a reserved retry as sent; return what it holds from now on."""
        self._retries += 1
        self._unread += 1
        return 1 if self._capacity >= 1 else 0

    def change_held(self, change: int) -> None:
        """Change what retries take of the capacity."""
        self._held += change
        self._add_tokens(0)

    def settle(self, *, abandons: bool) -> None:
        """Stop counting a retry that was sent."""
        self._unread -= 1
        self._abandoning -= abandons

    def release(self, price: float, *, abandons: bool) -> None:
        """Return the tokens of a reserved retry that will not be sent."""
        self._abandoning -= abandons
        self._add_tokens(price)

    # -- internals

    @property
    def _share(self) -> float:
        """Return the part of the allowance that this instance uses."""
        return _ALLOWANCE_PART * self._limits.allowance / self.instances

    @property
    def _capacity(self) -> float:
        if self.instances <= self._limits.allowance:
            held = max(_HELD_PART * self._share, min(_LEAST_HELD, self._share))
            return max(1, held)
        # A request may pay for its own retry even without an allowance.
        return max(self._limits.ratio, self._share)

    def _max_abandoning(self) -> int:
        """Return for how many requests upstreams may hold sends unread.

        A fraction is rounded up on as many instances as it stands for.
        """
        if self._rounding is None:
            self._rounding = self._rng.random()
        undivided = (1 - _ALLOWANCE_PART) * self._limits.allowance
        return int(undivided / self.instances + self._rounding)

    def _refill(self, now: float) -> None:
        """Add the tokens that time has earned."""
        earned = max(0, self._share - self._capacity) / self._limits.window_s
        self._add_tokens(earned * (now - self._refilled_at))
        self._refilled_at = now

    def _add_tokens(self, count: float) -> None:
        room = max(0, self._capacity - self._held)
        self._tokens = min(self._tokens + count, room)

    def _draw_price(self) -> float | None:
        """Return all tokens as the price of a retry, or lose them for none."""
        price = self._tokens
        if self._rng.random() < price:
            return price
        self._tokens = 0
        return None
