"""Load shedding in strict tier order.

A job is shed only while no job of a lower tier runs in the service. Therefore
permits of lower-tier jobs are revoked as soon as a higher-tier job would miss
its deadline by waiting, and after a job was shed, no lower tier starts for a
hold time.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.messages import Revoke
from tallyhall_core.refusals import Reason

from . import forecast
from .jobs import Grant, Job
from .outgoing import Outgoing, refusal_message
from .run_time import ServiceRunTimes
from .service_state import ServiceState
from .settings import PoolSettings
from .tier_holds import TierHolds
from .tiers import Tiers
from .waiting import WaitingJobs

_REVOKE_REPEAT_S = 0.5
_LOAD_REASONS = frozenset((Reason.shed, Reason.queue_full))


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Reason of a refusal and the seconds after which to retry."""

    reason: Reason
    wait_s: float


class LoadShedder:
    """Decides on refusals and revocations for one service."""

    def __init__(
        self,
        state: ServiceState,
        waiting: WaitingJobs,
        cfg: PoolSettings,
    ) -> None:
        """Use the permits of this service state and these waiting jobs."""
        self.tiers = Tiers()
        self.max_queue = 1
        # Whether jobs may be running that their homes have not reported yet.
        self.has_unreported_work = False
        self._state = state
        self._waiting = waiting
        self._cfg = cfg
        self._holds = TierHolds()
        self._inherited_until: float = 0

    def inherit_holds(self, now: float) -> None:
        """Hold lower tiers, as an earlier owner may have decided."""
        self._inherited_until = now + self._cfg.hold_s

    def is_held(self, job: Job, now: float) -> bool:
        """Return whether jobs of the job's tier are held."""
        # During an inherited hold, which the earlier owner may not have set,
        # jobs wait; only holds set by this owner lead to refusals.
        if job.rank > self.tiers.highest_rank and now < self._inherited_until:
            return True
        return self._holds.remaining_s(job.rank, now) > 0

    def check_arrival(self, job: Job, now: float) -> Rejection | None:
        """Return why a new job is refused, None if it may wait."""
        run_times = self._run_times(now)
        left = job.deadline - now
        if run_times.idle.expected_run_s(job) > left:
            return Rejection(Reason.deadline_unreachable, 0)
        if self._has_lower_tier_running(job):
            return None
        held = self._holds.remaining_s(job.rank, now)
        if held > 0:
            return Rejection(Reason.shed, held)
        if len(self._waiting) >= self.max_queue:
            return Rejection(Reason.queue_full, 0)
        late = (
            self._wait(job, run_times)
            + run_times.fastest.expected_run_s(job)
            - left
        )
        return Rejection(Reason.shed, late) if late > 0 else None

    def hold_lower_tiers(
        self,
        job: Job,
        reason: Reason,
        now: float,
    ) -> list[Outgoing]:
        """Hold lower tiers after a refusal; refuse their waiting jobs."""
        if reason not in _LOAD_REASONS or job.rank >= self.tiers.lowest_rank:
            return []
        if self._holds.remaining_s(job.rank, now):
            return []
        self._holds.hold_below(job.rank, now + self._cfg.hold_s)
        out = []
        for lower in self._waiting.in_lower_tiers(job.rank):
            self._waiting.remove(lower.ask.id)
            out.append(
                refusal_message(lower.ask, Reason.shed, self._cfg.hold_s)
            )
        return out

    def refuse_late(self, now: float) -> list[Outgoing]:
        """Refuse waiting jobs that would miss their deadline anyway."""
        out: list[Outgoing] = []
        run_times = self._run_times(now)
        # Lowest tier first: that may make refusing a higher tier unnecessary.
        for job in reversed(list(self._waiting)):
            if self._waiting.get(job.ask.id) is None:
                continue
            reason = self._late_reason(job, run_times, now)
            if reason is None:
                continue
            self._waiting.remove(job.ask.id)
            out += self.hold_lower_tiers(job, reason, now)
            out.append(
                refusal_message(job.ask, reason, self._wait(job, run_times))
            )
        return out

    def revoke_for_urgent(self, now: float) -> list[Outgoing]:
        """Revoke lower-tier permits for waiting jobs that would be late."""
        urgent = forecast.urgent_jobs(self._waiting, self._run_times(now), now)
        grants = self._state.grants.values()
        pending = sum(grant.revoked for grant in grants)
        names = {up.info.name for up in self._state.available_upstreams(now)}
        out = []
        for job in urgent[pending:]:
            victim = forecast.cheapest_victim(grants, job.rank, names)
            if victim is None:
                break
            out.append(_revoke(victim, now))
        return out

    def repeat_revocations(self, now: float) -> list[Outgoing]:
        """Resend revocations without effect; the message may be lost."""
        return [
            _revoke(grant, now)
            for grant in self._state.grants.values()
            if grant.revoked and now - grant.revoked_at >= _REVOKE_REPEAT_S
        ]

    def _late_reason(
        self,
        job: Job,
        run_times: ServiceRunTimes,
        now: float,
    ) -> Reason | None:
        if now >= job.deadline:
            return Reason.deadline_exceeded
        if now + run_times.fastest.expected_run_s(job) <= job.deadline:
            return None
        return None if self._has_lower_tier_running(job) else Reason.shed

    def _has_lower_tier_running(self, job: Job) -> bool:
        if self.has_unreported_work and job.rank < self.tiers.lowest_rank:
            return True
        return self._state.has_lower_tier_running(job.rank)

    def _wait(self, job: Job, run_times: ServiceRunTimes) -> float:
        return forecast.wait_seconds(
            job,
            self._waiting,
            self._state.grants.values(),
            run_times,
            self._state.limits.weight,
        )

    def _run_times(self, now: float) -> ServiceRunTimes:
        return ServiceRunTimes.summarize(self._state.available_upstreams(now))


def _revoke(grant: Grant, now: float) -> Outgoing:
    grant.revoked = True
    grant.revoked_at = now
    ask = grant.job.ask
    return Outgoing(ask.holder, Revoke(ask.id, ask.service))
