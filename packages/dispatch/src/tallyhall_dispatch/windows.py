"""Sums over a sliding time window, in bounded memory."""

from __future__ import annotations

import collections


class SlidingSum:
    """A sum of amounts over the last `window_s` seconds.

    Amounts are aggregated in buckets of `window_s / parts` seconds. An amount
    may count for up to one bucket longer than the window, but never shorter.
    """

    def __init__(self, window_s: float, parts: int = 20) -> None:
        """Create an empty window."""
        self._window = window_s
        self._bucket = window_s / parts
        self._buckets: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._total: float = 0

    def add(self, amount: float, now: float, age_s: float = 0) -> None:
        """Add an amount with the given age.

        An amount that is older than the window is ignored.
        """
        self._expire(now)
        if age_s >= self._window:
            return
        self._total += amount
        at = now - age_s
        index = len(self._buckets)
        while index and self._buckets[index - 1][0] > at:
            index -= 1
        if index and at - self._buckets[index - 1][0] < self._bucket:
            start, held = self._buckets[index - 1]
            self._buckets[index - 1] = (start, held + amount)
            return
        self._buckets.insert(index, (at, amount))

    def subtract(self, amount: float, added_at: float, now: float) -> None:
        """Subtract an amount from the bucket to which it was added.

        Both then leave the window at the same time. Nothing is subtracted if
        the amount has already left the window.
        """
        self._expire(now)
        if not self._buckets or added_at <= now - self._window:
            return
        index = len(self._buckets) - 1
        while index and self._buckets[index][0] > added_at:
            index -= 1
        start, held = self._buckets[index]
        self._buckets[index] = (start, held - amount)
        self._total -= amount

    def total(self, now: float) -> float:
        """Return the sum over the window that ends at `now`."""
        self._expire(now)
        return self._total

    def newest(self, now: float, within_s: float) -> float:
        """Return the sum of the amounts added in the last `within_s`."""
        self._expire(now)
        total: float = 0
        for start, amount in reversed(self._buckets):
            if start < now - within_s:
                break
            total += amount
        return total

    def oldest(self, now: float, within_s: float) -> float:
        """Return the sum of the amounts that expire in the next `within_s`."""
        self._expire(now)
        total: float = 0
        ends_at = now - self._window - self._bucket + within_s
        for start, amount in self._buckets:
            if start > ends_at:
                break
            total += amount
        return total

    def buckets(self, now: float) -> tuple[tuple[float, float], ...]:
        """Return the age and amount of each bucket."""
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
