"""Admitted amounts that other instances do not know about yet."""

from __future__ import annotations

import collections

import msgspec


class _Charge(msgspec.Struct):
    at: float
    amount: float


class Outstanding:
    """Admitted amounts with their times, until all instances know them."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._charges: collections.deque[_Charge] = collections.deque()
        self._total: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add an amount admitted at `now`."""
        self._charges.append(_Charge(now, amount))
        self._total += amount

    def subtract(self, amount: float, charged_at: float) -> None:
        """Subtract the amount of a request that did not run, if still held."""
        for charge in reversed(self._charges):
            if charge.at < charged_at:
                return
            if charge.at == charged_at and charge.amount >= amount:
                charge.amount -= amount
                self._total -= amount
                return

    def amount_since(self, since: float, known_at: float) -> float:
        """Return the amount admitted after `since` and after `known_at`.

        Amounts admitted up to `known_at` are known to all instances and are
        removed.
        """
        charges = self._charges
        while charges and charges[0].at <= known_at:
            self._total -= charges.popleft().amount
        if not charges:
            self._total = 0
        if since <= known_at:
            return self._total
        return sum(one.amount for one in charges if one.at > since)
