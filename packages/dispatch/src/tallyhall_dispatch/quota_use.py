"""What is known of the use of one workspace's quota.

An instance knows what it admitted itself, what others told of themselves, and
what hubs, which hear all, told of all. One that has restarted knows in
addition what all had used before: from an instance that did not restart, or
from the store.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from .desired import Workspace
from .outstanding import Outstanding
from .topology import LONGEST_BEAT_S
from .windows import SlidingSum

# What hubs know is told with each of their beats. What is older than the newest
# that is heard by two of them is replaced by it; what nobody replaces still
# counts. The rest is for timers that fire late.
_HEARD_S = 2 * LONGEST_BEAT_S + 0.1
# Returns are told by then, with one of two beats.
_RETURNS_TOLD_S = _HEARD_S
# The sum of a window moves in steps of this part of it, and a step counts until
# its newest amount is out.
_STEPS = 160
# The rate of the use of all is the larger one over these spans, in seconds: a
# surge shows in the short one as soon as it is told.
_RATE_S = 0.5
_SURGE_S = 0.2
# A use that grows by more than so many times what its quota allows is a surge.
_SURGE = 2.0
# Parts of a window in which an amount is told with its age: each counts up to
# an eighth of the window too long.
_TOLD_PARTS = 8

# Ages in seconds and the amounts that were admitted then.
Parts = tuple[tuple[float, float], ...]


class UseReport(msgspec.Struct, frozen=True):
    """One workspace's use as an instance reports it.

    total: admitted by the instance since its start. within_window: of that
    in the last window. fleet: admitted by all instances in the last window,
    as far as the instance knows. rate: the same in a second, of late. leaves:
    what of it leaves the window in the next second. is_high: whether that is
    much of the quota. returned: of the total, what did not
    run. oldest_return_s: seconds from charge to return of the one among the
    last returns that waited longest.
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
    """The use of all as another instance, which hears more, has counted it.

    amount: within the last window. counted: of the total of the instance
    that is told. rate: what is admitted in a second, of late. leaves: what
    leaves the window in one, soon.
    """

    sender: str
    amount: float
    counted: float
    at: float
    rate: float = 0
    leaves: float = 0


class _Return(msgspec.Struct, frozen=True):
    """What was given back; `returned` is the sum of all up to this one."""

    at: float
    charged_at: float
    amount: float
    returned: float


class Use:
    """One workspace's use as known on one instance."""

    def __init__(
        self,
        workspace: Workspace,
        window_s: float,
        known_from: float,
    ) -> None:
        """Start without any.

        known_from: from when on the use of all is reported here.
        """
        self.workspace = workspace
        self.total: float = 0
        # Admitted by all since this instance knows them.
        self.fleet_total: float = 0
        self.written_total: float | None = None
        self.own = SlidingSum(window_s, _STEPS)
        self.outstanding = Outstanding()
        self.returned: float = 0
        self.heard: dict[str, FleetUse] = {}
        self._window_s = window_s
        self._reported = SlidingSum(window_s, _STEPS)
        self._known_from = known_from
        # Of others, what was used before that and all that is reported since.
        # What they report may lack those that have ended, this what was not
        # known to the one that told it, so the larger one counts.
        self._since = SlidingSum(window_s, _STEPS)
        self._returns: collections.deque[_Return] = collections.deque()

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
        self._returns.append(_Return(now, charged_at, amount, self.returned))
        self._forget_returns(now)

    def adopt(self, parts: Parts, now: float) -> None:
        """Take what all others have used until now, as another knows it."""
        self._known_from = now
        self._since = SlidingSum(self._window_s, _STEPS)
        for age_s, amount in parts:
            self._since.add(amount, now, age_s)

    def reported(self, amount: float, now: float, age_s: float) -> None:
        """Take that another instance admitted this amount so long ago."""
        self.fleet_total += amount
        self._reported.add(amount, now, age_s)
        if self._needs_past(now) and now - age_s >= self._known_from:
            self._since.add(amount, now, age_s)

    def take_back(self, amount: float, charged_at: float, now: float) -> None:
        """Take that another instance gave back what it had admitted."""
        self.fleet_total -= amount
        self._reported.take_back(amount, charged_at, now)
        if charged_at >= self._known_from:
            self._since.take_back(amount, charged_at, now)

    def others(self, now: float, before: float = 0) -> float:
        """Return what others have used, as they told it themselves.

        before: what all had used before this start, where nobody told it.
        """
        reported = self._reported.total(now)
        if not self._needs_past(now):
            return reported
        return max(reported, before + self._since.total(now))

    def others_parts(self, now: float) -> Parts:
        """Return the same with its ages."""
        reported = self._reported.total(now)
        if not self._needs_past(now) or reported >= self._since.total(now):
            return self._reported.parts(now)
        return self._since.parts(now)

    def others_heard(self, own: float, now: float) -> float:
        """Return what others have used, as those say who hear them.

        What they have counted of this instance's own use is not among it.
        News that stay away do not make the use zero; they count until they
        have left the window.
        """
        most: float = 0
        newest = max((fleet.at for fleet in self.heard.values()), default=0)
        oldest = max(now - self._window_s, newest - _HEARD_S)
        for fleet in self.heard.values():
            if fleet.at < oldest:
                continue
            own_counted = own - max(0, self.total - fleet.counted)
            most = max(most, fleet.amount - max(0, own_counted))
        return most

    def rate(self, now: float) -> float:
        """Return what all admit in a second, as they told it lately."""
        return max(
            0,
            self._admitted(now, _RATE_S) / _RATE_S,
            self._admitted(now, _SURGE_S) / _SURGE_S,
        )

    def leaves(self, now: float) -> float:
        """Return how much of the use of all soon leaves in a second."""
        told = self._reported.oldest(now, _RATE_S)
        return max(0, told + self.own.oldest(now, _RATE_S)) / _RATE_S

    def unheard(self, now: float, lag_s: float) -> float:
        """Return by how much the use has grown since the newest news, likely.

        Without it a surge would be admitted beyond what a quota bears. What
        has left the window meanwhile makes room: a steady use grows by nothing.
        A surge leaves as it came, all at once, and would fill the same room
        again before anybody has heard of it.

        lag_s: how old what hubs tell is itself.
        """
        newest = max(self.heard.values(), key=_heard_at, default=None)
        if newest is None:
            return 0
        grows = newest.rate
        if grows < _SURGE * self.workspace.rate:
            grows = max(0, grows - newest.leaves)
        return grows * min(_HEARD_S, now - newest.at + lag_s)

    def oldest_return_s(self, now: float) -> float:
        """Return the longest wait among the last returns.

        Others take what they are not told the age of back at this age: what
        leaves the window too early leaves their sum too high. A mean would
        hide what ran between two charges for as long as they are apart.
        """
        self._forget_returns(now)
        waits = (given.at - given.charged_at for given in self._returns)
        return max(waits, default=0)

    def returns(self, after: float, now: float) -> Parts:
        """Return what was given back beyond a sum, by the ages of charges."""
        self._forget_returns(now)
        return merged(
            (
                (now - given.charged_at, given.amount)
                for given in self._returns
                if given.returned > after
            ),
            self._window_s / _STEPS,
        )

    def told_parts(self, parts: Iterable[tuple[float, float]]) -> Parts:
        """Return amounts as they are told to others."""
        return merged(parts, self._window_s / _TOLD_PARTS)

    def _admitted(self, now: float, within_s: float) -> float:
        told = self._reported.newest(now, within_s)
        return told + self.own.newest(now, within_s)

    def _needs_past(self, now: float) -> bool:
        """Return whether what was used before this start matters yet."""
        return now - self._known_from <= self._window_s

    def _forget_returns(self, now: float) -> None:
        returns = self._returns
        while returns and now - returns[0].at > _RETURNS_TOLD_S:
            returns.popleft()


def merged(parts: Iterable[tuple[float, float]], step_s: float) -> Parts:
    """Return the amounts of each step of ages together, as the youngest."""
    steps: dict[int, tuple[float, float]] = {}
    for age_s, amount in parts:
        step = int(age_s / step_s)
        youngest_s, held = steps.get(step, (age_s, 0))
        steps[step] = (min(age_s, youngest_s), held + amount)
    return tuple(steps.values())


def _heard_at(fleet: FleetUse) -> float:
    return fleet.at
