"""Quotas of workspaces, over all instances.

A workspace may use `rate * window + burst` in any window of the given
length. Each instance sums what all instances admitted over the last window:
what it admits itself at once, what others admit when they report it.
Between two reports the sum overshoots by what is admitted meanwhile, which
the slack that operators grant covers many times over.

What cannot be known is assumed on the safe side. An instance that hears
only a part of the fleet uses only that part of the quota, so that two
halves of a cut fleet together stay within it. A restarted instance has
forgotten what it admitted, so a part of the quota that shrinks over one
window counts as used.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from .desired import Workspace
from .windows import SlidingSum

# Part of a restarted instance's share that counts as used at its start. The
# slack bears the rest: two restarts of the whole fleet within one window
# stay below the bound.
_FORGOTTEN_PART = 0.7
# Part of the granted slack that lone instances may use together; the rest
# covers what is admitted between two reports.
_SLACK_PART = 0.5
# Least wait that a caller over its quota is told, in seconds.
_LEAST_WAIT_S = 0.2
# The sum of a window moves in steps of this part of it.
_STEPS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How quotas are measured and by how much they may be exceeded."""

    window_s: float
    overshoot: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """How much of the fleet's use is known here, as parts of one.

    heard: instances that report here, with this one. forgotten: instances
    that restarted a moment ago, each weighted by how little of a window has
    passed since.
    """

    instances: int = 1
    heard: float = 1
    forgotten: float = 0


class _Use:
    def __init__(self, workspace: Workspace, window_s: float) -> None:
        self.workspace = workspace
        self.total: float = 0
        self.own = SlidingSum(window_s, _STEPS)
        self.others = SlidingSum(window_s, _STEPS)


class Quotas:
    """Use of all workspaces' quotas as known on one instance."""

    def __init__(self, bounds: QuotaBounds) -> None:
        """Start without workspaces."""
        self._bounds = bounds
        self._uses: dict[str, _Use] = {}
        self._fleet = Fleet()

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Take new rates; lower ones bind at once."""
        for name, workspace in workspaces.items():
            use = self._uses.get(name)
            if use is None:
                self._uses[name] = _Use(workspace, self._bounds.window_s)
                continue
            use.workspace = workspace
        for gone in self._uses.keys() - workspaces.keys():
            self._uses.pop(gone)

    def take_fleet(self, fleet: Fleet) -> None:
        """Take how much of the fleet's use is known."""
        self._fleet = fleet

    def take(self, name: str, amount: float, now: float) -> float:
        """Admit an amount; return 0, or the seconds until it may fit."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return 0
        over = self._used(use, now) + amount - self._allowed(use.workspace)
        if over > 0:
            return max(_LEAST_WAIT_S, over / use.workspace.rate)
        use.own.add(amount, now)
        use.total += amount
        return 0

    def give_back(self, name: str, amount: float, now: float) -> None:
        """Take back an admitted amount that did not run."""
        use = self._uses.get(name)
        if use is not None and use.workspace.rate:
            use.own.add(-amount, now)
            use.total -= amount

    def reported(self, name: str, amount: float, now: float) -> None:
        """Take that another instance admitted this amount."""
        use = self._uses.get(name)
        if use is not None:
            use.others.add(amount, now)

    def report(self, now: float) -> Mapping[str, tuple[float, float]]:
        """Return this instance's use by workspace.

        Two amounts each: since the start, and within the last window.
        """
        return {
            name: (use.total, use.own.total(now))
            for name, use in self._uses.items()
            if use.total
        }

    def _used(self, use: _Use, now: float) -> float:
        forgotten = self._fleet.forgotten * _FORGOTTEN_PART
        known = use.own.total(now) + use.others.total(now)
        return known + forgotten * self._limit(use.workspace)

    def _allowed(self, workspace: Workspace) -> float:
        limit = self._limit(workspace)
        if self._fleet.heard >= 1:
            return limit
        slack = limit * self._bounds.overshoot + self._bounds.slack
        alone = slack * _SLACK_PART / self._fleet.instances
        return min(limit, limit * self._fleet.heard + alone)

    def _limit(self, workspace: Workspace) -> float:
        return workspace.rate * self._bounds.window_s + workspace.burst
