"""Decides when a restarted instance may adopt fleet-wide quota use from a peer.

The adopted total contains what the sending peer has received. Use that other
instances reported to this instance shortly before may not be in it yet, so it
is added on top: overcounting is safer than undercounting. The total is adopted
only after every other instance has been heard for that period, so that no
first report can omit older use.
"""

from __future__ import annotations

import msgspec

# Within this time every instance has reported to every other one twice: in a
# full mesh, heartbeats are 0.15 s apart.
_SETTLE_S = 0.3


class _UseReport(msgspec.Struct, frozen=True):
    workspace: str
    sender: str
    amount: float
    at: float


class AdoptionReadiness:
    """Reports received until an instance knows the use of the fleet."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._reports: list[_UseReport] = []
        # Latest incarnation of each other instance, and its first contact.
        self._heard_since: dict[str, tuple[str, float]] = {}

    def record_contact(self, sender: str, incarnation: str, now: float) -> None:
        """Record that another instance has sent a message."""
        known, _ = self._heard_since.get(sender, ('', now))
        if known != incarnation:
            self._heard_since[sender] = (incarnation, now)

    def record_report(
        self,
        workspace: str,
        sender: str,
        amount: float,
        now: float,
    ) -> None:
        """Record an amount that another instance reported as admitted."""
        self._reports = [
            report for report in self._reports if now - report.at < _SETTLE_S
        ]
        self._reports.append(_UseReport(workspace, sender, amount, now))

    def count_settled(self, names: frozenset[str], now: float) -> int:
        """Return how many of these instances have been heard long enough."""
        return sum(
            name in names and now - since >= _SETTLE_S
            for name, (_, since) in self._heard_since.items()
        )

    def recently_reported(self, workspace: str, but: str, now: float) -> float:
        """Return the use reported recently by all instances except `but`."""
        return sum(
            report.amount
            for report in self._reports
            if report.workspace == workspace
            and report.sender != but
            and now - report.at < _SETTLE_S
        )
