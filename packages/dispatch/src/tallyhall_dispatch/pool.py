"""The queue of one service.

Jobs wait here, not at the upstreams, which know no priorities: a job is
granted to an upstream only when one of its places is free.

A place goes to the most urgent job that it can still serve in time, for
which the time to read the prompt there counts; jobs that cannot be in time
anywhere use what is left over. A job for which the places that become free
do not suffice is given up at once instead of after a vain wait.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

import msgspec

from .desired import Upstream
from .engines import EngineView
from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import BROKEN_OFF, Ending, Job, RunReport
from .placing import Placing
from .refusing import GivenUp, Refusing
from .shares import GrantRates, ServedShares
from .switches import ALL_ON, Switches
from .waiting import WaitingJobs

if TYPE_CHECKING:
    from .rollout import Rollout

# Part of all places that must be free for a job above its quota: what arrives
# within the next tenth of a second finds a place without waiting.
_SPARE_FREE_PART = 0.25
# The same for a late job, which holds a place for as long as one in time and is
# worth a part of it: what arrives meanwhile should not wait for its end. With
# it the worst two seconds of eight loaded days rose from 0.335 to 0.354.
_LATE_FREE_PART = 0.08
# Waiting jobs are looked through for late ones this often, in seconds; a
# fortieth of the shortest objective.
_SWEEP_S = 0.02
# The same for up to so many jobs, and less often in proportion with more: a
# look at one takes 3 us, so sweeps stay under 2% of a core.
_SWEPT_OFTEN = 100
# A suspect waits so long after a run of its like that broke off, in seconds:
# whether that was the end of its upstream is known everywhere within a tenth.
_VERDICT_S = 0.1
# Jobs of one urgency that are tried on the free places at a time; each try
# looks at all upstreams.
_TRIED = 12


class Granted(msgspec.Struct, frozen=True):
    """A job may be sent to this upstream, once.

    forecast_s: time that is expected until the first event from there.
    """

    key: str
    upstream: Upstream
    forecast_s: float = 0


Decision = Granted | GivenUp


class ServicePool:
    """Waiting and running jobs of one service."""

    def __init__(
        self,
        service: str,
        event_tokens: int,
        rng: random.Random,
        switches: Switches = ALL_ON,
    ) -> None:
        """Start without upstreams and jobs."""
        self.service = service
        # Set while this instance leads a roll-out of the service.
        self.rollout: Rollout | None = None
        self._event_tokens = event_tokens
        self._switches = switches
        self._group = UpstreamGroup(switches, rng)
        self._waiting = WaitingJobs()
        # Where each job that was granted runs.
        self._places: dict[str, EngineView] = {}
        self._shares = ServedShares()
        self._rates = GrantRates()
        self._placing = Placing(self._group, event_tokens, rng, switches)
        self._refusing = Refusing(self._group, self._rates, rng, switches)
        # Until when what came of a run of each suspect is not known.
        self._unjudged: dict[str, float] = {}
        self._unseen: list[str] = []
        self._swept_at: float = 0

    @property
    def is_model(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self._event_tokens > 0

    @property
    def views(self) -> Mapping[str, EngineView]:
        """Return what is known of each upstream, by incarnation."""
        return self._group.views

    @property
    def upstreams(self) -> UpstreamGroup:
        """Return the upstreams, with what binds all of them."""
        return self._group

    @property
    def waiting(self) -> int:
        """Return how many jobs wait."""
        return len(self._waiting)

    @property
    def places(self) -> int:
        """Return how many places the upstreams have that stay."""
        return self._group.places

    @property
    def canary_places(self) -> int:
        """Return how many places the upstreams on trial have."""
        return self._group.canary_places()

    def opens_in_s(self, resting: Mapping[str, float], now: float) -> float:
        """Return how long all upstreams rest, 0 if one does not."""
        return self._group.opens_in_s(resting, now)

    def take_share(self, share: float) -> None:
        """Fill at most this part of the places."""
        self._group.share = share

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take the upstreams of this service as they stand now."""
        self._group.take(upstreams)

    def misplaced(self, incarnation: str) -> None:
        """Forget an upstream whose address another one has."""
        self._group.misplaced(incarnation)

    def ask(self, job: Job) -> None:
        """Queue a job."""
        self._waiting.add(job)
        self._unseen.append(job.key)

    def withdraw(self, key: str) -> None:
        """Forget a waiting job."""
        self._waiting.remove(key)

    def first_byte(self, key: str) -> None:
        """Take that a job's answer has begun."""
        view = self._places.get(key)
        if view is not None:
            view.first_byte(key)

    def finish(self, key: str, report: RunReport, now: float) -> None:
        """Take that a granted job no longer runs."""
        view = self._places.pop(key, None)
        if view is None:
            return
        run = view.runs.get(key)
        if run is not None:
            self._note_ending(run.job, report, now)
            self._tell_rollout(run.job, view, report, now)
        view.finish(key, report, now)

    def note_running(self, job: Job, incarnation: str) -> None:
        """Take that a job runs that was not granted here."""
        view = self.views.get(incarnation)
        if view is not None and job.key not in self._places:
            view.grant(job)
            self._places[job.key] = view

    def drop_jobs(self, prefix: str) -> None:
        """Forget all jobs whose key has this prefix."""
        self._waiting.remove_all(prefix)
        for running in tuple(self._places):
            if running.startswith(prefix):
                self._places.pop(running).drop(running)

    def decide(self, now: float) -> list[Decision]:
        """Grant what can be granted, give up what has become too late."""
        decisions: list[Decision] = []
        if not self._waiting:
            self._unseen.clear()
            return decisions
        forecast = self._group.forecast(now)
        for grant in self._grants(forecast):
            decisions.append(grant)
            self._waiting.remove(grant.key)
        for job, ahead in self._to_look_at(forecast):
            given_up = self._refusing.judge(job, ahead, forecast)
            if given_up is None:
                continue
            self._waiting.remove(job.key)
            if not job.spare:
                self._shares.note(job.urgency, served=False)
            decisions.append(given_up)
        return decisions

    # -- suspects

    def _note_ending(self, job: Job, report: RunReport, now: float) -> None:
        if report.ending is Ending.answered:
            self._placing.answered(job, report.events)
        elif job.suspect and report.ending in BROKEN_OFF:
            self._unjudged = {
                suspect: until
                for suspect, until in self._unjudged.items()
                if now < until
            }
            self._unjudged[job.suspect] = now + _VERDICT_S

    def _is_tried(self, suspect: str, now: float) -> bool:
        if now < self._unjudged.get(suspect, 0):
            return True
        return any(
            run.reading and run.job.suspect == suspect
            for view in self.views.values()
            for run in view.runs.values()
        )

    # -- places

    def _grants(self, forecast: Forecast) -> Iterator[Granted]:
        """Yield what the free places allow, in the order of the queue.

        Jobs in time come first, by the rank of their urgency (see
        `ServedShares`) and then by the time at which they are due.
        """
        now = forecast.now
        free = self._group.free(now)
        if self.rollout is not None:
            free += self._group.free_canaries(now)
        if not free:
            return
        for job in self._candidates(forecast):
            view = self._choice(job, free, forecast)
            if view is None:
                continue
            forecast_s = view.first_s(job)
            self._take_place(job, view, now)
            yield Granted(job.key, view.upstream, forecast_s)
            if not self._group.has_place(view, now):
                free.remove(view)
            if not free:
                return

    def _choice(
        self,
        job: Job,
        free: list[EngineView],
        forecast: Forecast,
    ) -> EngineView | None:
        """Return the place for a job; on trial only what the roll-out lets."""
        if self.rollout is None:
            return self._placing.best(job, free, forecast)
        now = forecast.now
        if self.rollout.may_expose(job, now):
            for canary in free:
                rests = now < job.resting.get(canary.incarnation, now)
                if canary.upstream.canary and not rests:
                    return canary
        in_use = [view for view in free if not view.upstream.canary]
        return self._placing.best(job, in_use, forecast)

    def _tell_rollout(
        self,
        job: Job,
        view: EngineView,
        report: RunReport,
        now: float,
    ) -> None:
        if self.rollout is not None:
            self.rollout.ended(
                job,
                view.incarnation,
                report,
                now,
                canary=view.upstream.canary,
            )

    def _candidates(self, forecast: Forecast) -> Iterator[Job]:
        """Yield the jobs that are next; those that can be in time come first.

        Places are taken meanwhile, so what is free is counted for each job.
        """
        waiting = self._waiting
        waiting.set_late_aside(
            lambda job: not forecast.may_be_in_time(job, forecast.now),
        )
        for late in (False, True):
            for job in self._in_order(late=late):
                if self._may_take_place(job, forecast.now, late=late):
                    yield job

    def _in_order(self, *, late: bool) -> Iterator[Job]:
        """Yield the first jobs of each urgency, in the order of ranks."""
        for urgency in self._ranked(self._waiting.urgencies(late=late)):
            yield from self._waiting.first(urgency, _TRIED, late=late)

    def _ranked(self, urgencies: list[int]) -> list[int]:
        if not self._switches.served_shares:
            return sorted(urgencies)
        return sorted(urgencies, key=self._shares.rank)

    def _may_take_place(self, job: Job, now: float, *, late: bool) -> bool:
        """Return whether enough places are free for a job of this kind.

        A suspect waits for its like, which may end another upstream.
        """
        if job.suspect and self._is_tried(job.suspect, now):
            return False
        if job.spare:
            return self._group.has_free(_SPARE_FREE_PART, now)
        if late and self._switches.late_places:
            return self._group.has_free(_LATE_FREE_PART, now)
        return True

    def _take_place(self, job: Job, view: EngineView, now: float) -> None:
        view.grant(job)
        self._places[job.key] = view
        if self.rollout is not None:
            self.rollout.placed(job, canary=view.upstream.canary)
        if job.spare:
            return
        self._rates.note(job.urgency, now)
        in_time = now + view.first_s(job) <= job.due_at
        self._shares.note(job.urgency, served=in_time)

    # -- giving up

    def _to_look_at(self, forecast: Forecast) -> Iterator[tuple[Job, int]]:
        """Yield the jobs that may have to be given up now.

        With each comes how many of its urgency are ahead of it. New ones are
        looked at at once, all of them every `_SWEEP_S`.
        """
        unseen = self._unseen
        self._unseen = []
        often = max(1, len(self._waiting) / _SWEPT_OFTEN)
        if forecast.now - self._swept_at >= _SWEEP_S * often:
            yield from self._sweep(forecast)
            return
        for key in unseen:
            job = self._waiting.get(key)
            if job is not None:
                yield job, self._ahead_of(job, forecast)

    def _sweep(self, forecast: Forecast) -> Iterator[tuple[Job, int]]:
        self._swept_at = forecast.now
        in_time = {
            job.key
            for job in self._waiting.all()
            if forecast.may_be_in_time(job, forecast.now)
        }
        self._refusing.in_time = len(in_time)
        ahead: collections.Counter[int] = collections.Counter()
        for job in sorted(self._waiting.all(), key=_due_at):
            yield job, ahead[job.urgency]
            # Late ones take what is left over, so nobody waits behind them.
            if job.key in in_time or not self._switches.late_aside:
                ahead[job.urgency] += self._waiting.get(job.key) is not None

    def _ahead_of(self, job: Job, forecast: Forecast) -> int:
        return sum(
            other.urgency == job.urgency
            and other.due_at < job.due_at
            and self._is_waited_for(other, forecast)
            for other in self._waiting.all()
        )

    def _is_waited_for(self, job: Job, forecast: Forecast) -> bool:
        if not self._switches.late_aside:
            return True
        return forecast.may_be_in_time(job, forecast.now)


def _due_at(job: Job) -> float:
    return job.due_at
