"""Sums over a sliding window of time, in constant memory."""

from __future__ import annotations

import collections


class SlidingSum:
    """A sum of amounts over the last `window_s` seconds.

    Amounts are kept in buckets of `window_s / parts`; an amount counts for
    up to one bucket longer than the window, never shorter.
    """

    def __init__(self, window_s: float, parts: int = 20) -> None:
        """Start empty."""
        self._window = window_s
        self._bucket = window_s / parts
        self._buckets: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._total: float = 0

    def add(self, amount: float, now: float, age_s: float = 0) -> None:
        """Add an amount as of so long ago; one beyond the window is gone."""
        self._expire(now)
        if age_s >= self._window:
            return
        self._total += amount
        at = now - age_s
        place = len(self._buckets)
        while place and self._buckets[place - 1][0] > at:
            place -= 1
        if place and at - self._buckets[place - 1][0] < self._bucket:
            start, held = self._buckets[place - 1]
            self._buckets[place - 1] = (start, held + amount)
            return
        self._buckets.insert(place, (at, amount))

    def take_back(self, amount: float, added_at: float, now: float) -> None:
        """Take an amount back where it was added, so that both leave at once.

        What has left the window stays as it is.
        """
        self._expire(now)
        if not self._buckets or added_at <= now - self._window:
            return
        place = len(self._buckets) - 1
        while place and self._buckets[place][0] > added_at:
            place -= 1
        start, held = self._buckets[place]
        self._buckets[place] = (start, held - amount)
        self._total -= amount

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        self._expire(now)
        return self._total

    def newest(self, now: float, within_s: float) -> float:
        """Return the sum of what was added in the last seconds."""
        self._expire(now)
        total: float = 0
        for start, amount in reversed(self._buckets):
            if start < now - within_s:
                break
            total += amount
        return total

    def oldest(self, now: float, within_s: float) -> float:
        """Return the sum of what leaves the window in the next seconds."""
        self._expire(now)
        total: float = 0
        ends_at = now - self._window - self._bucket + within_s
        for start, amount in self._buckets:
            if start > ends_at:
                break
            total += amount
        return total

    def parts(self, now: float) -> tuple[tuple[float, float], ...]:
        """Return the ages and amounts that make up the sum."""
        self._expire(now)
        return tuple(
            (max(0, now - start - self._bucket), amount)
            for start, amount in self._buckets
        )

    def _expire(self, now: float) -> None:
        oldest = now - self._window - self._bucket
        while self._buckets and self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0
