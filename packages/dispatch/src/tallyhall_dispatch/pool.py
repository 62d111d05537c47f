"""The queue of one service and the choice of an upstream for each job.

Jobs wait here, not at the upstreams, which know no priorities: a job is
granted to an upstream only when one of its places is free.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from .desired import Upstream
from .engines import EngineView
from .jobs import Job, RunReport
from .shares import ServedShares


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A job may be sent to this upstream, once."""

    key: str
    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """A job cannot be answered in time; it was not sent."""

    key: str
    retry_after_s: float


Decision = Granted | GivenUp

# What a refused caller is told to wait at least, in seconds.
_LEAST_RETRY_S = 0.25
# A job goes to an upstream only if that leaves it this part of the time
# between now and its end for the answer.
_GIVE_UP_MARGIN_S = 0.05
_LONGEST_RETRY_S = 3.0
# Jobs that can be in time and wait, from which on a late job is given up:
# fewer are the ordinary jitter of arrivals.
_IN_TIME_MANY = 3
_LEAST_HOLD_S = 0.005
# Forecast costs are spread by up to this factor.
_SPREAD = 1.1
# An upstream of another zone must be better by this factor: bytes between
# zones are paid for.
_OTHER_ZONE = 1.2


@dataclasses.dataclass(slots=True)
class _Line:
    """Forecasts for one look at the queue.

    rate: places that become free in a second. first_s: least time to a
    first event. ahead: jobs that stay in the queue before the one looked
    at; in_time: those of them that can be in time.
    """

    now: float
    rate: float
    first_s: float
    ahead: int = 0
    in_time: int = 0

    def wait_s(self) -> float:
        """Return the forecast wait of the next job."""
        if not self.rate:
            return 0
        return (self.ahead + 1) / self.rate

    def retry_after_s(self) -> float:
        """Return after how long a caller may find the queue shorter."""
        return min(_LONGEST_RETRY_S, max(_LEAST_RETRY_S, 2 * self.wait_s()))


class ServicePool:
    """Waiting and running jobs of one service."""

    def __init__(
        self,
        service: str,
        event_tokens: int,
        rng: random.Random,
    ) -> None:
        """Start without upstreams and jobs."""
        self.service = service
        # The part of all places that this pool may fill: what the instances
        # that it does not hear from may be filling themselves is left alone.
        self.share: float = 1
        self._rng = rng
        self._event_tokens = event_tokens
        self._views: dict[str, EngineView] = {}
        self._waiting: dict[str, Job] = {}
        self._places: dict[str, EngineView] = {}
        self._shares = ServedShares()

    @property
    def is_model(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self._event_tokens > 0

    @property
    def waiting(self) -> int:
        """Return how many jobs wait."""
        return len(self._waiting)

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take the upstreams of this service as they stand now."""
        known = {upstream.incarnation: upstream for upstream in upstreams}
        for gone in self._views.keys() - known.keys():
            self._views.pop(gone)
        for incarnation, upstream in known.items():
            view = self._views.get(incarnation)
            if view is None:
                self._views[incarnation] = EngineView(upstream)
                continue
            view.upstream = upstream

    def misplaced(self, incarnation: str) -> None:
        """Forget an upstream whose address another one has."""
        self._views.pop(incarnation, None)

    def ask(self, job: Job) -> None:
        """Queue a job."""
        self._waiting[job.key] = job

    def withdraw(self, key: str) -> None:
        """Forget a waiting job."""
        self._waiting.pop(key, None)

    def first_byte(self, key: str) -> None:
        """Take that a job's answer has begun."""
        view = self._places.get(key)
        if view is not None:
            view.first_byte(key)

    def finish(self, key: str, report: RunReport, now: float) -> None:
        """Take that a granted job no longer runs."""
        view = self._places.pop(key, None)
        if view is not None:
            view.finish(key, report, now)

    def note_running(self, job: Job, incarnation: str) -> None:
        """Take that a job runs that was not granted here."""
        view = self._views.get(incarnation)
        if view is not None and job.key not in self._places:
            view.grant(job)
            self._places[job.key] = view

    def drop_jobs(self, prefix: str) -> None:
        """Forget all jobs whose key has this prefix."""
        for waiting in tuple(self._waiting):
            if waiting.startswith(prefix):
                self._waiting.pop(waiting)
        for running in tuple(self._places):
            if running.startswith(prefix):
                self._places.pop(running).drop(running)

    def decide(self, now: float) -> list[Decision]:
        """Grant what can be granted, give up what has become too late.

        Jobs that can still be in time go first, by rank of their urgency
        (see `ServedShares`); late ones use what is left over. Under load a
        late job is given up at once: the place that it would take serves
        another job in time, and its caller learns early that it should come
        back.
        """
        if not self._waiting:
            return []
        line = _Line(now, self._free_rate(now), self._least_first_s(now))
        order = sorted(
            self._waiting.values(),
            key=lambda job: self._order(job, line),
        )
        decisions: list[Decision] = []
        for job in order:
            decision = self._decide_one(job, line)
            if decision is None:
                line.ahead += 1
                continue
            self._waiting.pop(job.key)
            if isinstance(decision, GivenUp):
                self._shares.note(job.urgency, served=False)
            decisions.append(decision)
        return decisions

    def _decide_one(self, job: Job, line: _Line) -> Decision | None:
        if line.now >= job.give_up_at - _GIVE_UP_MARGIN_S:
            return GivenUp(job.key, line.retry_after_s())
        view = self._best(job, line.now)
        if view is not None:
            view.grant(job)
            self._places[job.key] = view
            self._shares.note(job.urgency, served=line.now <= job.due_at)
            return Granted(job.key, view.upstream)
        if not self._has_usable(job):
            return GivenUp(job.key, _LEAST_RETRY_S)
        starts_at = line.now + line.wait_s()
        if starts_at + line.first_s <= job.due_at:
            line.in_time += 1
            return None
        hopeless = starts_at > job.give_up_at
        if hopeless or line.in_time >= _IN_TIME_MANY:
            return GivenUp(job.key, line.retry_after_s())
        return None

    def _order(self, job: Job, line: _Line) -> tuple[bool, float, float]:
        late = line.now + line.first_s > job.due_at
        return late, self._shares.rank(job.urgency), job.due_at

    def _free_rate(self, now: float) -> float:
        """Return how many places become free in a second, 0 if unknown."""
        rate: float = 0
        for view in self._views.values():
            if view.upstream.leaving or view.is_aside(now):
                continue
            if view.hold_s is None:
                continue
            rate += view.upstream.slots / max(_LEAST_HOLD_S, view.hold_s)
        return rate

    def _least_first_s(self, now: float) -> float:
        """Return the shortest time to a first event, anywhere."""
        known = [
            view.least_first_s
            for view in self._views.values()
            if not view.upstream.leaving and not view.is_aside(now)
        ]
        return min(known, default=0)

    def _has_usable(self, job: Job) -> bool:
        # One that is left out for its failures comes back soon.
        return any(
            not view.upstream.leaving
            and view.upstream.incarnation not in job.excluded
            for view in self._views.values()
        )

    def _best(self, job: Job, now: float) -> EngineView | None:
        best: EngineView | None = None
        least: float = 0
        for view in self._views.values():
            if view.free(self.share) <= 0 or not _may_take(view, job, now):
                continue
            # Instances that know nothing yet must not all choose the same.
            cost = view.total_s(job, self._event_tokens)
            cost *= self._rng.uniform(1, _SPREAD)
            if view.upstream.zone != job.zone:
                cost *= _OTHER_ZONE
            if best is None or cost < least:
                best = view
                least = cost
        return best


def _may_take(view: EngineView, job: Job, now: float) -> bool:
    if view.upstream.leaving or view.is_aside(now):
        return False
    return view.upstream.incarnation not in job.excluded
