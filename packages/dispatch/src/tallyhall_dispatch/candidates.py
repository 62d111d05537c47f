"""The order in which queued jobs are considered for free slots."""

from __future__ import annotations

from collections.abc import Iterator

from .class_priority import ClassPriority
from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .suspect_trials import SuspectTrials
from .switches import Switches
from .waiting import WaitingJobs

# Part of all slots that must be free to start a job that exceeds its quota.
# Jobs that arrive within the next 0.1 s then get a slot without waiting.
_MIN_FREE_OVER_QUOTA = 0.25
# The same for a late job. It occupies a slot for as long as a job in time but
# has only a part of its value, so jobs that arrive meanwhile should not have to
# wait for its end.
_MIN_FREE_LATE = 0.08
# Maximum number of jobs per urgency to match with the free slots in one pass.
# Each match reads the state of all upstreams.
_MAX_CANDIDATES = 12
# Whether jobs are late, and whether their urgency defers, in queue order.
_QUEUE_ORDER = ((False, False), (True, False), (False, True), (True, True))


class Candidates:
    """Selects the queued jobs that may start now."""

    def __init__(
        self,
        waiting: WaitingJobs,
        group: UpstreamGroup,
        class_priority: ClassPriority,
        trials: SuspectTrials,
        switches: Switches,
    ) -> None:
        """Use this queue, these upstreams and this order of urgencies."""
        self._waiting = waiting
        self._group = group
        self._class_priority = class_priority
        self._trials = trials
        self._switches = switches
        # The slot limits in one pass, in which they are constant. Computing one
        # reads the state of all upstreams.
        self._slot_limits: dict[int, int] = {}

    def next_jobs(self, forecast: Forecast) -> Iterator[Job]:
        """Yield the next jobs, first those that can meet their deadlines.

        They are ordered by urgency (see `ClassPriority`) and then by deadline.
        Deferring urgencies come last, also after late jobs of the others. Slots
        are granted between iterations, so free slots are counted again for
        each job.
        """
        self._slot_limits.clear()
        self._waiting.defer_late(
            lambda job: not forecast.can_meet_deadline(job, forecast.now),
        )
        for late, last in _QUEUE_ORDER:
            for job in self._in_order(late=late, last=last):
                # A grant in this pass may have lifted an urgency to its floor.
                defers_now = self._class_priority.goes_last(job.urgency)
                if defers_now and not last:
                    continue
                if self._may_start(job, forecast.now, late=late):
                    yield job

    def slot_limit(self, urgency: int, now: float) -> int:
        """Return how many slots an urgency may occupy on this instance."""
        slots = sum(
            view.free_slots(self._group.share, now) + len(view.runs)
            for view in self._group.usable(now)
        )
        return self._class_priority.slot_limit(urgency, slots, now)

    def _in_order(self, *, late: bool, last: bool) -> Iterator[Job]:
        """Yield the first jobs of each urgency, in the order of its rank."""
        priority = self._class_priority
        for urgency in priority.order(self._waiting.urgencies(late=late)):
            if priority.goes_last(urgency) is last:
                # A deferring job must not start while another one could, so
                # those that do start are not counted.
                yield from self._waiting.first(
                    urgency,
                    _MAX_CANDIDATES,
                    late=late,
                    count_removed=not priority.has_deferring,
                )

    def _may_start(self, job: Job, now: float, *, late: bool) -> bool:
        """Return whether enough slots are free for a job of this kind.

        A suspect waits while a job with the same content is on trial, because
        it might terminate another upstream.
        """
        suspect = job.suspect_digest
        views = self._group.views.values()
        if suspect and self._trials.is_on_trial(suspect, views, now):
            return False
        if not self._is_below_slot_limit(job.urgency, now):
            return False
        if job.over_quota:
            return self._group.has_free_share(_MIN_FREE_OVER_QUOTA, now)
        if late and self._switches.late_places:
            return self._goes_before_deferring(
                job, now
            ) or self._group.has_free_share(_MIN_FREE_LATE, now)
        return True

    def _is_below_slot_limit(self, urgency: int, now: float) -> bool:
        priority = self._class_priority
        if not priority.goes_last(urgency):
            return True
        limit = self._slot_limits.get(urgency)
        if limit is None:
            limit = self.slot_limit(urgency, now)
            self._slot_limits[urgency] = limit
        return priority.running(urgency) < limit

    def _goes_before_deferring(self, job: Job, now: float) -> bool:
        """Return whether a deferring job would get the slot of a late one.

        Then the slot is not kept free for arrivals: a late response is worth
        more than the deferring one, and its slot becomes free earlier.
        """
        priority = self._class_priority
        return not priority.goes_last(job.urgency) and any(
            priority.goes_last(urgency)
            and self._is_below_slot_limit(urgency, now)
            for urgency in self._waiting.urgencies(late=False)
        )
