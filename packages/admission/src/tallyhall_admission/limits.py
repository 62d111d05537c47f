"""The table's limits for one service, held exactly by its one owner.

Because a single owner admits every request of a service, rate, tokens and
concurrency are counted in one place for the whole fleet.
"""

from __future__ import annotations

import dataclasses

from tallyhall_table.model import LimitRow

_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket: `rate` a second, one second's worth of burst."""

    rate: float
    level: float
    at: float

    @classmethod
    def full(cls, rate: float, now: float) -> Bucket:
        """Return a full bucket."""
        return cls(rate, max(rate * _BURST_S, 1), now)

    def wait(self, amount: float, now: float) -> float:
        """Return the seconds until `amount` may be taken, 0 if now.

        An amount above the burst is allowed once the bucket is full, and
        leaves it in debt.
        """
        burst = max(self.rate * _BURST_S, 1)
        self.level = min(burst, self.level + self.rate * (now - self.at))
        self.at = now
        return max(0, (min(amount, burst) - self.level) / self.rate)

    def take(self, amount: float) -> None:
        """Take the amount; `wait` has been asked for it at this moment."""
        self.level -= amount


@dataclasses.dataclass(slots=True)
class _Usage:
    requests: Bucket | None
    tokens: Bucket | None
    row: LimitRow
    running: int = 0


class RowLimits:
    """Usage against the limits of each workspace at the service."""

    def __init__(self) -> None:
        """Start with no rows."""
        self._usage: dict[str, _Usage] = {}

    def configure(self, rows: dict[str, LimitRow], now: float) -> None:
        """Take the table's rows by workspace; keep what is in use."""
        for workspace, row in rows.items():
            used = self._usage.get(workspace)
            if used is not None and used.row == row:
                continue
            running = used.running if used else 0
            self._usage[workspace] = _Usage(
                Bucket.full(row.rate, now) if row.rate else None,
                Bucket.full(row.tokens_per_s, now)
                if row.tokens_per_s
                else None,
                row,
                running,
            )
        for workspace in self._usage.keys() - rows.keys():
            self._usage.pop(workspace)

    def weight(self, workspace: str) -> float:
        """Return the row's weight, 1 where there is no row."""
        used = self._usage.get(workspace)
        return used.row.weight if used else 1.0

    def admit(self, workspace: str, tokens: float, now: float) -> float:
        """Count an arrival; return 0, or the seconds to wait if refused."""
        used = self._usage.get(workspace)
        if used is None:
            return 0
        waits = (
            used.requests.wait(1, now) if used.requests else 0,
            used.tokens.wait(tokens, now) if used.tokens else 0,
        )
        if max(waits) > 0:
            return max(waits)
        if used.requests:
            used.requests.take(1)
        if used.tokens:
            used.tokens.take(tokens)
        return 0

    def has_room(self, workspace: str) -> bool:
        """Return whether the row's concurrency allows one more."""
        used = self._usage.get(workspace)
        if used is None or used.row.concurrency is None:
            return True
        return used.running < used.row.concurrency

    def started(self, workspace: str) -> None:
        """Count one more running request."""
        used = self._usage.get(workspace)
        if used is not None:
            used.running += 1

    def ended(self, workspace: str) -> None:
        """Count one running request less."""
        used = self._usage.get(workspace)
        if used is not None:
            used.running = max(0, used.running - 1)
