"""Quotas of workspaces, over all instances.

A workspace may use `rate * window + burst` in any window of the given
length. Each instance sums what all instances admitted over the last window:
what it admits itself at once, what others admit when they report it.
Between two reports, and until a cut is noticed, nobody knows what the others
admit. So each instance holds back: until the others have counted it, it admits
no more than its share of what is left. Strict shares together are no more than
that. Two things go beyond them: a first request may be larger than any share,
and while little is used a share is generous, since what all admit within a
beat then fits.

What cannot be known is assumed on the safe side. An instance that hears
only a part of the fleet uses only that part of the quota, so that two
halves of a cut fleet together stay within it. A restarted instance has
forgotten what all admitted: it takes that from an instance that has run
for a window, or, where all have restarted, from what one of them wrote to
the store while the use was high. Where nothing was written, the use was below
that mark; it is taken as even over the window and fades in one.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

import msgspec

from .desired import Workspace
from .outstanding import Outstanding
from .topology import is_mesh
from .windows import SlidingSum

# Use above this part of a quota is written to the store; up to it nothing
# is, and that much counts as used at a restart. Workspaces use 0.55 of their
# quota on a calm day, which then costs no writes.
_WRITTEN_PART = 0.6
# Use above this part of a quota is told to all with every beat, so that
# those that do not hear each other know it from one that hears all; what is
# used below it cannot exceed a quota together with their own.
_HIGH_PART = 0.5
# The use is written again once a workspace was admitted this part of what its
# quota may be exceeded by: so much may be forgotten when all processes end,
# beside what was given to requests above the quota. Each write wakes every
# watch: 24 of 61 calls of an instance on a calm day, one every 1.6 s.
_UNWRITTEN_PART = 0.3
# What another instance knows is repeated with each of its beats, which come
# at most 1.1 s apart at 87 instances. What is older than the newest that is
# heard by this is replaced by it; what nobody replaces still counts.
_HEARD_S = 2.5
# Returns are told by then: two beats, which come 1.1 s apart at 87 instances.
_RETURNS_TOLD_S = 2.5
# Use below this part of a quota is calm: at 8 times a usual load of 0.55 of
# the quota, what all admit until a silence of 1.5 beats is seen stays in it.
# A mesh beats each 0.19 s at the most, a large fleet each 1.1 s at 87.
_CALM_PART = 0.65
_CALM_PART_MESH = 0.8
# Of what is left while the use is calm, so much may be admitted here before it
# is counted, and at any time by one request in a large fleet: requests of
# 50,000 tokens fit at 87 instances, where an even share of a quota of 4.7
# million tokens is 27,000.
_CALM_SHARE = 1 / 8
# Part of the granted slack that lone instances may use together; the rest
# covers what is admitted between two reports.
_SLACK_PART = 0.5
# Part of what a quota may be exceeded by that is given to requests above it
# while places are free. The rest is for what is admitted between two reports,
# 0.15 s apart: half of 140,000 tokens, a usual slack, bears 470,000 a second of
# one workspace, about all that nine engines can read.
_SPARE_PART = 0.5
# Least wait that a caller over its quota is told, in seconds.
_LEAST_WAIT_S = 0.2
# Ages and amounts of the use of all, by workspace, as written.
Written = Mapping[str, tuple[tuple[float, float], ...]]
# The sum of a window moves in steps of this part of it.
_STEPS = 40


class QuotaBounds(msgspec.Struct, frozen=True):
    """How quotas are measured and by how much they may be exceeded."""

    window_s: float
    overshoot: float
    slack: float


class Fleet(msgspec.Struct, frozen=True):
    """How much of the fleet reports here; heard is a part of one.

    known_at: what this instance had admitted by then is known to all that
    it hears, None where it hears nobody else. counted_at: to one that tells
    all, None while any may be cut off.
    """

    instances: int = 1
    heard: float = 1
    known_at: float | None = None
    counted_at: float | None = None


class QuotaSeen(msgspec.Struct, frozen=True):
    """What was known when a request was admitted or refused.

    used: by all within the last window. limit: what it is held against.
    heard: part of the fleet. known_s_ago: age of the knowledge of it.
    """

    used: float
    limit: float
    heard: float
    known_s_ago: float


class UseReport(msgspec.Struct, frozen=True):
    """One workspace's use as an instance reports it.

    total: admitted by the instance since its start. within_window: of that
    in the last window. fleet: admitted by all instances in the last window,
    as far as the instance knows. is_high: whether that is much of the quota.
    returned: of the total, what did not run. oldest_return_s: seconds from
    charge to return of the one among the last returns that waited longest.
    """

    total: float
    within_window: float
    fleet: float
    is_high: bool
    returned: float
    oldest_return_s: float


class FleetUse(msgspec.Struct, frozen=True):
    """The use of all as another instance, which hears more, has counted it.

    amount: within the last window. counted: of the total of the instance
    that is told.
    """

    sender: str
    amount: float
    counted: float
    at: float


class _Recalled(msgspec.Struct, frozen=True):
    """A part of the use before a restart, and when it leaves the window."""

    ends_at: float
    amount: float


class _Use:
    def __init__(self, workspace: Workspace, window_s: float) -> None:
        self.workspace = workspace
        self.total: float = 0
        # Admitted by all since this instance knows them.
        self.fleet_total: float = 0
        self.written_total: float | None = None
        self.own = SlidingSum(window_s, _STEPS)
        self.others = SlidingSum(window_s, _STEPS)
        self.outstanding = Outstanding()
        self.returned: float = 0
        # Times and waits of the last returns, but for those that a later one
        # outlasts: the first is the longest.
        self._returns: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.heard: dict[str, FleetUse] = {}

    def admit(self, amount: float, now: float) -> None:
        """Add what this instance admits."""
        self.own.add(amount, now)
        self.outstanding.add(amount, now)
        self.total += amount
        self.fleet_total += amount

    def give_back(self, amount: float, charged_at: float, now: float) -> None:
        """Take back what did not run, where it was charged."""
        self.own.take_back(amount, charged_at, now)
        self.outstanding.take_back(amount, charged_at)
        self.returned += amount
        self.fleet_total -= amount
        wait_s = now - charged_at
        while self._returns and self._returns[-1][1] <= wait_s:
            self._returns.pop()
        self._returns.append((now, wait_s))

    def oldest_return_s(self, now: float) -> float:
        """Return the longest wait among the last returns.

        Others take all of them back at this age: what leaves the window too
        early leaves their sum too high. A mean would hide what ran between
        two charges for as long as they are apart.
        """
        returns = self._returns
        while returns and now - returns[0][0] > _RETURNS_TOLD_S:
            returns.popleft()
        return returns[0][1] if returns else 0


class Quotas:
    """Use of all workspaces' quotas as known on one instance."""

    def __init__(self, bounds: QuotaBounds, started_at: float) -> None:
        """Start without workspaces and without a memory of their use."""
        self._unknown_until = started_at + bounds.window_s
        self._recalled: dict[str, tuple[_Recalled, ...]] = {}
        self._bounds = bounds
        self._uses: dict[str, _Use] = {}
        self._fleet = Fleet()
        self._has_written = False

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

    def recall(self, written: Written, now: float) -> None:
        """Take what was written of the use of all before the restart.

        The time since the writing is not known and taken as none.
        """
        for name, parts in written.items():
            self._recalled[name] = tuple(
                _Recalled(now + self._bounds.window_s - age_s, amount)
                for age_s, amount in parts
            )

    def knows_past(self, now: float) -> bool:
        """Return whether the use before the start matters no more."""
        return now >= self._unknown_until

    def adopt(self, fleet_use: Mapping[str, float], now: float) -> None:
        """Take the use of all as an instance knows it that did not restart."""
        self._unknown_until = now
        for use in self._uses.values():
            # What others reported until now is in the sum that is adopted.
            use.others = SlidingSum(self._bounds.window_s, _STEPS)
        for name, amount in fleet_use.items():
            self.reported(name, amount, now)

    def take(self, name: str, amount: float, now: float) -> float:
        """Admit an amount; return 0, or the seconds until it may fit."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return 0
        used = self._used(use, now)
        over = used + amount - self._allowed(use.workspace)
        if over > 0:
            return max(_LEAST_WAIT_S, over / use.workspace.rate)
        if amount > self._share(use, used, now, within_quota=True):
            return _LEAST_WAIT_S
        use.admit(amount, now)
        return 0

    def take_spare(self, name: str, amount: float, now: float) -> bool:
        """Admit an amount above the quota, for places that are free anyway.

        Only where the use of all is known: the bound that operators grant
        beyond the quota must hold over all instances.
        """
        use = self._uses.get(name)
        if use is None or self._fleet.heard < 1 or not self.knows_past(now):
            return False
        used = self._used(use, now)
        if used + amount > self._ceiling(use.workspace):
            return False
        if amount > self._share(use, used, now, within_quota=False):
            return False
        use.admit(amount, now)
        return True

    def seen(self, name: str, now: float) -> QuotaSeen | None:
        """Return what decides now, None where there is no quota."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return None
        known_at = self._fleet.known_at
        return QuotaSeen(
            self._used(use, now),
            self._allowed(use.workspace),
            self._fleet.heard,
            0 if known_at is None else now - known_at,
        )

    def give_back(
        self,
        name: str,
        amount: float,
        charged_at: float,
        now: float,
    ) -> None:
        """Take back an admitted amount that did not run.

        It leaves the window with its charge: a return that stayed longer made
        the sum too low for as long as the request had waited.
        """
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return
        if now - charged_at < self._bounds.window_s:
            use.give_back(amount, charged_at, now)

    def reported(self, name: str, amount: float, now: float) -> None:
        """Take that another instance admitted this amount."""
        use = self._uses.get(name)
        if use is not None:
            use.others.add(amount, now)
            use.fleet_total += amount

    def returned(
        self,
        name: str,
        amount: float,
        charged_at: float,
        now: float,
    ) -> None:
        """Take that another instance gave back what it had admitted."""
        use = self._uses.get(name)
        if use is not None:
            use.others.take_back(amount, charged_at, now)
            use.fleet_total -= amount

    def own_returned(self, name: str) -> float:
        """Return what this instance gave back since its start."""
        use = self._uses.get(name)
        return 0 if use is None else use.returned

    def heard(self, name: str, fleet_use: FleetUse) -> None:
        """Take what another instance knows of the use of all."""
        use = self._uses.get(name)
        if use is not None:
            use.heard[fleet_use.sender] = fleet_use

    def report(self, now: float) -> Mapping[str, UseReport]:
        """Return this instance's use by workspace."""
        reports = {}
        for name, use in self._uses.items():
            own = use.own.total(now)
            fleet = own + use.others.total(now)
            if fleet or use.total:
                high = _HIGH_PART * self._limit(use.workspace)
                reports[name] = UseReport(
                    use.total,
                    own,
                    fleet,
                    0 < high < fleet,
                    use.returned,
                    use.oldest_return_s(now),
                )
        return reports

    def worth_writing(self, now: float) -> Written:
        """Return the use of all of those quotas that are used much."""
        worth = {}
        for name, use in self._uses.items():
            high = _WRITTEN_PART * self._limit(use.workspace)
            if self._used(use, now) > high:
                worth[name] = (
                    *self._recalled_parts(name, now),
                    *use.own.parts(now),
                    *use.others.parts(now),
                )
        return worth

    def due_writing(self, now: float) -> Written | None:
        """Return the use that must be written now, None for nothing."""
        worth = self.worth_writing(now)
        if not worth:
            return worth if self._has_written else None
        for name in worth:
            use = self._uses[name]
            if use.written_total is None:
                return worth
            unwritten = use.fleet_total - use.written_total
            beyond = self._beyond(use.workspace)
            if unwritten > _UNWRITTEN_PART * beyond:
                return worth
        return None

    def note_written(self, written: Written) -> None:
        """Take that this was written; nothing for one that does not write."""
        self._has_written = bool(written)
        for name, use in self._uses.items():
            use.written_total = use.fleet_total if name in written else None

    def _recalled_parts(
        self,
        name: str,
        now: float,
    ) -> tuple[tuple[float, float], ...]:
        # A second restart must not forget what the first one recalled.
        if self.knows_past(now):
            return ()
        return tuple(
            (self._bounds.window_s - (part.ends_at - now), part.amount)
            for part in self._recalled.get(name, ())
            if part.ends_at > now
        )

    def _used(self, use: _Use, now: float) -> float:
        own = use.own.total(now)
        others = _others_heard(use, own, now - self._bounds.window_s)
        known = own + max(use.others.total(now), others)
        if self.knows_past(now):
            return known
        # A part of the fleet has its part of the quota, so it counts the same
        # part of what the whole fleet used.
        return known + self._fleet.heard * self._used_before(use, now)

    def _used_before(self, use: _Use, now: float) -> float:
        """Return what all used before this start, as far as it counts yet."""
        recalled = self._recalled.get(use.workspace.name)
        if recalled is not None:
            return sum(part.amount for part in recalled if part.ends_at > now)
        left_s = self._unknown_until - now
        faded = _WRITTEN_PART * left_s / self._bounds.window_s
        return faded * self._limit(use.workspace)

    def _share(
        self,
        use: _Use,
        used: float,
        now: float,
        *,
        within_quota: bool,
    ) -> float:
        """Return what may be admitted before the others have counted it.

        Strict shares add up to what is left, whatever each instance admits
        meanwhile, also one that is cut off and does not know. A calm use gives
        more; so does a first request, which may be larger than any share.
        """
        fleet = self._fleet
        if fleet.known_at is None:
            return math.inf
        mesh = is_mesh(fleet.instances)
        calm_part = _CALM_PART_MESH if mesh else _CALM_PART
        calm = used < calm_part * self._limit(use.workspace)
        counted_at = fleet.counted_at if calm else fleet.known_at
        calm = calm and counted_at is not None
        outstanding = use.outstanding.since(
            fleet.known_at if counted_at is None else counted_at,
            fleet.known_at,
        )
        known = used - outstanding
        first = within_quota and not outstanding
        if first and (calm or (mesh and fleet.counted_at is not None)):
            return self._allowed(use.workspace) - known
        part = self._part(use.own.total(now) - outstanding, known, use)
        if calm or (first and not mesh):
            part = max(part, _CALM_SHARE)
        return part * self._left(use, known) - outstanding

    def _part(self, own: float, known: float, use: _Use) -> float:
        """Return this instance's part: half even, half by what it used."""
        heard = max(1, self._fleet.heard * self._fleet.instances)
        high = _HIGH_PART * self._limit(use.workspace)
        return (1 / heard + own / max(known, high)) / 2

    def _left(self, use: _Use, known: float) -> float:
        workspace = use.workspace
        left = self._allowed(workspace)
        if self._fleet.heard >= 1:
            left = self._ceiling(workspace)
        if is_mesh(self._fleet.instances):
            return left - known
        # Hubs do not tell of less.
        return left - max(known, _HIGH_PART * self._limit(workspace))

    def _allowed(self, workspace: Workspace) -> float:
        limit = self._limit(workspace)
        if self._fleet.heard >= 1:
            return limit
        alone = self._beyond(workspace) * _SLACK_PART / self._fleet.instances
        return min(limit, limit * self._fleet.heard + alone)

    def _ceiling(self, workspace: Workspace) -> float:
        """Return a quota with what requests above it may have together."""
        beyond = _SPARE_PART * self._beyond(workspace)
        return self._limit(workspace) + beyond

    def _beyond(self, workspace: Workspace) -> float:
        """Return by how much the operators let a quota be exceeded."""
        limit = self._limit(workspace)
        return limit * self._bounds.overshoot + self._bounds.slack

    def _limit(self, workspace: Workspace) -> float:
        return workspace.rate * self._bounds.window_s + workspace.burst


def _others_heard(use: _Use, own: float, since: float) -> float:
    """Return what others have used, as those say who hear them.

    What they have counted of this instance's own use is not among it. News
    that stay away do not make the use zero; they count until they have left
    the window.
    """
    most: float = 0
    newest = max((fleet.at for fleet in use.heard.values()), default=0)
    oldest = max(since, newest - _HEARD_S)
    for fleet in use.heard.values():
        if fleet.at < oldest:
            continue
        own_counted = own - max(0, use.total - fleet.counted)
        most = max(most, fleet.amount - max(0, own_counted))
    return most
