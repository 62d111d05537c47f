"""Who is refused, who is stopped, in strict tier order.

A job is refused for load only while no job of a lower tier runs in the
service. To get there, lower-tier jobs are stopped as soon as a higher one
would miss its deadline by waiting, and after a tier was shed no lower one
starts for a while.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.messages import Revoke
from tallyhall_core.refusals import Reason

from . import forecast
from .holds import Holds
from .jobs import Grant, Job
from .outgoing import Outgoing, refuse
from .pace import Paces
from .roster import Roster
from .settings import PoolSettings
from .tiers import Tiers
from .waiting import WaitingJobs

_REMIND_S = 0.5
_LOAD_REASONS = frozenset((Reason.shed, Reason.queue_full))


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is refused, and the seconds after which to come back."""

    reason: Reason
    wait_s: float


class Shedder:
    """Decides on refusals and revocations of one service."""

    def __init__(
        self,
        roster: Roster,
        waiting: WaitingJobs,
        cfg: PoolSettings,
    ) -> None:
        """Look at these permits and these waiting jobs."""
        self.tiers = Tiers()
        self.max_queue = 1
        # Whether lower work may run that no home has reported yet.
        self.blind = False
        self._roster = roster
        self._waiting = waiting
        self._cfg = cfg
        self._holds = Holds()
        self._inherited_until: float = 0

    def inherit_promises(self, now: float) -> None:
        """Keep the promise that an earlier owner may have made."""
        self._inherited_until = now + self._cfg.hold_s

    def is_barred(self, job: Job, now: float) -> bool:
        """Return whether the job's tier may not start now."""
        # Jobs wait out an inherited promise, which may never have been made;
        # only our own sheds refuse them.
        if job.rank > self.tiers.top and now < self._inherited_until:
            return True
        return self._holds.left(job.rank, now) > 0

    def judge(self, job: Job, now: float) -> Rejection | None:
        """Return why an arriving job is refused, None if it may wait."""
        paces = self._paces(now)
        left = job.deadline - now
        if paces.idle.run(job) > left:
            return Rejection(Reason.deadline_unreachable, 0)
        if self._runs_below(job):
            return None
        held = self._holds.left(job.rank, now)
        if held > 0:
            return Rejection(Reason.shed, held)
        if len(self._waiting) >= self.max_queue:
            return Rejection(Reason.queue_full, 0)
        late = self._wait(job, paces) + paces.fastest.run(job) - left
        return Rejection(Reason.shed, late) if late > 0 else None

    def bar_lower(
        self,
        job: Job,
        reason: Reason,
        now: float,
    ) -> list[Outgoing]:
        """Bar lower tiers after a shed; refuse those that still wait."""
        if reason not in _LOAD_REASONS or job.rank >= self.tiers.bottom:
            return []
        if self._holds.left(job.rank, now):
            return []
        self._holds.bar_below(job.rank, now + self._cfg.hold_s)
        out = []
        for lower in self._waiting.below(job.rank):
            self._waiting.remove(lower.ask.id)
            out.append(refuse(lower.ask, Reason.shed, self._cfg.hold_s))
        return out

    def give_up_late(self, now: float) -> list[Outgoing]:
        """Refuse waiting jobs that would finish late even if started now."""
        out: list[Outgoing] = []
        paces = self._paces(now)
        # The lowest tier first: each refusal may spare a higher job.
        for job in reversed(list(self._waiting)):
            if self._waiting.get(job.ask.id) is None:
                continue
            reason = self._late_reason(job, paces, now)
            if reason is None:
                continue
            self._waiting.remove(job.ask.id)
            out += self.bar_lower(job, reason, now)
            out.append(refuse(job.ask, reason, self._wait(job, paces)))
        return out

    def make_room(self, now: float) -> list[Outgoing]:
        """Stop lower-tier jobs for waiting ones that would be too late."""
        urgent = forecast.urgent_jobs(self._waiting, self._paces(now), now)
        grants = self._roster.grants.values()
        pending = sum(grant.revoked for grant in grants)
        names = {up.info.name for up in self._roster.open_upstreams(now)}
        out = []
        for job in urgent[pending:]:
            victim = forecast.cheapest_victim(grants, job.rank, names)
            if victim is None:
                break
            out.append(_revoke(victim, now))
        return out

    def remind(self, now: float) -> list[Outgoing]:
        """Repeat revocations that have shown no effect; one may be lost."""
        return [
            _revoke(grant, now)
            for grant in self._roster.grants.values()
            if grant.revoked and now - grant.revoked_at >= _REMIND_S
        ]

    def _late_reason(
        self,
        job: Job,
        paces: Paces,
        now: float,
    ) -> Reason | None:
        if now >= job.deadline:
            return Reason.deadline_exceeded
        if now + paces.fastest.run(job) <= job.deadline:
            return None
        return None if self._runs_below(job) else Reason.shed

    def _runs_below(self, job: Job) -> bool:
        if self.blind and job.rank < self.tiers.bottom:
            return True
        return self._roster.runs_below(job.rank)

    def _wait(self, job: Job, paces: Paces) -> float:
        return forecast.wait_seconds(
            job,
            self._waiting,
            self._roster.grants.values(),
            paces,
            self._roster.limits.weight,
        )

    def _paces(self, now: float) -> Paces:
        return Paces.of(self._roster.open_upstreams(now))


def _revoke(grant: Grant, now: float) -> Outgoing:
    grant.revoked = True
    grant.revoked_at = now
    ask = grant.job.ask
    return Outgoing(ask.holder, Revoke(ask.id, ask.service))
