"""A rollout on its leader: limits the requests that the target version gets.

A bad version must not get more than a share of its service's requests. The
target therefore stays below this share until the end, however good its
responses are, since it may turn bad late. The remainder is reserved for the
time between the completion and the deadline of the order, in which the target
gets all requests. Shortly before the completion, non-repeatable requests go to
the target as far as the share allows, because requests that still run on the
old upstreams at the completion are aborted.

Every request placed on the target is covered by a budget block that was written
to the store beforehand and that expires after a short time. The next leader
counts everything that was written as used. A leader that cannot reach the store
stops placing requests on the target.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Mapping

import msgspec

from .evidence import CanaryAnalysis, Tally
from .jobs import Job, RunReport
from .versions import RolloutOrder, RolloutState

# Fractions of the share and of the additional allowance that the target gets
# during evaluation; the rest is for non-repeatable requests and for the end.
_EVALUATION_SHARE = 0.5
_EVALUATION_ALLOWANCE = 0.5
# Fraction of the allowance that is available from the start. The rest is added
# over time, so that a version that turns bad late is detected as well.
_INITIAL_ALLOWANCE = 0.15
# The target gets requests in batches of this size during evaluation, which show
# its behavior under load; single requests do not.
_BATCH_SIZE = 16
# Fraction of the allowance that is never used, since the request counts of two
# instances differ.
_UNUSED_ALLOWANCE = 0.1
# Non-repeatable requests go to the target for this long before the completion:
# the smaller of a time in seconds and a fraction of the order's duration.
_SHIFT_S = 2.5
_SHIFT_FRACTION = 0.25
# The completion is written this long before the deadline: the smaller of a time
# in seconds and a fraction of the order's duration. The order may be older than
# its first sighting by a third of that time, and the write takes time.
_COMPLETION_LEAD_S = 0.5
_COMPLETION_LEAD_FRACTION = 0.15
# Safety factor of the budget that is reserved for the end.
_RESERVE_FACTOR = 1.4
# Size of a budget block: the requests of the target in this many seconds, and a
# minimum number of requests.
_BLOCK_S = 2.0
_MIN_BLOCK = 5
# A block is valid for this long after its write and is renewed before it
# expires, in seconds.
BLOCK_VALID_S = 2.5
_RENEW_S = 1.2
# Bad responses after which a record is written; fewer may be lost if the leader
# fails.
_MAX_UNWRITTEN_BAD = 4
# Responses that are required for completion: a bad version that fails a third
# of its responses almost certainly fails at least five of this many.
_MIN_ANSWERS = 30
# Slots that the target must have, as a fraction of those of the old upstreams.
_MIN_SLOTS_FRACTION = 0.5


class RolloutBounds(msgspec.Struct, frozen=True):
    """Limit for a bad version: a share of all requests plus an allowance."""

    share: float = 0.1
    allowance: float = 50


class RolloutRecord(msgspec.Struct, frozen=True):
    """The stored state of a rollout, from which the next leader continues.

    order: revision of the order. leader: incarnation of the leading instance,
    empty if it has stepped down. elapsed_s: time from the order to the wall
    clock time `day_s`. seen: requests placed on any version. exposed: maximum
    number of requests that the target has got.
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
    """Stage of a rollout.

    judging: the target gets few requests. shifting: it also gets non-repeatable
    requests. ending: the completion is due.
    """

    judging = 'judging'
    shifting = 'shifting'
    ending = 'ending'


class Verdict(msgspec.Struct, frozen=True):
    """The final state of a rollout, and its cause."""

    state: RolloutState
    cause: str


class Rollout:
    """The rollout of one service on the instance that leads it."""

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        record: RolloutRecord,
        began_at: float,
    ) -> None:
        """Continue from a stored record.

        began_at: time of the order on the local clock.
        """
        self.order = order
        self.analysis = CanaryAnalysis(record.tallies)
        self.began_at = began_at
        self.seen = record.seen
        # The part of the written budget that was really used is unknown.
        self.exposed = record.exposed
        self._bounds = bounds
        self._written = record.exposed
        self._valid_until = float('-inf')
        self._written_at = float('-inf')
        self._written_bad = self.analysis.bad
        # Requests placed since then by route: all, and those on the target.
        self._seen_by_route: collections.Counter[str] = collections.Counter()
        self._exposed_by_route: collections.Counter[str] = collections.Counter()
        # Whether a batch of requests for the target is in progress.
        self._batch_open = True

    def resume(self, record: RolloutRecord) -> None:
        """Continue after a pause in which another instance may have led."""
        self.seen = max(self.seen, record.seen)
        self.exposed = max(self.exposed, record.exposed)
        self._written = self.exposed
        self._valid_until = float('-inf')
        self._written_at = float('-inf')
        self.analysis.merge(record.tallies)

    def stage(self, now: float) -> Stage:
        """Return the current stage."""
        limit_s = self.order.limit_s
        left_s = self.began_at + limit_s - now
        if left_s <= self._completion_lead_s():
            return Stage.ending
        shift_s = min(_SHIFT_S, _SHIFT_FRACTION * limit_s)
        if left_s <= self._completion_lead_s() + shift_s:
            return Stage.shifting
        return Stage.judging

    def allowed(self, now: float, *, non_idempotent: bool = False) -> float:
        """Return the maximum number of requests of the target by now.

        non_idempotent: for non-repeatable requests, whose limit is higher
        near the end.
        """
        bounds = self._bounds
        passed = min(1, max(0, now - self.began_at) / self.order.limit_s)
        fraction = _INITIAL_ALLOWANCE
        fraction += passed * (_EVALUATION_ALLOWANCE - _INITIAL_ALLOWANCE)
        evaluation_limit = _EVALUATION_SHARE * bounds.share * self.seen
        evaluation_limit += fraction * bounds.allowance
        if not non_idempotent or self.stage(now) is Stage.judging:
            return evaluation_limit
        limit = bounds.share * self.seen
        limit += (1 - _UNUSED_ALLOWANCE) * bounds.allowance
        reserved = self._rate(now) * self._completion_lead_s() * _RESERVE_FACTOR
        return max(evaluation_limit, limit - reserved)

    def may_place_on_target(self, job: Job, now: float) -> bool:
        """Return whether a job may be placed on the target.

        Jobs that failed elsewhere, are suspected of crashing upstreams or
        exceed a quota are not exposed to a version that may fail. The limit is
        divided among the routes, so that each of them is evaluated. A stream
        that the target began can go on nowhere else.
        """
        goes_on = job.version == self.order.target
        if job.excluded and not goes_on:
            return False
        if job.over_quota or job.suspect_digest:
            return False
        if now >= self._valid_until or self.exposed >= self._written:
            return False
        if self.analysis.rejection_reason is not None:
            return False
        is_judging = self.stage(now) is Stage.judging
        if goes_on or (job.non_idempotent and not is_judging):
            return self.exposed + 1 <= self.allowed(now, non_idempotent=True)
        if not self._is_batch_open(now):
            return False
        seen = max(1, self._seen_by_route.total())
        fraction = self._seen_by_route[job.route] / seen
        return self._exposed_by_route[job.route] <= 1 + fraction * self.allowed(
            now
        )

    def record_placed(self, job: Job, *, canary: bool) -> None:
        """Record that a job was placed."""
        self.seen += 1
        self._seen_by_route[job.route] += 1
        if canary:
            self.exposed += 1
            self._exposed_by_route[job.route] += 1

    def record_ended(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        now: float,
        *,
        canary: bool,
    ) -> None:
        """Record how a job ended."""
        self.analysis.record(job, upstream, report, now, canary=canary)

    def verdict(
        self, now: float, old_slots: int, new_slots: int
    ) -> Verdict | None:
        """Return how the rollout ends, None while it continues."""
        self.analysis.check_speed()
        cause = self.analysis.rejection_reason
        if cause is not None:
            return Verdict(RolloutState.rolled_back, cause)
        if self.stage(now) is not Stage.ending:
            return None
        if self.analysis.answers < _MIN_ANSWERS:
            # A service with few requests is evaluated for longer, unless the
            # target has no upstreams.
            if new_slots:
                return None
            return Verdict(RolloutState.rolled_back, 'target has no upstreams')
        if new_slots < _MIN_SLOTS_FRACTION * old_slots:
            return Verdict(RolloutState.rolled_back, 'target has too few slots')
        return Verdict(RolloutState.completed, 'no regression found')

    # -- stored records

    def is_write_due(self, now: float) -> bool:
        """Return whether a record is due to be written."""
        if now - self._written_at >= _RENEW_S:
            return True
        if self.analysis.bad - self._written_bad >= _MAX_UNWRITTEN_BAD:
            return True
        used_up = self.exposed >= self._written
        return used_up and self.exposed + 1 <= self.allowed(
            now, non_idempotent=True
        )

    def next_record(
        self, leader: str, now: float, day_s: float
    ) -> RolloutRecord:
        """Return the record to write, with a new budget block."""
        limit = self.allowed(now, non_idempotent=True)
        per_s = self._rate(now) * self._bounds.share
        if self.stage(now) is not Stage.judging:
            per_s = self._rate(now)
        block = max(_MIN_BLOCK, int(_BLOCK_S * per_s))
        # Requests placed until the next write raise the limit.
        limit += self._bounds.share * self._rate(now) * _RENEW_S
        exposed = max(self.exposed, min(self.exposed + block, int(limit)))
        return RolloutRecord(
            self.order.revision,
            leader,
            now - self.began_at,
            day_s,
            self.seen,
            exposed,
            self.analysis.copy_tallies(),
        )

    def record_written(self, record: RolloutRecord, asked_at: float) -> None:
        """Record that a record was stored by a call made at `asked_at`."""
        self._written = record.exposed
        self._written_at = asked_at
        self._written_bad = record.tallies.get('', Tally()).bad
        self._valid_until = asked_at + BLOCK_VALID_S

    def _is_batch_open(self, now: float) -> bool:
        remaining = self.allowed(now) - self.exposed
        if remaining < 1:
            self._batch_open = False
        elif remaining >= _BATCH_SIZE:
            self._batch_open = True
        return self._batch_open

    def _completion_lead_s(self) -> float:
        return min(
            _COMPLETION_LEAD_S,
            _COMPLETION_LEAD_FRACTION * self.order.limit_s,
        )

    def _rate(self, now: float) -> float:
        """Return the number of requests placed per second."""
        return self.seen / max(1, now - self.began_at)
