"""The queue of one service and the choice of an upstream for each job.

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

import msgspec

from .desired import Upstream
from .engines import FIRST_FIXED_S, EngineView
from .jobs import Ending, Job, RunReport
from .shares import AnswerLengths, GrantRates, ServedShares
from .waiting import WaitingJobs


class Granted(msgspec.Struct, frozen=True):
    """A job may be sent to this upstream, once.

    forecast_s: time that is expected until the first event from there.
    """

    key: str
    upstream: Upstream
    forecast_s: float = 0


class GivenUp(msgspec.Struct, frozen=True):
    """A job cannot be answered in time; it was not sent."""

    key: str
    retry_after_s: float


Decision = Granted | GivenUp

# What a refused caller is told to wait, in seconds: at least, at most, and at
# least where it will be late whenever it comes back. Spread between the last
# two, the price of refusing it again fell from 0.015 to 0.014.
_LEAST_RETRY_S = 0.25
_LONGEST_RETRY_S = 3.0
_LATE_RETRY_S = 1.0
# A job is given up this long before an upstream could no longer answer it, in
# seconds: two looks at the queue.
_GIVE_UP_MARGIN_S = 0.05
# Part of all places that must be free for a job above its quota: what arrives
# within the next tenth of a second finds a place without waiting.
_SPARE_FREE_PART = 0.25
# The same for a late job, which holds a place for as long as one in time and is
# worth a part of it: what arrives meanwhile should not wait for its end. With
# it the worst two seconds of eight loaded days rose from 0.335 to 0.354.
_LATE_FREE_PART = 0.08
# Jobs that can be in time and wait, from which on a late job is given up:
# fewer are the ordinary jitter of arrivals.
_IN_TIME_MANY = 3
# Places in a second that are taken for granted at least.
_LEAST_RATE = 0.5
# Forecast costs are spread by up to this factor.
_SPREAD = 1.1
# An upstream of another zone must be better by this factor: bytes between
# zones are paid for.
_OTHER_ZONE = 1.6
# A job waits for an upstream that keeps its pace until this part of the time
# to its first event is left: on a slow one it is on time in half of the cases.
_PACE_PART = 0.5
# Waiting jobs are looked through for late ones this often, in seconds; a
# fortieth of the shortest objective.
_SWEEP_S = 0.02
# The same for up to so many jobs, and less often in proportion with more: a
# look at one takes 3 us, so sweeps stay under 2% of a core.
_SWEPT_OFTEN = 100
# Jobs of one urgency that are tried on the free places at a time; each try
# looks at all upstreams.
_TRIED = 12


class _Forecast(msgspec.Struct, frozen=True):
    """What is known when the queue is looked at.

    rate: places that become free in a second, 0 if unknown. token_s: least
    time to read a token of a prompt, anywhere.
    """

    now: float
    rate: float
    first_s: float
    token_s: float

    def may_be_in_time(self, job: Job, starts_at: float) -> bool:
        """Return whether the fastest upstream could be in time."""
        first_s = self.first_s + job.prompt_tokens * self.token_s
        return starts_at + first_s <= job.due_at


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
        self._misplaced: set[str] = set()
        self._waiting = WaitingJobs()
        self._places: dict[str, EngineView] = {}
        self._shares = ServedShares()
        self._rates = GrantRates()
        self._lengths = AnswerLengths()
        self._unseen: list[str] = []
        self._swept_at: float = 0
        # Made anew at most once a sweep: it looks at all upstreams.
        self._known: _Forecast | None = None
        # Waiting jobs that could be in time, at the last sweep.
        self._in_time = 0

    @property
    def is_model(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self._event_tokens > 0

    @property
    def views(self) -> Mapping[str, EngineView]:
        """Return what is known of each upstream, by incarnation."""
        return self._views

    @property
    def waiting(self) -> int:
        """Return how many jobs wait."""
        return len(self._waiting)

    @property
    def places(self) -> int:
        """Return how many places the upstreams have that stay."""
        return sum(
            view.upstream.slots
            for view in self._views.values()
            if not view.upstream.leaving
        )

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take the upstreams of this service as they stand now."""
        known = {upstream.incarnation: upstream for upstream in upstreams}
        for gone in self._views.keys() - known.keys():
            self._views.pop(gone)
        self._misplaced &= known.keys()
        for incarnation, upstream in known.items():
            if incarnation in self._misplaced:
                continue
            view = self._views.get(incarnation)
            if view is None:
                self._views[incarnation] = EngineView(upstream)
                continue
            view.upstream = upstream

    def misplaced(self, incarnation: str) -> None:
        """Forget an upstream whose address another one has, while it is named.

        A last report of one that has gone may come after its end and name it
        for three heartbeats more; each look at it would cost a request's time.
        """
        if self._views.pop(incarnation, None) is not None:
            self._misplaced.add(incarnation)

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
        if run is not None and report.ending is Ending.answered:
            self._lengths.note(run.job.urgency, report.events)
        view.finish(key, report, now)

    def note_running(self, job: Job, incarnation: str) -> None:
        """Take that a job runs that was not granted here."""
        view = self._views.get(incarnation)
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
        forecast = self._forecast(now)
        for grant in self._grants(forecast):
            decisions.append(grant)
            self._waiting.remove(grant.key)
        for job, ahead in self._to_look_at(forecast):
            given_up = self._give_up(job, ahead, forecast)
            if given_up is None:
                continue
            self._waiting.remove(job.key)
            if not job.spare:
                self._shares.note(job.urgency, served=False)
            decisions.append(given_up)
        return decisions

    # -- places

    def _grants(self, forecast: _Forecast) -> Iterator[Granted]:
        """Yield what the free places allow, in the order of the queue.

        Jobs in time come first, by the rank of their urgency (see
        `ServedShares`) and then by the time at which they are due.
        """
        now = forecast.now
        free = self._free_views(now)
        if not free:
            return
        for job, late in self._candidates(forecast):
            if late and not self._has_free(_LATE_FREE_PART, now):
                return
            view = self._best(job, free, forecast)
            if view is None:
                continue
            forecast_s = view.first_s(job)
            self._take_place(job, view, now)
            yield Granted(job.key, view.upstream, forecast_s)
            if view.free(self.share) <= 0:
                free.remove(view)
            if not free:
                return

    def _candidates(
        self,
        forecast: _Forecast,
    ) -> Iterator[tuple[Job, bool]]:
        """Yield the jobs that are next, and whether they are late.

        Those that can be in time come first.
        """
        waiting = self._waiting
        waiting.set_late_aside(
            lambda job: not forecast.may_be_in_time(job, forecast.now),
        )
        for late in (False, True):
            ranked = sorted(waiting.urgencies(late=late), key=self._shares.rank)
            for urgency in ranked:
                for job in waiting.first(urgency, _TRIED, late=late):
                    yield job, late

    def _take_place(self, job: Job, view: EngineView, now: float) -> None:
        view.grant(job)
        self._places[job.key] = view
        if job.spare:
            return
        self._rates.note(job.urgency, now)
        in_time = now + view.first_s(job) <= job.due_at
        self._shares.note(job.urgency, served=in_time)

    def _free_views(self, now: float) -> list[EngineView]:
        return [view for view in self._usable(now) if view.free(self.share) > 0]

    def _usable(self, now: float) -> list[EngineView]:
        """Return the upstreams that take jobs: where all fail, all of them.

        Most of what is sent to one that fails in part succeeds, and what is
        kept from all of them is refused with their places free.
        """
        staying = [
            view for view in self._views.values() if not view.upstream.leaving
        ]
        sound = [view for view in staying if not view.is_aside(now)]
        return sound or staying

    def _best(
        self,
        job: Job,
        free: list[EngineView],
        forecast: _Forecast,
    ) -> EngineView | None:
        """Return the free upstream that is done first, None to wait on."""
        if job.spare and not self._has_free(_SPARE_FREE_PART, forecast.now):
            return None
        best: EngineView | None = None
        least: float = 0
        stated = job.output_tokens / max(1, self._event_tokens)
        events = min(stated, self._lengths.events(job.urgency, stated))
        for view in self._acceptable(job, free, forecast):
            # Instances that know nothing yet must not all choose the same.
            cost = view.total_s(job, events)
            cost *= self._rng.uniform(1, _SPREAD)
            if view.upstream.zone != job.zone:
                cost *= _OTHER_ZONE
            if best is None or cost < least:
                best = view
                least = cost
        return best

    def _acceptable(
        self,
        job: Job,
        free: list[EngineView],
        forecast: _Forecast,
    ) -> Iterator[EngineView]:
        """Yield the free upstreams whose places a job may take.

        One that could be in time elsewhere does not take a place on which it
        would be late, by its first event or by a pause later on.
        """
        slack_s = job.due_at - forecast.now
        may_wait = forecast.may_be_in_time(job, forecast.now)
        wants_pace = may_wait and self._waits_for_pace(job, forecast.now)
        for view in free:
            if view.incarnation in job.excluded:
                continue
            if may_wait and view.first_s(job) > slack_s:
                continue
            if wants_pace and not view.keeps_pace(job, self._event_tokens):
                continue
            yield view

    def _waits_for_pace(self, job: Job, now: float) -> bool:
        """Return whether a job is kept for upstreams without long pauses.

        A slow one is taken all the same once waiting has cost a part of the
        job's time, and where no other is quick enough either.
        """
        if not job.pause_s:
            return False
        if job.due_at - now < _PACE_PART * (job.due_at - job.asked_at):
            return False
        return any(
            view.keeps_pace(job, self._event_tokens)
            for view in self._usable(now)
        )

    def _has_free(self, part: float, now: float) -> bool:
        usable = self._usable(now)
        places = sum(view.upstream.slots for view in usable)
        free = sum(max(0, view.free(self.share)) for view in usable)
        return free >= part * places

    # -- giving up

    def _to_look_at(
        self,
        forecast: _Forecast,
    ) -> Iterator[tuple[Job, int]]:
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

    def _sweep(self, forecast: _Forecast) -> Iterator[tuple[Job, int]]:
        self._swept_at = forecast.now
        in_time = {
            job.key
            for job in self._waiting.all()
            if forecast.may_be_in_time(job, forecast.now)
        }
        self._in_time = len(in_time)
        ahead: collections.Counter[int] = collections.Counter()
        for job in sorted(self._waiting.all(), key=_due_at):
            yield job, ahead[job.urgency]
            # Late ones take what is left over, so nobody waits behind them.
            if job.key in in_time:
                ahead[job.urgency] += self._waiting.get(job.key) is not None

    def _ahead_of(self, job: Job, forecast: _Forecast) -> int:
        return sum(
            other.urgency == job.urgency
            and other.due_at < job.due_at
            and forecast.may_be_in_time(other, forecast.now)
            for other in self._waiting.all()
        )

    def _give_up(
        self,
        job: Job,
        ahead: int,
        forecast: _Forecast,
    ) -> GivenUp | None:
        """Return why a job must not wait on, or None if it may.

        Under load a late job is given up at once: the place that it would
        take serves another job in time, and its caller learns early that it
        should come back.
        """
        if not self._has_usable(job):
            return GivenUp(job.key, _LEAST_RETRY_S)
        wait_s = self._wait_s(job.urgency, ahead, forecast)
        retry_s = min(_LONGEST_RETRY_S, max(_LEAST_RETRY_S, 2 * wait_s))
        if forecast.now + _LEAST_RETRY_S > job.due_at:
            # It will be late whenever it comes back, so it comes when there
            # is less to do, and not all of them at once.
            longer_s = self._rng.uniform(_LATE_RETRY_S, _LONGEST_RETRY_S)
            retry_s = max(retry_s, longer_s)
        if job.spare or forecast.now >= job.give_up_at - _GIVE_UP_MARGIN_S:
            return GivenUp(job.key, retry_s)
        starts_at = forecast.now + wait_s
        if forecast.may_be_in_time(job, starts_at):
            return None
        hopeless = starts_at > job.give_up_at
        if hopeless or self._in_time >= _IN_TIME_MANY:
            return GivenUp(job.key, retry_s)
        return None

    def _wait_s(
        self,
        urgency: int,
        ahead: int,
        forecast: _Forecast,
    ) -> float:
        """Return the forecast wait behind so many, 0 where nothing is known.

        What is granted to more urgent jobs is not there for this one; what
        its own urgency was granted in the last second goes on.
        """
        if not forecast.rate:
            return 0
        others = self._rates.above(urgency, forecast.now)
        own = self._rates.per_s(urgency, forecast.now)
        rate = max(own, forecast.rate - others, _LEAST_RATE)
        return (ahead + 1) / rate

    def _has_usable(self, job: Job) -> bool:
        # One that is left out for its failures comes back soon.
        return any(
            not view.upstream.leaving and view.incarnation not in job.excluded
            for view in self._views.values()
        )

    # -- forecasts

    def _forecast(self, now: float) -> _Forecast:
        known = self._known
        if known is not None and now - known.now < _SWEEP_S:
            return msgspec.structs.replace(known, now=now)
        usable = self._usable(now)
        rate = sum(view.free_rate for view in usable)
        first_s = FIRST_FIXED_S if usable else 0
        token_s = min((view.token_s for view in usable), default=0)
        self._known = _Forecast(now, rate, first_s, token_s)
        return self._known


def _due_at(job: Job) -> float:
    return job.due_at
