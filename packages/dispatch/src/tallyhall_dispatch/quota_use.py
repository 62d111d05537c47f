"""Known use of one workspace's quota.

An instance knows its own admissions, the admissions that others reported of
themselves, and the use of the fleet as reported by hubs, which hear all
instances. A restarted instance also knows the earlier use of the fleet, from an
instance that did not restart or from the store.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from .desired import Workspace
from .outstanding import Outstanding
from .topology import MAX_BEAT_S
from .windows import SlidingSum

# Hubs report the fleet's use with each heartbeat. A report that is older than
# the newest one by two heartbeats is superseded; without a newer one it still
# counts. The extra 0.1 s allows for timers that fire late.
_REPORT_VALID_S = 2 * MAX_BEAT_S + 0.1
# Refunds are reported within this time, with one of two heartbeats.
_REFUNDS_KEPT_S = _REPORT_VALID_S
# Number of buckets in a window. A bucket counts until its newest amount has
# left the window.
_BUCKETS = 160
# The fleet's admission rate is the larger of its means over these two periods,
# in seconds: the short one shows a surge as soon as it is reported.
_RATE_PERIOD_S = 0.5
_SURGE_PERIOD_S = 0.2
# Use that grows faster than its quota's rate by this factor is a surge.
_SURGE_FACTOR = 2.0
# Number of age steps per window in which amounts are reported; an amount may
# therefore count for up to an eighth of the window too long.
_REPORTED_STEPS = 8

# Amounts admitted, each preceded by its age in seconds.
AgedAmounts = tuple[tuple[float, float], ...]


class UseReport(msgspec.Struct, frozen=True):
    """One workspace's use as an instance reports it.

    total: admitted by the instance since its start. within_window: admitted by
    it in the last window. fleet: admitted by all instances in the last window,
    as far as the instance knows. rate: recent admissions of all instances per
    second. leaves: amount per second that is about to leave the window.
    is_high: whether the fleet's use is high. returned: part of the total that
    was refunded. oldest_return_s: longest time from charge to refund among the
    recent refunds, in seconds.
    """

    total: float
    within_window: float
    fleet: float
    rate: float
    leaves: float
    is_high: bool
    returned: float
    oldest_return_s: float


class FleetUse(msgspec.Struct, frozen=True):
    """The use of the fleet as counted by another instance, such as a hub.

    amount: use within the last window. counted: total of the receiving instance
    that is included in it. rate: recent admissions per second. leaves: amount
    per second that is about to leave the window.
    """

    sender: str
    amount: float
    counted: float
    at: float
    rate: float = 0
    leaves: float = 0


class _Refund(msgspec.Struct, frozen=True):
    """A refund; `returned` is the sum of all refunds up to this one."""

    at: float
    charged_at: float
    amount: float
    returned: float


class Use:
    """The use of one workspace as known on one instance."""

    def __init__(
        self,
        workspace: Workspace,
        window_s: float,
        known_from: float,
    ) -> None:
        """Start without any use.

        known_from: time from which the use of all instances is reported here.
        """
        self.workspace = workspace
        self.total: float = 0
        # Admitted by all instances since they are known here.
        self.fleet_total: float = 0
        self.persisted_total: float | None = None
        self.own = SlidingSum(window_s, _BUCKETS)
        self.outstanding = Outstanding()
        self.returned: float = 0
        self.fleet_uses: dict[str, FleetUse] = {}
        self._window_s = window_s
        self._reported = SlidingSum(window_s, _BUCKETS)
        self._known_from = known_from
        # Use of others before `known_from`, and all that was reported since.
        # The reports lack instances that have ended; the adopted use lacks what
        # its sender did not know. Therefore the larger sum counts.
        self._adopted = SlidingSum(window_s, _BUCKETS)
        self._refunds: collections.deque[_Refund] = collections.deque()

    def admit(self, amount: float, now: float) -> None:
        """Add an admission of this instance."""
        self.own.add(amount, now)
        self.outstanding.add(amount, now)
        self.total += amount
        self.fleet_total += amount

    def refund(self, amount: float, charged_at: float, now: float) -> None:
        """Refund a request that did not run, at the time of its charge."""
        self.own.subtract(amount, charged_at, now)
        self.outstanding.subtract(amount, charged_at)
        self.returned += amount
        self.fleet_total -= amount
        self._refunds.append(_Refund(now, charged_at, amount, self.returned))
        self._expire_refunds(now)

    def adopt(self, parts: AgedAmounts, now: float) -> None:
        """Adopt the use of all others until now from another instance."""
        self._known_from = now
        self._adopted = SlidingSum(self._window_s, _BUCKETS)
        for age_s, amount in parts:
            self._adopted.add(amount, now, age_s)

    def record_admitted(self, amount: float, now: float, age_s: float) -> None:
        """Record an amount that another instance admitted `age_s` ago."""
        self.fleet_total += amount
        self._reported.add(amount, now, age_s)
        if self._needs_earlier(now) and now - age_s >= self._known_from:
            self._adopted.add(amount, now, age_s)

    def record_refund(
        self, amount: float, charged_at: float, now: float
    ) -> None:
        """Record a refund of another instance."""
        self.fleet_total -= amount
        self._reported.subtract(amount, charged_at, now)
        if charged_at >= self._known_from:
            self._adopted.subtract(amount, charged_at, now)

    def others(self, now: float, before: float = 0) -> float:
        """Return the use of others as they reported it themselves.

        before: estimated use of all before this start if it was not adopted.
        """
        reported = self._reported.total(now)
        if not self._needs_earlier(now):
            return reported
        return max(reported, before + self._adopted.total(now))

    def others_parts(self, now: float) -> AgedAmounts:
        """Return the reported use of others by age."""
        reported = self._reported.total(now)
        if not self._needs_earlier(now) or reported >= self._adopted.total(now):
            return self._reported.buckets(now)
        return self._adopted.buckets(now)

    def others_from_hubs(self, own: float, now: float) -> float:
        """Return the use of others according to hubs.

        The hubs' counts include admissions of this instance, which are
        subtracted. If reports cease, the last ones count until they have left
        the window, so that missing reports do not reset the use to zero.
        """
        most: float = 0
        newest = max(
            (fleet.at for fleet in self.fleet_uses.values()), default=0
        )
        oldest = max(now - self._window_s, newest - _REPORT_VALID_S)
        for fleet in self.fleet_uses.values():
            if fleet.at < oldest:
                continue
            own_counted = own - max(0, self.total - fleet.counted)
            most = max(most, fleet.amount - max(0, own_counted))
        return most

    def rate(self, now: float) -> float:
        """Return the recent admissions of all instances per second."""
        return max(
            0,
            self._admitted(now, _RATE_PERIOD_S) / _RATE_PERIOD_S,
            self._admitted(now, _SURGE_PERIOD_S) / _SURGE_PERIOD_S,
        )

    def leaves(self, now: float) -> float:
        """Return the amount per second that is about to leave the window."""
        reported = self._reported.oldest(now, _RATE_PERIOD_S)
        return (
            max(0, reported + self.own.oldest(now, _RATE_PERIOD_S))
            / _RATE_PERIOD_S
        )

    def unreported(self, now: float, lag_s: float) -> float:
        """Return the estimated growth of the use since the last hub report.

        Without this estimate, a surge would exceed the quota. Amounts that left
        the window in the meantime are subtracted, so the estimate for steady
        use is zero. They are not subtracted in a surge: it leaves the window as
        abruptly as it came, and the freed quota would be used up again before
        the next report.

        lag_s: age of the data in a hub report when it is sent.
        """
        newest = max(self.fleet_uses.values(), key=_reported_at, default=None)
        if newest is None:
            return 0
        growth = newest.rate
        if growth < _SURGE_FACTOR * self.workspace.rate:
            growth = max(0, growth - newest.leaves)
        return growth * min(_REPORT_VALID_S, now - newest.at + lag_s)

    def oldest_return_s(self, now: float) -> float:
        """Return the longest time to refund among the recent refunds.

        Receivers book refunds of unknown age at this age. A refund that leaves
        the window too early only makes their sum too high. With the mean age,
        refunds could cancel requests that ran between two refunded charges.
        """
        self._expire_refunds(now)
        waits = (refund.at - refund.charged_at for refund in self._refunds)
        return max(waits, default=0)

    def refunds_after(self, after: float, now: float) -> AgedAmounts:
        """Return refunds after a total of `after`, by ages of their charges."""
        self._expire_refunds(now)
        return merged(
            (
                (now - refund.charged_at, refund.amount)
                for refund in self._refunds
                if refund.returned > after
            ),
            self._window_s / _BUCKETS,
        )

    def coarse_parts(self, parts: Iterable[tuple[float, float]]) -> AgedAmounts:
        """Return amounts merged into the age steps that are reported."""
        return merged(parts, self._window_s / _REPORTED_STEPS)

    def _admitted(self, now: float, within_s: float) -> float:
        reported = self._reported.newest(now, within_s)
        return reported + self.own.newest(now, within_s)

    def _needs_earlier(self, now: float) -> bool:
        """Return whether use before `known_from` may still be in the window."""
        return now - self._known_from <= self._window_s

    def _expire_refunds(self, now: float) -> None:
        returns = self._refunds
        while returns and now - returns[0].at > _REFUNDS_KEPT_S:
            returns.popleft()


def merged(parts: Iterable[tuple[float, float]], step_s: float) -> AgedAmounts:
    """Merge the amounts of each age step into one at their youngest age."""
    steps: dict[int, tuple[float, float]] = {}
    for age_s, amount in parts:
        step = int(age_s / step_s)
        youngest_s, held = steps.get(step, (age_s, 0))
        steps[step] = (min(age_s, youngest_s), held + amount)
    return tuple(steps.values())


def _reported_at(fleet: FleetUse) -> float:
    return fleet.at
