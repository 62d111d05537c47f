"""The queue of one service and the choice of an upstream for each job.

Jobs wait here, not at the upstreams, which know no priorities: a job is
granted to an upstream only when one of its places is free.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from .desired import Upstream
from .engines import EngineView
from .jobs import Job, RunReport


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


class ServicePool:
    """Waiting and running jobs of one service."""

    def __init__(self, service: str, event_tokens: int) -> None:
        """Start without upstreams and jobs."""
        self.service = service
        self._event_tokens = event_tokens
        self._views: dict[str, EngineView] = {}
        self._waiting: dict[str, Job] = {}
        self._places: dict[str, EngineView] = {}

    @property
    def is_model(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self._event_tokens > 0

    @property
    def waiting(self) -> int:
        """Return how many jobs wait."""
        return len(self._waiting)

    @property
    def views(self) -> Iterable[EngineView]:
        """Return what is known of each upstream."""
        return self._views.values()

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

    def note_running(self, job: Job, incarnation: str, now: float) -> None:
        """Take that a job runs that was not granted here."""
        view = self._views.get(incarnation)
        if view is not None and job.key not in self._places:
            view.grant(job, now)
            self._places[job.key] = view

    def drop_jobs(self, prefix: str) -> None:
        """Forget all jobs whose key has this prefix."""
        for key in [key for key in self._waiting if key.startswith(prefix)]:
            self._waiting.pop(key)
        for key in [key for key in self._places if key.startswith(prefix)]:
            self._places.pop(key).drop(key)

    def decide(self, now: float) -> list[Decision]:
        """Grant what can be granted, give up what has become too late."""
        decisions: list[Decision] = []
        order = sorted(self._waiting.values(), key=_order)
        for job in order:
            decision = self._decide_one(job, now)
            if decision is None:
                continue
            self._waiting.pop(job.key)
            decisions.append(decision)
        return decisions

    def _decide_one(self, job: Job, now: float) -> Decision | None:
        if now >= job.give_up_at - _GIVE_UP_MARGIN_S:
            return GivenUp(job.key, _LEAST_RETRY_S)
        view = self._best(job, now)
        if view is None:
            if not self._has_usable(job):
                return GivenUp(job.key, _LEAST_RETRY_S)
            return None
        view.grant(job, now)
        self._places[job.key] = view
        return Granted(job.key, view.upstream)

    def _has_usable(self, job: Job) -> bool:
        return any(
            not view.upstream.leaving
            and view.upstream.incarnation not in job.excluded
            for view in self._views.values()
        )

    def _best(self, job: Job, now: float) -> EngineView | None:
        best: EngineView | None = None
        least: float = 0
        for view in self._views.values():
            if view.upstream.leaving or view.free <= 0:
                continue
            if view.upstream.incarnation in job.excluded:
                continue
            if view.is_aside(now):
                continue
            cost = view.total_s(job, self._event_tokens)
            if best is None or cost < least:
                best = view
                least = cost
        return best


def _order(job: Job) -> tuple[int, float]:
    return job.urgency, job.due_at
