"""Token bucket for an upstream that announces a rate limit.

An instance that schedules the requests of all instances uses the whole limit.
If several instances schedule independently, each uses a part of it, which may
be less than a request per minute. All of them may start to schedule
independently at the same time, so the initial number of tokens is random.
Otherwise either all of them would send a request at once, or none of them for a
minute.
"""

from __future__ import annotations

import random

# Capacity of the bucket, in seconds at its rate. It is small to spare an
# overloaded upstream bursts.
_CAPACITY_S = 0.5
# Requests that may be under way to an upstream that has not begun to answer
# them, in seconds at the rate: if it stops reading, they arrive together later.
_MAX_UNREAD_S = 1.5
# Maximum debt of the bucket, in seconds at its rate. Requests that other
# instances scheduled take tokens too and may exceed the limit.
_MAX_DEBT_S = 2.0
# Requests per second that are sent to an upstream with a lower limit, also with
# a limit of 0, to learn when its limit changes.
_MIN_PER_S = 0.2


class TokenBucket:
    """A token bucket with a rate that may change."""

    def __init__(self, now: float, rng: random.Random) -> None:
        """Create a bucket with rate 0, which allows no requests."""
        self._rng = rng
        self._tokens: float = 0
        self._refilled_at = now
        # Tokens per second.
        self.rate: float = 0

    def update_rate(self, per_s: float, part: float, now: float) -> None:
        """Set the rate to `part` of `per_s` tokens per second."""
        self._refill(now)
        if part and not self.rate:
            self._tokens = self._rng.random()
        self.rate = max(_MIN_PER_S, per_s) * part

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        return self.rate > 0 and self._tokens >= 1

    def may_send(self, now: float, unread: int) -> bool:
        """Return whether a request may be sent.

        unread: requests that the upstream may not have read yet.
        """
        if unread >= max(1, _MAX_UNREAD_S * self.rate):
            return False
        return self.has_token(now)

    def next_token_in_s(self, now: float) -> float:
        """Return the seconds until the next request may be sent.

        The result is 0 if one may be sent now or if the rate is 0.
        """
        self._refill(now)
        return max(0, 1 - self._tokens) / self.rate if self.rate else 0

    def take_token(self) -> None:
        """Take a token for a request, also if another instance scheduled it."""
        max_debt = max(1, _MAX_DEBT_S * self.rate)
        self._tokens = max(-max_debt, self._tokens - 1)

    def return_token(self) -> None:
        """Return the token of a request that was not sent."""
        self._tokens += 1

    def _refill(self, now: float) -> None:
        capacity = max(1, _CAPACITY_S * self.rate)
        earned = (now - self._refilled_at) * self.rate
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, capacity)
