"""The choice of an upstream for a job, among those with a free place.

Upstreams of one service differ in speed by a factor of five, so a job goes
where it is done first, and to none on which its answer would be late while it
could be in time elsewhere.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from .engines import EngineView
from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .shares import AnswerLengths
from .switches import Switches

# Forecast costs are spread by up to this factor.
_SPREAD = 1.1
# An upstream of another zone must be better by this factor: bytes between
# zones are paid for.
_OTHER_ZONE = 1.6
# A job waits for an upstream that keeps its pace until this part of the time
# to its first event is left: on a slow one it is on time in half of the cases.
_PACE_PART = 0.5


class Placing:
    """Chooses upstreams of one group."""

    def __init__(
        self,
        group: UpstreamGroup,
        event_tokens: int,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Choose in this group; an event holds so many tokens."""
        self._group = group
        self._event_tokens = event_tokens
        self._rng = rng
        self._switches = switches
        self._lengths = AnswerLengths()

    def answered(self, job: Job, events: int) -> None:
        """Learn how long the answer of a job was."""
        self._lengths.note(job.urgency, events)

    def best(
        self,
        job: Job,
        free: Iterable[EngineView],
        forecast: Forecast,
    ) -> EngineView | None:
        """Return the free upstream that is done first, None to wait on."""
        best: EngineView | None = None
        least: float = 0
        events = self._events(job)
        for view in self._acceptable(job, free, forecast):
            # Instances that know nothing yet must not all choose the same.
            cost = self._cost(view, job, events)
            cost *= self._rng.uniform(1, _SPREAD)
            if view.upstream.zone != job.zone:
                cost *= _OTHER_ZONE
            if best is None or cost < least:
                best = view
                least = cost
        return best

    def _events(self, job: Job) -> float:
        """Return the expected events of an answer.

        Callers state the most tokens that they take, ten times what comes.
        """
        stated = job.output_tokens / max(1, self._event_tokens)
        if not self._switches.lengths:
            return stated
        return min(stated, self._lengths.events(job.urgency, stated))

    def _cost(self, view: EngineView, job: Job, events: float) -> float:
        if job.suspect:
            # What runs beside it would end with it.
            return 1 + len(view.runs)
        if not self._switches.speeds:
            return 1 / view.free(self._group.share)
        return view.total_s(job, events)

    def _acceptable(
        self,
        job: Job,
        free: Iterable[EngineView],
        forecast: Forecast,
    ) -> Iterator[EngineView]:
        """Yield the free upstreams whose places a job may take.

        One that could be in time elsewhere does not take a place on which it
        would be late, by its first event or by a pause later on.
        """
        may_wait = forecast.may_be_in_time(job, forecast.now)
        wants_pace = may_wait and self._waits_for_pace(job, forecast.now)
        for view in free:
            if _is_barred(view, job, forecast.now):
                continue
            if may_wait and self._would_begin_late(view, job, forecast.now):
                continue
            if wants_pace and not view.keeps_pace(job, self._event_tokens):
                continue
            yield view

    def _would_begin_late(
        self,
        view: EngineView,
        job: Job,
        now: float,
    ) -> bool:
        if not self._switches.forecasts:
            return False
        return view.first_s(job) > job.due_at - now

    def _waits_for_pace(self, job: Job, now: float) -> bool:
        """Return whether a job is kept for upstreams without long pauses.

        A slow one is taken all the same once waiting has cost a part of the
        job's time, and where no other is quick enough either.
        """
        if not job.pause_s or not self._switches.pauses:
            return False
        if job.due_at - now < _PACE_PART * (job.due_at - job.asked_at):
            return False
        return any(
            view.keeps_pace(job, self._event_tokens)
            for view in self._group.usable(now)
        )


def _is_barred(view: EngineView, job: Job, now: float) -> bool:
    """Return whether a job must not begin at an upstream.

    Two suspects that ended with one upstream could not be told apart.
    """
    if view.incarnation in job.excluded:
        return True
    if now < job.resting.get(view.incarnation, now):
        return True
    return bool(job.suspect) and view.reads_suspect
