"""What one instance may still send to an upstream that names a limit.

The instance that places the requests of all has the whole limit. One that
decides beside others that do the same has its part of it, which may be less
than a request in a minute. All of them may begin to decide alone at the same
moment, so what each has then is drawn: otherwise each would have a request, or
none would for a minute.
"""

from __future__ import annotations

import random

# What was not used in this time is lost, in seconds: an upstream in need is
# spared bursts.
_KEPT_S = 0.5
# Requests that others decided count here as well; of those above the limit, as
# many as it allows in this time, in seconds.
_OWED_S = 2.0
# One that takes nothing is asked this often in a second whether that holds.
_LEAST_PER_S = 0.2


class TokenBucket:
    """Tokens for requests, at a rate."""

    def __init__(self, now: float, rng: random.Random) -> None:
        """Start at rate 0, at which no request may be sent."""
        self._rng = rng
        self._tokens: float = 0
        self._looked_at = now
        # Tokens a second.
        self.rate: float = 0

    def change_rate(self, per_s: float, part: float, now: float) -> None:
        """Give this part of so many tokens a second from now on."""
        self._look(now)
        if part and not self.rate:
            self._tokens = self._rng.random()
        self.rate = max(_LEAST_PER_S, per_s) * part

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent."""
        self._look(now)
        return self.rate > 0 and self._tokens >= 1

    def opens_in_s(self, now: float) -> float:
        """Return when the next request may be sent: 0 if now or unknown."""
        self._look(now)
        return max(0, 1 - self._tokens) / self.rate if self.rate else 0

    def take(self) -> None:
        """Take that a request is sent, also one that others decided."""
        most_owed = max(1, _OWED_S * self.rate)
        self._tokens = max(-most_owed, self._tokens - 1)

    def give_back(self) -> None:
        """Take that a request was not sent after all."""
        self._tokens += 1

    def _look(self, now: float) -> None:
        most = max(1, _KEPT_S * self.rate)
        earned = (now - self._looked_at) * self.rate
        self._looked_at = now
        self._tokens = min(self._tokens + earned, most)
