"""Quotas of workspaces across all instances.

A workspace may use `rate * window + burst` in any window of the given length.
Each instance sums what all instances admitted in the last window: its own
admissions immediately, those of others when they are reported. Between two
reports, and until a network partition is detected, an instance does not know
what the others admit. It therefore admits no more than its share of the
remaining quota until the others have counted its admissions. Strict shares add
up to the remaining quota. They may be exceeded in two cases: by a first
request, which may be larger than any share, and by larger shares while the
admissions of all instances between two reports still fit. In a small fleet this
holds while use is low, in a large one while the reports are recent.

Unknown use is estimated conservatively. An instance that hears only a part of
the fleet uses only that part of the quota, so that both sides of a partition
together stay within it. A restarted instance has lost the use of the fleet. It
adopts it from an instance that has run for a full window; if all have
restarted, see `earlier_use`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Set

import msgspec

from .desired import Workspace
from .earlier_use import PERSIST_FRACTION, EarlierUse
from .quota_limits import FleetView, QuotaBounds, QuotaLimits
from .quota_use import AgedAmounts, FleetUse, Use, UseReport

# Use is written again once a workspace was admitted this fraction of its
# maximum overshoot. This much is lost if all processes end, in addition to what
# was admitted above the quota. Writes are limited because each one triggers
# every watch of the store.
_UNPERSISTED_FRACTION = 0.3
# Minimum retry-after time for callers that are over their quota, in seconds.
_MIN_RETRY_AFTER_S = 0.2
# Fleet-wide use by workspace as stored: ages in seconds and amounts.
StoredUse = Mapping[str, AgedAmounts]


class QuotaState(msgspec.Struct, frozen=True):
    """The state of a quota when a request was admitted or refused.

    used: use of all instances in the last window. limit: limit that applied to
    it on this instance. heard_fraction: fraction of the fleet that is heard.
    data_age_s: age of the data about other instances. quota: limit for the
    whole fleet in any window of `window_s`.
    """

    used: float
    limit: float
    heard_fraction: float
    data_age_s: float
    quota: float
    window_s: float


class Quotas:
    """Quotas of all workspaces and their use as known on one instance."""

    def __init__(self, bounds: QuotaBounds, started_at: float) -> None:
        """Start without workspaces and without knowledge of earlier use."""
        self._known_from = started_at
        self._earlier = EarlierUse(started_at, bounds.window_s)
        self._bounds = bounds
        self._uses: dict[str, Use] = {}
        # Workspaces that the desired state no longer has. Their use counts if
        # they come back within the window.
        self._removed: Set[str] = frozenset()
        self._fleet = FleetView()
        self._has_written = False
        # Whether a request was charged to a quota whose use is so high that the
        # admissions since the last report may decide about requests.
        self._refresh_wanted = False

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply new workspace settings; lower rates take effect immediately."""
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
        self._removed = self._uses.keys() - workspaces.keys()

    @property
    def refresh_s(self) -> float:
        """Return the interval at which use is requested from hubs."""
        return self._fleet.refresh_s

    @property
    def acknowledged_at(self) -> float | None:
        """Return the time up to which others know the admissions made here."""
        return self._fleet.acknowledged_at

    def apply_fleet(self, fleet: FleetView) -> None:
        """Update how much of the fleet's use is known."""
        self._fleet = fleet

    def restore(self, written: StoredUse, now: float) -> None:
        """Restore the stored use of the fleet after a restart."""
        self._earlier.restore(written, now)

    def knows_full_window(self, now: float) -> bool:
        """Return whether use before the start is known or out of the window."""
        return not self._earlier.is_relevant(now)

    def adopt(self, fleet_use: StoredUse, now: float) -> None:
        """Adopt the use of all others from an instance that did not restart."""
        self._known_from = now
        self._earlier.end(now)
        for name, use in self._uses.items():
            use.adopt(fleet_use.get(name, ()), now)

    def charge(self, name: str, amount: float, now: float) -> float:
        """Charge an amount; return 0, or the seconds until it may fit."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return 0
        used = self._used(use, now)
        limits = self._limits(use)
        if not limits.is_low_use(used):
            self._refresh_wanted = True
        reserve = limits.reserve(use.unreported(now, self._fleet.refresh_s))
        over = used + reserve + amount - limits.allowed
        if over > 0:
            return max(_MIN_RETRY_AFTER_S, over / use.workspace.rate)
        if amount > self._admissible(use, used, now, within_quota=True):
            return _MIN_RETRY_AFTER_S
        use.admit(amount, now)
        return 0

    def take_refresh_wanted(self) -> bool:
        """Return whether a refresh of the use is needed, and reset the flag."""
        wanted = self._refresh_wanted
        self._refresh_wanted = False
        return wanted

    def charge_over_quota(self, name: str, amount: float, now: float) -> bool:
        """Charge an amount above the quota, for slots that are otherwise free.

        This requires that the use of all instances is known, since the
        overshoot limit of the operators applies to the whole fleet.
        """
        use = self._uses.get(name)
        if (
            use is None
            or self._fleet.heard_fraction < 1
            or not self.knows_full_window(now)
        ):
            return False
        used = self._used(use, now)
        unreported = use.unreported(now, self._fleet.refresh_s)
        if used + unreported + amount > self._limits(use).ceiling:
            return False
        if amount > self._admissible(use, used, now, within_quota=False):
            return False
        use.admit(amount, now)
        return True

    def state(self, name: str, now: float) -> QuotaState | None:
        """Return the current state of a quota, None if there is no quota."""
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return None
        known_at = self._fleet.acknowledged_at
        return QuotaState(
            self._used(use, now),
            self._limits(use).allowed,
            self._fleet.heard_fraction,
            0 if known_at is None else now - known_at,
            self._limits(use).quota,
            self._bounds.window_s,
        )

    def refund(
        self,
        name: str,
        amount: float,
        charged_at: float,
        now: float,
    ) -> None:
        """Refund an amount that was charged for a request that did not run.

        The refund is booked at the time of the charge, so that both leave the
        window together. A refund that stayed longer would make the sum too low
        for as long as the request had waited.
        """
        use = self._uses.get(name)
        if use is None or not use.workspace.rate:
            return
        if now - charged_at < self._bounds.window_s:
            use.refund(amount, charged_at, now)

    def record_admitted(
        self,
        name: str,
        amount: float,
        now: float,
        age_s: float = 0,
    ) -> None:
        """Record an amount that another instance admitted `age_s` ago."""
        use = self._uses.get(name)
        if use is not None:
            use.record_admitted(amount, now, age_s)

    def record_refund(
        self,
        name: str,
        amount: float,
        charged_at: float,
        now: float,
    ) -> None:
        """Record a refund of another instance."""
        use = self._uses.get(name)
        if use is not None:
            use.record_refund(amount, charged_at, now)

    def own_refunded(self, name: str) -> float:
        """Return the total that this instance refunded since its start."""
        use = self._uses.get(name)
        return 0 if use is None else use.returned

    def record_fleet_use(self, name: str, fleet_use: FleetUse) -> None:
        """Record the use of the fleet as another instance knows it."""
        use = self._uses.get(name)
        if use is not None:
            use.fleet_uses[fleet_use.sender] = fleet_use

    def report(self, now: float) -> Mapping[str, UseReport]:
        """Return the report of this instance for each workspace."""
        if self._removed:
            self._forget_removed(now)
        reports = {}
        for name, use in self._uses.items():
            own = use.own.total(now)
            fleet = own + use.others(now, self._use_before_start(use, now))
            if fleet or use.fleet_total or use.total:
                threshold = self._limits(use).high_threshold
                reports[name] = UseReport(
                    use.total,
                    own,
                    fleet,
                    use.rate(now),
                    use.leaves(now),
                    0 < threshold < fleet,
                    use.returned,
                    use.oldest_return_s(now),
                )
        return reports

    def own_parts(self, name: str, now: float) -> AgedAmounts:
        """Return the admissions of this instance in the last window, by age."""
        use = self._uses.get(name)
        return () if use is None else use.coarse_parts(use.own.buckets(now))

    def fleet_parts(self, name: str, now: float) -> AgedAmounts:
        """Return the known admissions of all instances, by age."""
        use = self._uses.get(name)
        if use is None:
            return ()
        return use.coarse_parts((*use.own.buckets(now), *use.others_parts(now)))

    def refunds_after(self, name: str, after: float, now: float) -> AgedAmounts:
        """Return refunds after a total of `after`, by ages of their charges."""
        use = self._uses.get(name)
        return () if use is None else use.refunds_after(after, now)

    def use_to_store(self, now: float) -> StoredUse:
        """Return the fleet-wide use of those quotas whose use is high."""
        high_use = {}
        for name, use in self._uses.items():
            limits = self._limits(use)
            if self._used(use, now) > PERSIST_FRACTION * limits.quota:
                high_use[name] = (
                    *self._earlier.parts(limits, now),
                    *use.own.buckets(now),
                    *use.others_parts(now),
                )
        return high_use

    def use_due_for_storing(self, now: float) -> StoredUse | None:
        """Return the use to be written to the store now, None for no write."""
        high_use = self.use_to_store(now)
        if not high_use:
            return high_use if self._has_written else None
        for name in high_use:
            use = self._uses[name]
            if use.persisted_total is None:
                return high_use
            unpersisted = use.fleet_total - use.persisted_total
            if (
                unpersisted
                > _UNPERSISTED_FRACTION * self._limits(use).max_overshoot
            ):
                return high_use
        return None

    def mark_stored(self, written: StoredUse) -> None:
        """Record what was written; empty if this instance is not the writer."""
        self._has_written = bool(written)
        for name, use in self._uses.items():
            use.persisted_total = use.fleet_total if name in written else None

    def _forget_removed(self, now: float) -> None:
        """Forget the removed workspaces whose use has left the window."""
        for name in self._removed:
            if self._used(self._uses[name], now) <= 0:
                self._uses.pop(name)
        self._removed = self._removed & self._uses.keys()

    def _used(self, use: Use, now: float) -> float:
        own = use.own.total(now)
        reported = use.others(now, self._use_before_start(use, now))
        return own + max(reported, use.others_from_hubs(own, now))

    def _use_before_start(self, use: Use, now: float) -> float:
        if self.knows_full_window(now):
            return 0
        return self._earlier.amount(self._limits(use), now)

    def _admissible(
        self,
        use: Use,
        used: float,
        now: float,
        *,
        within_quota: bool,
    ) -> float:
        """Return what may be admitted before the others have counted it.

        Strict shares add up to the remaining quota, so they hold even if some
        instances are partitioned and have not detected it. More is allowed for
        low use in a mesh, for a first request, which may be larger than any
        share, and in a large fleet while the others know of recent admissions.
        """
        fleet = self._fleet
        if fleet.acknowledged_at is None:
            return math.inf
        limits = self._limits(use)
        is_low = limits.is_low_use(used)
        counted_at = fleet.propagated_at if is_low else fleet.acknowledged_at
        is_low = is_low and counted_at is not None
        outstanding = use.outstanding.amount_since(
            fleet.acknowledged_at if counted_at is None else counted_at,
            fleet.acknowledged_at,
        )
        known = used - outstanding
        first = within_quota and not outstanding
        if first and (
            is_low or (fleet.is_full_mesh and fleet.propagated_at is not None)
        ):
            return limits.allowed - known
        fraction = self._share(use.own.total(now) - outstanding, known, use)
        enlarged = is_low
        if not fleet.is_full_mesh:
            enlarged = first or (within_quota and self._is_recent(now))
        if enlarged:
            fraction = max(fraction, limits.enlarged_share)
        return fraction * limits.remaining(known) - outstanding

    def _is_recent(self, now: float) -> bool:
        known_at = self._fleet.acknowledged_at
        return known_at is None or now - known_at <= 2 * self._fleet.refresh_s

    def _share(self, own: float, known: float, use: Use) -> float:
        """Return this instance's share: half equal, half by its own use."""
        members = max(1, self._fleet.heard_fraction * self._fleet.instances)
        threshold = self._limits(use).high_threshold
        return (1 / members + own / max(known, threshold)) / 2

    def _limits(self, use: Use) -> QuotaLimits:
        return QuotaLimits(use.workspace, self._bounds, self._fleet)
