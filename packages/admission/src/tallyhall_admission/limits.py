"""Enforces the table's limits of workspaces at one service.

One owner admits all requests of a service, so the rate, the tokens and the
concurrency of the whole fleet are counted in one place.
"""

from __future__ import annotations

import dataclasses

from tallyhall_table.model import LimitRow

_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket; its burst is the amount of one second."""

    rate: float
    level: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, now: float) -> TokenBucket:
        """Return a full bucket."""
        return cls(rate, max(rate * _BURST_S, 1), now)

    def seconds_until(self, amount: float, now: float) -> float:
        """Return the seconds until `amount` may be taken, 0 if now.

        An amount above the burst is allowed when the bucket is full; taking
        it makes the level negative.
        """
        burst = max(self.rate * _BURST_S, 1)
        self.level = min(
            burst, self.level + self.rate * (now - self.updated_at)
        )
        self.updated_at = now
        return max(0, (min(amount, burst) - self.level) / self.rate)

    def take(self, amount: float) -> None:
        """Take an amount for which `seconds_until` returned 0 at this time."""
        self.level -= amount


@dataclasses.dataclass(slots=True)
class _Usage:
    requests: TokenBucket | None
    tokens: TokenBucket | None
    row: LimitRow
    running: int = 0


class WorkspaceLimits:
    """Limits of each workspace at the service and their usage."""

    def __init__(self) -> None:
        """Start without limits."""
        self._usage: dict[str, _Usage] = {}

    def configure(self, rows: dict[str, LimitRow], now: float) -> None:
        """Apply the table's rows by workspace; keep the running counts."""
        for workspace, row in rows.items():
            used = self._usage.get(workspace)
            if used is not None and used.row == row:
                continue
            running = used.running if used else 0
            self._usage[workspace] = _Usage(
                TokenBucket.full(row.rate, now) if row.rate else None,
                TokenBucket.full(row.tokens_per_s, now)
                if row.tokens_per_s
                else None,
                row,
                running,
            )
        for workspace in self._usage.keys() - rows.keys():
            self._usage.pop(workspace)

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 if it has no row."""
        used = self._usage.get(workspace)
        return used.row.weight if used else 1.0

    def admit(self, workspace: str, tokens: float, now: float) -> float:
        """Charge a new request; return 0, or if refused the seconds to wait."""
        used = self._usage.get(workspace)
        if used is None:
            return 0
        waits = (
            used.requests.seconds_until(1, now) if used.requests else 0,
            used.tokens.seconds_until(tokens, now) if used.tokens else 0,
        )
        if max(waits) > 0:
            return max(waits)
        if used.requests:
            used.requests.take(1)
        if used.tokens:
            used.tokens.take(tokens)
        return 0

    def has_capacity(self, workspace: str) -> bool:
        """Return whether the concurrency limit allows another request."""
        used = self._usage.get(workspace)
        if used is None or used.row.concurrency is None:
            return True
        return used.running < used.row.concurrency

    def count_start(self, workspace: str) -> None:
        """Increment the running requests."""
        used = self._usage.get(workspace)
        if used is not None:
            used.running += 1

    def count_end(self, workspace: str) -> None:
        """Decrement the running requests."""
        used = self._usage.get(workspace)
        if used is not None:
            used.running = max(0, used.running - 1)
