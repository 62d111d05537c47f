"""The queue of one service.

Jobs are queued here and not at the upstreams, which have no priorities: a job
is granted to an upstream only when one of its slots is free.

A slot is granted to the most urgent job that can still meet its deadline there,
including the time for its prefill. Jobs that cannot meet their deadlines on any
upstream use idle slots. A job that will not get a slot in time at the current
rate is rejected immediately instead of after a futile wait.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

import msgspec

from .candidates import Candidates
from .class_priority import ClassPriority, held_s
from .desired import Upstream
from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import INTERRUPTED, AttemptOutcome, Job, RunReport
from .load_reports import UpstreamLoads
from .queue_checks import QueueChecks
from .rejection import RejectDecision, RejectionPolicy
from .suspect_trials import SuspectTrials
from .switches import ALL_ENABLED, Switches
from .upstream_selection import UpstreamSelector, may_start
from .upstream_state import Ejection, UpstreamState
from .urgency_stats import GrantRates, ServedFractions
from .wait_forecast import WaitForecast
from .waiting import WaitingJobs

if TYPE_CHECKING:
    from .rollout import Rollout


# Ejections that are kept until they are taken.
_MAX_EJECTIONS = 50


class GrantDecision(msgspec.Struct, frozen=True):
    """A job may be sent to this upstream once.

    forecast_s: expected time to the first event.
    """

    key: str
    upstream: Upstream
    forecast_s: float = 0


Decision = GrantDecision | RejectDecision


class ServicePool:
    """The queued and running jobs of one service."""

    def __init__(
        self,
        service: str,
        event_tokens: int,
        rng: random.Random,
        switches: Switches = ALL_ENABLED,
        loads: UpstreamLoads | None = None,
    ) -> None:
        """Create a pool without upstreams or jobs."""
        self.service = service
        # Set while this instance leads a rollout of the service.
        self.rollout: Rollout | None = None
        self._event_tokens = event_tokens
        self._switches = switches
        self._group = UpstreamGroup(
            switches, rng, loads, one_owner=self.is_model
        )
        self._waiting = WaitingJobs()
        # The newest ejections that were not taken yet.
        self._ejections: collections.deque[Ejection] = collections.deque(
            [], _MAX_EJECTIONS
        )
        # The upstream on which each granted job runs, by job key.
        self._granted: dict[str, UpstreamState] = {}
        self._served_fractions = ServedFractions()
        self.class_priority = ClassPriority(
            self._served_fractions,
            enabled=switches.class_priority,
            ranked=switches.served_shares,
        )
        self._rates = GrantRates()
        self._selector = UpstreamSelector(
            self._group, event_tokens, rng, switches
        )
        self._trials = SuspectTrials()
        self._candidates = Candidates(
            self._waiting,
            self._group,
            self.class_priority,
            self._trials,
            switches,
        )
        self._rejection_policy = RejectionPolicy(
            self._group,
            WaitForecast(
                self._rates, self.class_priority, self._candidates.slot_limit
            ),
            self.class_priority,
            rng,
            switches,
        )
        self._checks = QueueChecks(
            self._waiting, self._rejection_policy, self.class_priority, switches
        )

    @property
    def is_model(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self._event_tokens > 0

    @property
    def views(self) -> Mapping[str, UpstreamState]:
        """Return the state of each upstream, by incarnation."""
        return self._group.views

    @property
    def upstreams(self) -> UpstreamGroup:
        """Return the group of upstreams of the service."""
        return self._group

    @property
    def waiting(self) -> int:
        """Return the number of queued jobs."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Return the number of slots of the active upstreams."""
        return self._group.slots

    def slot_limit(self, urgency: int, now: float) -> int:
        """Return how many slots an urgency may occupy on this instance."""
        return self._candidates.slot_limit(urgency, now)

    @property
    def canary_slots(self) -> int:
        """Return the number of slots of the canary upstreams."""
        return self._group.canary_slots()

    def backoff_ends_in_s(
        self, backoffs: Mapping[str, float], now: float
    ) -> float:
        """Return the seconds until the first active upstream ends its backoff.

        The result is 0 if any active upstream is not backing off.
        """
        return self._group.backoff_ends_in_s(backoffs, now)

    def apply_share(self, share: float) -> None:
        """Set the share of all slots that this instance may fill."""
        self._group.share = share

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the list of registered upstreams of the service."""
        self._group.set_upstreams(upstreams)

    def ignore_upstream(self, incarnation: str) -> None:
        """Ignore an upstream whose address now belongs to another one."""
        self._group.ignore(incarnation)

    def enqueue(self, job: Job) -> None:
        """Add a job to the queue."""
        self._waiting.add(job)
        self._checks.add(job.key)

    def dequeue(self, key: str) -> None:
        """Remove a job from the queue."""
        self._waiting.remove(key)

    def record_first_byte(self, key: str) -> None:
        """Record that the response of a job has started."""
        view = self._granted.get(key)
        if view is not None:
            view.record_first_byte(key)

    def finish(self, key: str, report: RunReport, now: float) -> None:
        """Record that a granted job has ended."""
        view = self._granted.pop(key, None)
        if view is None:
            return
        run = view.runs.get(key)
        if run is not None:
            self._record_outcome(run.job, report, now)
            self._report_to_rollout(run.job, view, report, now)
        known = view.ejection
        view.finish(key, report, now)
        if view.ejection is not None and view.ejection is not known:
            self._ejections.append(view.ejection)

    def take_ejections(self) -> tuple[Ejection, ...]:
        """Return the ejections since the last call."""
        taken = tuple(self._ejections)
        self._ejections.clear()
        return taken

    def add_running(self, job: Job, incarnation: str) -> None:
        """Record a running job that was granted by another instance."""
        view = self.views.get(incarnation)
        if view is not None and job.key not in self._granted:
            view.add_running(job)
            self._granted[job.key] = view
            self.class_priority.record_start(job.urgency)

    def granted_jobs(self, prefix: str) -> dict[str, str]:
        """Return the upstream of each granted job whose key has this prefix."""
        return {
            key: view.incarnation
            for key, view in self._granted.items()
            if key.startswith(prefix)
        }

    def remove_jobs(self, prefix: str) -> None:
        """Remove all jobs whose key has this prefix."""
        self._waiting.remove_prefix(prefix)
        for running in tuple(self._granted):
            if running.startswith(prefix):
                view = self._granted.pop(running)
                urgency = view.runs[running].job.urgency
                self.class_priority.record_end(urgency, None)
                view.drop(running)

    def decide(self, now: float) -> list[Decision]:
        """Grant free slots to jobs and reject jobs that are too late."""
        decisions: list[Decision] = []
        if not self._waiting:
            self._checks.clear()
            return decisions
        self._record_arrivals(now)
        forecast = self._group.forecast(now)
        for grant in self._grants(forecast):
            decisions.append(grant)
            self._waiting.remove(grant.key)
        for job, ahead in self._checks.next_jobs(forecast):
            rejection = self._rejection_policy.evaluate(job, ahead, forecast)
            if rejection is None:
                continue
            self._waiting.remove(job.key)
            if not job.over_quota:
                self._served_fractions.record(job.urgency, served=False)
            decisions.append(rejection)
        return decisions

    # -- arrivals and outcomes

    def _record_arrivals(self, now: float) -> None:
        for job in self._checks.new_jobs:
            if not job.over_quota:
                self.class_priority.record_arrival(job.urgency, now)

    def _record_outcome(self, job: Job, report: RunReport, now: float) -> None:
        self.class_priority.record_end(job.urgency, held_s(report))
        if report.ending is AttemptOutcome.answered:
            self._selector.answered(job, report.events)
        elif job.suspect_digest and report.ending in INTERRUPTED:
            self._trials.record_interrupted(job.suspect_digest, now)

    # -- grants

    def _grants(self, forecast: Forecast) -> Iterator[GrantDecision]:
        """Grant the free slots in the order of the queue."""
        now = forecast.now
        free = self._group.free(now)
        if self.rollout is not None:
            free += self._group.free_canaries(now)
        if not free:
            return
        for job in self._candidates.next_jobs(forecast):
            view = self._select(job, free, forecast)
            if view is None:
                continue
            forecast_s = view.first_s(job, now)
            self._start(job, view, now)
            yield GrantDecision(job.key, view.upstream, forecast_s)
            if not self._group.has_slot(view, now):
                free.remove(view)
            if not free:
                return

    def _select(
        self,
        job: Job,
        free: list[UpstreamState],
        forecast: Forecast,
    ) -> UpstreamState | None:
        """Return the upstream for a job, None if it has to wait.

        A canary is selected only if the rollout allows it for this job.
        """
        if self.rollout is None:
            return self._selector.best(job, free, forecast)
        now = forecast.now
        if self.rollout.may_place_on_target(job, now):
            for canary in free:
                if canary.upstream.canary and may_start(canary, job, now):
                    return canary
        in_use = [view for view in free if not view.upstream.canary]
        return self._selector.best(job, in_use, forecast)

    def _report_to_rollout(
        self,
        job: Job,
        view: UpstreamState,
        report: RunReport,
        now: float,
    ) -> None:
        if self.rollout is not None:
            self.rollout.record_ended(
                job,
                view.incarnation,
                report,
                now,
                canary=view.upstream.canary,
            )

    def _start(self, job: Job, view: UpstreamState, now: float) -> None:
        # A job whose grant was lost is asked for and granted again.
        if job.key not in self._granted:
            self.class_priority.record_start(job.urgency)
        view.grant(job, now)
        self._granted[job.key] = view
        if self.rollout is not None:
            self.rollout.record_placed(job, canary=view.upstream.canary)
        if job.over_quota:
            return
        in_time = now + view.first_s(job, now) <= job.due_at
        self._rates.record(job.urgency, now, late=not in_time)
        self._served_fractions.record(job.urgency, served=in_time)
