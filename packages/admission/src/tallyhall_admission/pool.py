"""The owner's state of one service: every event answered with messages.

The roster keeps the books, the shedder decides on refusals, the policy on
upstreams; the pool ties them to the messages of the homes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Set

from tallyhall_core.ids import RequestId
from tallyhall_core.messages import Ask, Done, Holding, Permit, Progress
from tallyhall_core.refusals import Reason
from tallyhall_table.model import ServiceRow, Table

from .jobs import Grant, Job
from .memory import FORGOTTEN, PERMITTED
from .outgoing import Outgoing, refuse
from .policy import Policy, expected_output
from .roster import Roster
from .settings import PoolSettings
from .shedding import Shedder
from .tiers import Tiers
from .upstream import Upstream, UpstreamInfo
from .waiting import WaitingJobs

# Jobs of a workspace that are looked at for an upstream with their prefix.
_LOOK_AHEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCounts:
    """Numbers for `status`."""

    waiting: int
    running: int
    slots: int
    upstreams: int
    remembered: int


class Pool:
    """Admission to all upstreams of one service."""

    def __init__(
        self,
        service: str,
        policy: Policy,
        cfg: PoolSettings,
    ) -> None:
        """Start without upstreams, not yet ready to permit."""
        self.service = service
        self.ready = False
        self.roster = Roster(cfg)
        self._cfg = cfg
        self._policy = policy
        self._waiting = WaitingJobs()
        self._shedder = Shedder(self.roster, self._waiting, cfg)

    def configure(self, table: Table, now: float) -> None:
        """Take a new table."""
        row = table.service(self.service) or ServiceRow(name=self.service)
        limits = {
            limit.workspace: limit
            for limit in table.limits
            if limit.service == self.service
        }
        self._shedder.tiers = Tiers(table.tiers)
        self._shedder.max_queue = row.max_queue
        self.roster.configure(row, limits, self._shedder.tiers, now)

    def take_instances(self, infos: tuple[UpstreamInfo, ...]) -> None:
        """Take the instance list."""
        self.roster.take_instances(infos)

    def inherit_promises(self, now: float) -> None:
        """Keep the promise that an earlier owner may have made."""
        self._shedder.inherit_promises(now)

    def set_blind(self, *, blind: bool) -> None:
        """Say whether some home's running work is unknown."""
        self._shedder.blind = blind

    # -- what homes say

    def ask(self, ask: Ask, now: float) -> list[Outgoing]:
        """Take a request for a permit."""
        rid = RequestId.parse(ask.id)
        recall = self.roster.memory.recall(rid)
        if recall.state == FORGOTTEN:
            return [refuse(ask, Reason.bad_request_id, 0)]
        if recall.state == PERMITTED and recall.holder != ask.holder:
            return [refuse(ask, Reason.takeover_unknown, 0)]
        grant = self.roster.grants.get(ask.id)
        if grant is not None:
            if grant.job.ask.attempt == ask.attempt:
                return [self._permit(grant)]
            if grant.job.ask.attempt > ask.attempt:
                # An ask that was sent twice and arrives late.
                return []
            self.roster.release(ask.id)
        waiting = self._waiting.get(ask.id)
        if waiting is not None:
            waiting.ask = ask
            return []
        return self._enqueue(ask, rid, now)

    def done(self, done: Done, now: float) -> list[Outgoing]:
        """Take a permit back; one repeated for an earlier attempt is old."""
        held = self.roster.grants.get(done.id)
        if held is None or held.job.ask.attempt != done.attempt:
            return []
        grant = self.roster.release(done.id)
        if grant is None:
            return []
        self.roster.learn(grant, done, now)
        return self._start_jobs(now)

    def withdraw(self, request_id: str, now: float) -> list[Outgoing]:
        """Drop a waiting request, or a permit that was never used."""
        self._waiting.remove(request_id)
        self.roster.release(request_id)
        return self._start_jobs(now)

    def progress(self, report: Progress, now: float) -> list[Outgoing]:
        """Take what a home saw of an upstream's open streams."""
        self.roster.progress(report, now)
        return self._start_jobs(now)

    def holding(self, holding: Holding, now: float) -> None:
        """Take a home's running requests after a change of owner."""
        for running in holding.running:
            if running.id in self.roster.grants:
                continue
            ask = Ask(
                id=running.id,
                service=self.service,
                holder=holding.home,
                workspace=running.workspace,
                tier=running.tier,
                idempotent=running.idempotent,
                prompt_tokens=running.prompt_tokens,
                max_tokens=running.max_tokens,
                left_s=running.left_s,
                attempt=running.attempt,
            )
            job = self._job(ask, RequestId.parse(running.id), now)
            self.roster.record(Grant(job, running.upstream, now))

    def drop_waiting(self, homes: Set[str]) -> None:
        """Drop what fenced incarnations wait for; they may run on."""
        for job in list(self._waiting):
            if job.ask.holder in homes:
                self._waiting.remove(job.ask.id)

    def homes_gone(self, homes: Set[str], now: float) -> list[Outgoing]:
        """Drop what dead incarnations wait for and run."""
        self.drop_waiting(homes)
        self.roster.release_homes(homes)
        return self._start_jobs(now)

    # -- time

    def tick(self, now: float) -> list[Outgoing]:
        """Take back lost permits, give up late jobs, start others."""
        self.roster.release_late(now)
        if not self.ready:
            return []
        out = self._start_jobs(now)
        if self._policy.bounded:
            out += self._shedder.give_up_late(now)
            out += self._shedder.remind(now)
            out += self._shedder.make_room(now)
        return out

    # -- reading

    def counts(self) -> PoolCounts:
        """Return numbers for `status`."""
        return PoolCounts(
            len(self._waiting),
            len(self.roster.grants),
            self.roster.slots(),
            len(self.roster),
            len(self.roster.memory),
        )

    # -- internals

    def _enqueue(
        self,
        ask: Ask,
        rid: RequestId,
        now: float,
    ) -> list[Outgoing]:
        job = self._job(ask, rid, now)
        if ask.attempt == 0:
            wait = self.roster.limits.admit(ask.workspace, job.cost, now)
            if wait > 0:
                return [refuse(ask, Reason.rate_limited, wait)]
        if not (self._policy.bounded and self.ready):
            self._waiting.push(job)
            return self._start_jobs(now)
        rejection = self._shedder.judge(job, now)
        if rejection is not None:
            out = self._shedder.bar_lower(job, rejection.reason, now)
            out.append(refuse(ask, rejection.reason, rejection.wait_s))
            return out
        self._waiting.push(job)
        return self._start_jobs(now) + self._shedder.make_room(now)

    def _start_jobs(self, now: float) -> list[Outgoing]:
        """Permit as many waiting jobs as there is room for."""
        out: list[Outgoing] = []
        if not self.ready:
            return out
        upstreams = self.roster.open_upstreams(now)
        if self._policy.bounded and not any(up.free() for up in upstreams):
            return out
        grant = self._next_grant(upstreams, now)
        while grant is not None:
            self._waiting.remove(grant.job.ask.id)
            weight = self.roster.limits.weight(grant.job.ask.workspace)
            self._waiting.charge(grant.job, weight)
            self.roster.record(grant)
            out.append(self._permit(grant))
            grant = self._next_grant(upstreams, now)
        return out

    def _next_grant(
        self,
        upstreams: list[Upstream],
        now: float,
    ) -> Grant | None:
        has_room = self.roster.limits.has_room
        for jobs in self._waiting.turns(has_room, _LOOK_AHEAD):
            grant = self._best_of(jobs, upstreams, now)
            if grant is not None:
                return grant
        return None

    def _best_of(
        self,
        jobs: list[Job],
        upstreams: list[Upstream],
        now: float,
    ) -> Grant | None:
        """Return a grant for one of a workspace's next jobs.

        The first that finds an upstream with its prefix free, or has waited
        for one long enough; without one, the first that need not wait.
        """
        fallback: Job | None = None
        for job in jobs:
            if self._shedder.is_barred(job, now):
                continue
            usable = _usable(job, upstreams)
            warm = _with_prefix(job, usable) if self._policy.bounded else usable
            grant = self._grant_in_turn(job, warm, usable, now)
            if grant is not None:
                return grant
            if fallback is None and all(up.free() for up in warm):
                fallback = job
        if fallback is None:
            return None
        return self._grant(fallback, _usable(fallback, upstreams), now)

    def _grant_in_turn(
        self,
        job: Job,
        warm: list[Upstream],
        usable: list[Upstream],
        now: float,
    ) -> Grant | None:
        grant = self._grant(job, warm, now)
        if grant is None and now >= job.patient_until:
            # Else those with warm prefixes could go past it for ever.
            return self._grant(job, usable, now)
        return grant

    def _grant(
        self,
        job: Job,
        upstreams: list[Upstream],
        now: float,
    ) -> Grant | None:
        chosen = self._policy.choose(
            job.ask,
            upstreams,
            job.output,
            job.deadline - now,
        )
        if chosen is None:
            return None
        cached = chosen.cache.cached_tokens(job.ask.prefixes)
        return Grant(job, chosen.info.name, now, cached)

    def _job(self, ask: Ask, rid: RequestId, now: float) -> Job:
        rank = self._shedder.tiers.rank_of(ask.tier)
        output = expected_output(self.roster.lengths, ask)
        cached = self.roster.best_cached(ask.prefixes)
        return Job(ask, rid, rank, now + ask.left_s, output, now, cached)

    def _permit(self, grant: Grant) -> Outgoing:
        ask = grant.job.ask
        message = Permit(
            ask.id,
            self.service,
            ask.attempt,
            grant.upstream,
            self.roster.address_of(grant.upstream),
            self._cfg.permit_s,
            ask.ends,
        )
        return Outgoing(ask.holder, message)


def _usable(job: Job, upstreams: list[Upstream]) -> list[Upstream]:
    """Return the upstreams but the one to avoid, unless it is the only one."""
    avoid = job.ask.avoid
    usable = [up for up in upstreams if up.info.name != avoid]
    return usable or upstreams


def _with_prefix(job: Job, upstreams: list[Upstream]) -> list[Upstream]:
    """Return the upstreams that keep most of the job's prefix, if any does."""
    prefixes = job.ask.prefixes
    kept = [up.cache.cached_tokens(prefixes) for up in upstreams]
    most = max(kept, default=0)
    if not most:
        return []
    return [
        upstream
        for upstream, tokens in zip(upstreams, kept, strict=True)
        if tokens == most
    ]
