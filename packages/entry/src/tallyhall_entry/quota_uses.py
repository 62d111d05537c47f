"""Actual quota use at any time, from the logs of all instances."""

from __future__ import annotations

import bisect
import collections
import operator

import msgspec


class _Charge(msgspec.Struct):
    at_s: float
    amount: float
    # Time of the refund if the request did not run.
    until_s: float = float('inf')


class ActualQuotaUse:
    """The charges of all requests, which may be added in any order."""

    def __init__(self) -> None:
        """Start without charges."""
        self._by_request: dict[str, _Charge] = {}
        self._by_workspace: dict[str, list[_Charge]] = collections.defaultdict(
            list,
        )
        self._is_sorted = True

    def add_charge(
        self,
        request: str,
        workspace: str,
        at_s: float,
        amount: float,
    ) -> None:
        """Record that a request was admitted."""
        charge = _Charge(at_s, amount)
        self._by_request[request] = charge
        self._by_workspace[workspace].append(charge)
        self._is_sorted = False

    def add_refund(self, request: str, at_s: float) -> None:
        """Record that a request was refused after it had been admitted."""
        charge = self._by_request.get(request)
        if charge is not None:
            charge.until_s = at_s

    def used(self, workspace: str, at_s: float, window_s: float) -> float:
        """Return the use of a workspace in the window before a time."""
        if not self._is_sorted:
            for unsorted in self._by_workspace.values():
                unsorted.sort(key=_charged_at)
            self._is_sorted = True
        charges = self._by_workspace.get(workspace, [])
        first = bisect.bisect_left(charges, at_s - window_s, key=_charged_at)
        last = bisect.bisect_left(charges, at_s, key=_charged_at)
        return sum(
            charge.amount
            for charge in charges[first:last]
            if charge.until_s > at_s
        )


_charged_at = operator.attrgetter('at_s')
