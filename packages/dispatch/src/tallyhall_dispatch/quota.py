"""Quotas of workspaces, over all instances.

Each instance holds a replica of every workspace's token bucket. What it
admits is taken at once, what others admit when they report it; between two
reports the sum overshoots by what is admitted meanwhile. An instance that
does not hear some of the others fills its buckets with the share of those
it hears only, so that two halves of a cut fleet together stay within the
quota. A new instance starts with a part of the burst, since the others may
just have spent it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from .desired import Workspace

# Part of a burst that an instance grants right after its start. Two restarts
# of the whole fleet within one window then add less than one burst.
_STARTING_PART = 0.35
# Least wait that a caller over its quota is told, in seconds.
_LEAST_WAIT_S = 0.2


@dataclasses.dataclass(slots=True)
class _Bucket:
    workspace: Workspace
    level: float
    filled_at: float


class Quotas:
    """The replicas of all workspaces' buckets on one instance."""

    def __init__(self) -> None:
        """Start without workspaces."""
        self._buckets: dict[str, _Bucket] = {}
        self._share: float = 1
        self._spent: dict[str, float] = {}

    def configure(self, workspaces: Mapping[str, Workspace], now: float) -> None:
        """Take new rates; a lower burst binds at once."""
        for name, workspace in workspaces.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                start = workspace.burst * _STARTING_PART
                self._buckets[name] = _Bucket(workspace, start, now)
                continue
            self._fill(bucket, now)
            bucket.workspace = workspace
            bucket.level = min(bucket.level, workspace.burst)
        for gone in self._buckets.keys() - workspaces.keys():
            self._buckets.pop(gone)

    def set_share(self, share: float, now: float) -> None:
        """Take which part of the fleet reports to this instance."""
        if share == self._share:
            return
        for bucket in self._buckets.values():
            self._fill(bucket, now)
        self._share = share

    def take(self, name: str, amount: float, now: float) -> float:
        """Admit an amount; return 0, or the seconds until it may fit."""
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.workspace.rate:
            return 0
        self._fill(bucket, now)
        needed = min(amount, bucket.workspace.burst)
        if bucket.level < needed:
            rate = bucket.workspace.rate * self._share
            return max(_LEAST_WAIT_S, (needed - bucket.level) / rate)
        bucket.level -= amount
        self._spent[name] = self._spent.get(name, 0) + amount
        return 0

    def give_back(self, name: str, amount: float, now: float) -> None:
        """Take back an admitted amount that did not run."""
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.workspace.rate:
            return
        self._fill(bucket, now)
        bucket.level = min(bucket.workspace.burst, bucket.level + amount)
        self._spent[name] = self._spent.get(name, 0) - amount

    def reported(self, name: str, amount: float, now: float) -> None:
        """Take that another instance admitted this amount."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        self._fill(bucket, now)
        bucket.level -= amount

    @property
    def spent(self) -> Mapping[str, float]:
        """Return what this instance admitted since its start, by workspace."""
        return self._spent

    def _fill(self, bucket: _Bucket, now: float) -> None:
        workspace = bucket.workspace
        gained = (now - bucket.filled_at) * workspace.rate * self._share
        bucket.level = min(workspace.burst, bucket.level + gained)
        bucket.filled_at = now
