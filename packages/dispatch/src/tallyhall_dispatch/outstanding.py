"""What an instance admitted that the others do not know of yet."""

from __future__ import annotations

import collections

import msgspec


class _Charge(msgspec.Struct):
    at: float
    amount: float


class Outstanding:
    """Amounts with their times, until all know of them."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._charges: collections.deque[_Charge] = collections.deque()
        self._total: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add what was admitted now."""
        self._charges.append(_Charge(now, amount))
        self._total += amount

    def take_back(self, amount: float, charged_at: float) -> None:
        """Take back what did not run, if it is outstanding yet."""
        for charge in reversed(self._charges):
            if charge.at < charged_at:
                return
            if charge.at == charged_at and charge.amount >= amount:
                charge.amount -= amount
                self._total -= amount
                return

    def since(self, since: float, known_at: float) -> float:
        """Return what was admitted after a time, at the least `known_at`.

        Forget what was admitted by then.
        """
        charges = self._charges
        while charges and charges[0].at <= known_at:
            self._total -= charges.popleft().amount
        if not charges:
            self._total = 0
        if since <= known_at:
            return self._total
        return sum(one.amount for one in charges if one.at > since)
