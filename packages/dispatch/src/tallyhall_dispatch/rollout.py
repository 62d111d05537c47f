"""One roll-out as its leader sees it: what its target may get.

A bad version must not get more than a share of what reaches its service, so it
gets less than that until the end, whatever its answers were: it may turn bad
late. What is left of the share is kept for the time between the completion and
the end of the order, in which the target gets everything. Before it, requests
that may run only once go to the target as far as the share bears it, as what
runs on the old upstreams then is cut.

Nothing is granted on trust: what the target gets is written to the store before
it is placed, in blocks that hold for a short time. Whoever leads next counts
all that was written as used. A leader that does not reach the store places
nothing more there.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Mapping

import msgspec

from .evidence import Evidence, Tally
from .jobs import Job, RunReport
from .versions import RolloutOrder, RolloutState

# Of the share and of the allowance beside it, what the target gets while it is
# judged; the rest is for the requests that must not be cut, and for the end.
_JUDGED_SHARE = 0.5
_JUDGED_ALLOWANCE = 0.5
# Of the allowance, what is there from the start; the rest comes with time, so
# that a version that turns bad late is seen as well.
_FIRST_ALLOWANCE = 0.15
# Requests that the target gets one after another while it is judged: so many at
# a time show how it answers under load, single ones do not.
_AT_A_TIME = 16
# Of the allowance, what is never used: counts of two instances differ.
_KEPT_ALLOWANCE = 0.1
# The target takes what must not be cut for so long before the completion, in
# seconds and in parts of the order's time.
_SHIFT_S = 2.5
_SHIFT_PART = 0.25
# The completion is written so long before the end, in seconds and parts: the
# order may be a third of it older than its first sight, and the write takes
# time.
_LAST_S = 0.5
_LAST_PART = 0.15
# What is kept for the end is kept for so many times as long.
_KEPT_TIMES = 1.4
# What is written at once for the target beyond what it has got, in seconds of
# what it gets, and at least in requests.
_BLOCK_S = 2.0
_LEAST_BLOCK = 5
# A block holds for this long from its writing, and is written anew in time.
BLOCK_HOLDS_S = 2.5
RENEWED_S = 1.2
# Bad answers that may be lost with a leader.
_UNWRITTEN_BAD = 4
# Answers without which nothing is completed: a bad version that fails a third
# spoils five of so many nearly always.
_LEAST_ANSWERS = 30
# Part of the places of the old upstreams that the target must have.
_LEAST_PLACES = 0.5


class RolloutBounds(msgspec.Struct, frozen=True):
    """What a bad version may get at most: a share of the requests and some."""

    share: float = 0.1
    allowance: float = 50


class RolloutRecord(msgspec.Struct, frozen=True):
    """What is written of a roll-out, for whoever leads it next.

    order: revision of the order. leader: the run of the instance that leads,
    empty where it has stepped down. elapsed_s: since the order, at the time of
    day `day_s`. seen: requests that were placed. exposed: those that the target
    may have got.
    """

    order: int
    leader: str = ''
    elapsed_s: float = 0
    day_s: float = 0
    seen: int = 0
    exposed: int = 0
    tallies: Mapping[str, Tally] = {}


@enum.unique
class Stage(enum.Enum):
    """judging: a few requests. shifting: what must not be cut. ending: due."""

    judging = 'judging'
    shifting = 'shifting'
    ending = 'ending'


class Verdict(msgspec.Struct, frozen=True):
    """How a roll-out ends, and why."""

    state: RolloutState
    cause: str


class Rollout:
    """The roll-out of one service, on the instance that leads it."""

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        record: RolloutRecord,
        began_at: float,
    ) -> None:
        """Go on from a record.

        began_at: when the order was given, on this clock.
        """
        self.order = order
        self.evidence = Evidence(record.tallies)
        self.began_at = began_at
        self.seen = record.seen
        # Nobody knows how much of what was written has been used.
        self.exposed = record.exposed
        self._bounds = bounds
        self._written = record.exposed
        self._holds_until = float('-inf')
        self._written_at = float('-inf')
        self._written_bad = self.evidence.bad
        # Of what was placed since: all, and on the target, by route.
        self._seen_on: collections.Counter[str] = collections.Counter()
        self._exposed_on: collections.Counter[str] = collections.Counter()
        # Whether requests go to the target until what is allowed is used up.
        self._is_open = True

    def go_on(self, record: RolloutRecord) -> None:
        """Go on after a pause, in which another may have led."""
        self.seen = max(self.seen, record.seen)
        self.exposed = max(self.exposed, record.exposed)
        self._written = self.exposed
        self._holds_until = float('-inf')
        self._written_at = float('-inf')
        self.evidence.add(record.tallies)

    def stage(self, now: float) -> Stage:
        """Return how far the roll-out is."""
        limit_s = self.order.limit_s
        left_s = self.began_at + limit_s - now
        if left_s <= self._last_s():
            return Stage.ending
        shift_s = min(_SHIFT_S, _SHIFT_PART * limit_s)
        if left_s <= self._last_s() + shift_s:
            return Stage.shifting
        return Stage.judging

    def allowed(self, now: float, *, once: bool = False) -> float:
        """Return how many requests the target may have got by now.

        once: of those that must not be cut, which get more before the end.
        """
        bounds = self._bounds
        passed = min(1, max(0, now - self.began_at) / self.order.limit_s)
        part = _FIRST_ALLOWANCE
        part += passed * (_JUDGED_ALLOWANCE - _FIRST_ALLOWANCE)
        judged = _JUDGED_SHARE * bounds.share * self.seen
        judged += part * bounds.allowance
        if not once or self.stage(now) is Stage.judging:
            return judged
        most = bounds.share * self.seen
        most += (1 - _KEPT_ALLOWANCE) * bounds.allowance
        kept = self._rate(now) * self._last_s() * _KEPT_TIMES
        return max(judged, most - kept)

    def may_expose(self, job: Job, now: float) -> bool:
        """Return whether the target may get a job.

        What has failed elsewhere already, or is above a quota, does not go
        where it may fail. Each route has its part, so that each is judged.
        """
        if job.excluded or job.spare or job.suspect:
            return False
        if now >= self._holds_until or self.exposed >= self._written:
            return False
        if self.evidence.condemned_by is not None:
            return False
        if job.once and self.stage(now) is not Stage.judging:
            return self.exposed + 1 <= self.allowed(now, once=True)
        if not self._takes_turn(now):
            return False
        seen = max(1, self._seen_on.total())
        part = self._seen_on[job.route] / seen
        return self._exposed_on[job.route] <= 1 + part * self.allowed(now)

    def placed(self, job: Job, *, canary: bool) -> None:
        """Take that a job was placed."""
        self.seen += 1
        self._seen_on[job.route] += 1
        if canary:
            self.exposed += 1
            self._exposed_on[job.route] += 1

    def ended(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        now: float,
        *,
        canary: bool,
    ) -> None:
        """Take how a job ended."""
        self.evidence.note(job, upstream, report, now, canary=canary)

    def verdict(
        self, now: float, old_places: int, new_places: int
    ) -> Verdict | None:
        """Return how the roll-out ends, None where it goes on."""
        self.evidence.look()
        cause = self.evidence.condemned_by
        if cause is not None:
            return Verdict(RolloutState.rolled_back, cause)
        if self.stage(now) is not Stage.ending:
            return None
        if self.evidence.answers < _LEAST_ANSWERS:
            # Whoever asks for so little is judged later; a target that nobody
            # runs is not.
            if new_places:
                return None
            return Verdict(RolloutState.rolled_back, 'no upstream')
        if new_places < _LEAST_PLACES * old_places:
            return Verdict(RolloutState.rolled_back, 'too few places')
        return Verdict(RolloutState.completed, 'judged good')

    # -- what is written

    def wants_writing(self, now: float) -> bool:
        """Return whether a record should be written now."""
        if now - self._written_at >= RENEWED_S:
            return True
        if self.evidence.bad - self._written_bad >= _UNWRITTEN_BAD:
            return True
        used_up = self.exposed >= self._written
        return used_up and self.exposed + 1 <= self.allowed(now, once=True)

    def next_record(
        self, leader: str, now: float, day_s: float
    ) -> RolloutRecord:
        """Return what to write, with a block for the target."""
        most = self.allowed(now, once=True)
        per_s = self._rate(now) * self._bounds.share
        if self.stage(now) is not Stage.judging:
            per_s = self._rate(now)
        block = max(_LEAST_BLOCK, int(_BLOCK_S * per_s))
        # Requests that are placed meanwhile allow more.
        most += self._bounds.share * self._rate(now) * RENEWED_S
        exposed = max(self.exposed, min(self.exposed + block, int(most)))
        return RolloutRecord(
            self.order.revision,
            leader,
            now - self.began_at,
            day_s,
            self.seen,
            exposed,
            self.evidence.copied(),
        )

    def written(self, record: RolloutRecord, asked_at: float) -> None:
        """Take that a record is in the store; the question was asked then."""
        self._written = record.exposed
        self._written_at = asked_at
        self._written_bad = record.tallies.get('', Tally()).bad
        self._holds_until = asked_at + BLOCK_HOLDS_S

    def _takes_turn(self, now: float) -> bool:
        left = self.allowed(now) - self.exposed
        if left < 1:
            self._is_open = False
        elif left >= _AT_A_TIME:
            self._is_open = True
        return self._is_open

    def _last_s(self) -> float:
        return min(_LAST_S, _LAST_PART * self.order.limit_s)

    def _rate(self, now: float) -> float:
        """Return how many requests are placed in a second."""
        return self.seen / max(1, now - self.began_at)
