"""Quotas of workspaces, over all instances.

A workspace may use `rate * window + burst` in any window of the given
length. Each instance sums what all instances admitted over the last window:
what it admits itself at once, what others admit when they report it.
Between two reports, and until a cut is noticed, nobody knows what the others
admit. So each instance holds back: until the others have counted it, it admits
no more than its share of what is left. Strict shares together are no more than
that. Two things go beyond them: a first request may be larger than any share,
and a share is generous while what all admit meanwhile fits: in a small fleet
while little is used, in a large one while the others' knowledge is new.

What cannot be known is assumed on the safe side. An instance that hears
only a part of the fleet uses only that part of the quota, so that two
halves of a cut fleet together stay within it. A restarted instance has
forgotten what all admitted: it takes that from an instance that has run
for a window, or, where all have restarted, from what one of them wrote to
the store while the use was high. Where nothing was written, the use was below
that mark; it is taken as even over the window and fades in one.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from .desired import Workspace
from .quota_limits import Fleet, QuotaBounds, QuotaLimits
from .quota_use import FleetUse, Parts, Use, UseReport

# Use above this part of a quota is written to the store; up to it nothing is,
# and that much counts as used at a restart: a usual use costs no writes.
_WRITTEN_PART = 0.6
# The use is written again once a workspace was admitted this part of what its
# quota may be exceeded by: so much may be forgotten when all processes end,
# beside what was given to requests above the quota. Each write wakes every
# watch.
_UNWRITTEN_PART = 0.3
# Least wait that a caller over its quota is told, in seconds.
_LEAST_WAIT_S = 0.2
# Ages and amounts of the use of all, by workspace, as written.
Written = Mapping[str, Parts]


class QuotaSeen(msgspec.Struct, frozen=True):
    """What was known when a request was admitted or refused.

    used: by all within the last window. limit: what it is held against.
    heard: part of the fleet. known_s_ago: age of the knowledge of it. quota:
    the limit of all together, in any window of `window_s`.
    """

    used: float
    limit: float
    heard: float
    known_s_ago: float
    quota: float
    window_s: float


class _Recalled(msgspec.Struct, frozen=True):
    """A part of the use before a restart, and when it leaves the window."""

    ends_at: float
    amount: float


class Quotas:
    """Use of all workspaces' quotas as known on one instance."""

    def __init__(self, bounds: QuotaBounds, started_at: float) -> None:
        """Start without workspaces and without a memory of their use."""
        self._known_from = started_at
        self._unknown_until = started_at + bounds.window_s
        self._recalled: dict[str, tuple[_Recalled, ...]] = {}
        self._bounds = bounds
        self._uses: dict[str, Use] = {}
        self._fleet = Fleet()
        self._has_written = False
        # Whether somebody asked for a quota that is used so much that what
        # others admit meanwhile decides.
        self._wants_news = False

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Take new rates; lower ones bind at once."""
        for name, workspace in workspaces.items():
            use = self._uses.get(name)
            if use is None:
                self._uses[name] = Use(
                    workspace,
                    self._bounds.window_s,
                    self._known_from,
                )
                continue
            use.workspace = workspace
        for gone in self._uses.keys() - workspaces.keys():
            self._uses.pop(gone)

    @property
    def news_s(self) -> float:
        """Return how often others are asked where their use decides."""
        return self._fleet.news_s

    @property
    def known_at(self) -> float | None:
        """Return until when others know what was admitted here."""
        return self._fleet.known_at

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

    def adopt(self, fleet_use: Written, now: float) -> None:
        """Take the use of all others as one knows it that did not restart."""
        self._known_from = now
        self._unknown_until = now
        for name, use in self._uses.items():
            use.adopt(fleet_use.get(name, ()), now)

    def take(self, name: str, amount: float, now: float) -> float:
        """Admit an amount; return 0, or the seconds until it may fit."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return 0
        used = self._used(use, now)
        limits = self._limits(use)
        if not limits.is_calm(used):
            self._wants_news = True
        reserve = limits.reserve(use.unheard(now, self._fleet.news_s))
        over = used + reserve + amount - limits.allowed
        if over > 0:
            return max(_LEAST_WAIT_S, over / use.workspace.rate)
        if amount > self._share(use, used, now, within_quota=True):
            return _LEAST_WAIT_S
        use.admit(amount, now)
        return 0

    def take_wants_news(self) -> bool:
        """Return whether others must hear at once, and of them; once."""
        wanted = self._wants_news
        self._wants_news = False
        return wanted

    def take_spare(self, name: str, amount: float, now: float) -> bool:
        """Admit an amount above the quota, for places that are free anyway.

        Only where the use of all is known: the bound that operators grant
        beyond the quota must hold over all instances.
        """
        use = self._uses.get(name)
        if use is None or self._fleet.heard < 1 or not self.knows_past(now):
            return False
        used = self._used(use, now)
        unheard = use.unheard(now, self._fleet.news_s)
        if used + unheard + amount > self._limits(use).ceiling:
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
            self._limits(use).allowed,
            self._fleet.heard,
            0 if known_at is None else now - known_at,
            self._limits(use).quota,
            self._bounds.window_s,
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

    def reported(
        self,
        name: str,
        amount: float,
        now: float,
        age_s: float = 0,
    ) -> None:
        """Take that another instance admitted this amount so long ago."""
        use = self._uses.get(name)
        if use is not None:
            use.reported(amount, now, age_s)

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
            use.take_back(amount, charged_at, now)

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
            fleet = own + use.others(now, self._before(use, now))
            if fleet or use.fleet_total or use.total:
                high = self._limits(use).high
                reports[name] = UseReport(
                    use.total,
                    own,
                    fleet,
                    use.rate(now),
                    use.leaves(now),
                    0 < high < fleet,
                    use.returned,
                    use.oldest_return_s(now),
                )
        return reports

    def own_parts(self, name: str, now: float) -> Parts:
        """Return what this instance admitted in the last window, by age."""
        use = self._uses.get(name)
        return () if use is None else use.told_parts(use.own.parts(now))

    def fleet_parts(self, name: str, now: float) -> Parts:
        """Return what all did, as far as this instance knows."""
        use = self._uses.get(name)
        if use is None:
            return ()
        return use.told_parts((*use.own.parts(now), *use.others_parts(now)))

    def returns(self, name: str, after: float, now: float) -> Parts:
        """Return what was given back beyond a sum, by the ages of charges."""
        use = self._uses.get(name)
        return () if use is None else use.returns(after, now)

    def worth_writing(self, now: float) -> Written:
        """Return the use of all of those quotas that are used much."""
        worth = {}
        for name, use in self._uses.items():
            high = _WRITTEN_PART * self._limits(use).quota
            if self._used(use, now) > high:
                worth[name] = (
                    *self._recalled_parts(name, now),
                    *use.own.parts(now),
                    *use.others_parts(now),
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
            if unwritten > _UNWRITTEN_PART * self._limits(use).beyond:
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

    def _used(self, use: Use, now: float) -> float:
        own = use.own.total(now)
        told = use.others(now, self._before(use, now))
        return own + max(told, use.others_heard(own, now))

    def _before(self, use: Use, now: float) -> float:
        """Return what all used before this start, as far as it counts here.

        A part of the fleet has its part of the quota, so it counts the same
        part of what the whole fleet used.
        """
        if self.knows_past(now):
            return 0
        return self._fleet.heard * self._used_before(use, now)

    def _used_before(self, use: Use, now: float) -> float:
        """Return what all used before this start, as far as it counts yet."""
        recalled = self._recalled.get(use.workspace.name)
        if recalled is not None:
            return sum(part.amount for part in recalled if part.ends_at > now)
        left_s = self._unknown_until - now
        faded = _WRITTEN_PART * left_s / self._bounds.window_s
        return faded * self._limits(use).quota

    def _share(
        self,
        use: Use,
        used: float,
        now: float,
        *,
        within_quota: bool,
    ) -> float:
        """Return what may be admitted before the others have counted it.

        Strict shares add up to what is left, whatever each instance admits
        meanwhile, also one that is cut off and does not know. A calm use gives
        more in a mesh; so does a first request, which may be larger than any
        share, and in a large fleet any while the others know of the last.
        """
        fleet = self._fleet
        if fleet.known_at is None:
            return math.inf
        limits = self._limits(use)
        calm = limits.is_calm(used)
        counted_at = fleet.counted_at if calm else fleet.known_at
        calm = calm and counted_at is not None
        outstanding = use.outstanding.since(
            fleet.known_at if counted_at is None else counted_at,
            fleet.known_at,
        )
        known = used - outstanding
        first = within_quota and not outstanding
        if first and (calm or (fleet.is_mesh and fleet.counted_at is not None)):
            return limits.allowed - known
        part = self._part(use.own.total(now) - outstanding, known, use)
        generous = calm
        if not fleet.is_mesh:
            generous = first or (within_quota and self._is_fresh(now))
        if generous:
            part = max(part, limits.generous_part)
        return part * limits.left(known) - outstanding

    def _is_fresh(self, now: float) -> bool:
        known_at = self._fleet.known_at
        return known_at is None or now - known_at <= 2 * self._fleet.news_s

    def _part(self, own: float, known: float, use: Use) -> float:
        """Return this instance's part: half even, half by what it used."""
        heard = max(1, self._fleet.heard * self._fleet.instances)
        high = self._limits(use).high
        return (1 / heard + own / max(known, high)) / 2

    def _limits(self, use: Use) -> QuotaLimits:
        return QuotaLimits(use.workspace, self._bounds, self._fleet)
