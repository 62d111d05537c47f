"""Admission control of one service: handles the messages of homes.

`ServiceState` records permits, upstreams and limits, `LoadShedder` decides on
refusals and revocations, and the policy chooses upstreams.
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
from .service_state import ServiceState
from .settings import PoolSettings
from .shedding import LoadShedder
from .tiers import Tiers
from .upstream import Upstream, UpstreamInfo
from .waiting import WaitingJobs

# Jobs per workspace that are considered for upstreams with their prefix.
_LOOK_AHEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCounts:
    """Counts that the `status` command shows."""

    waiting: int
    running: int
    slots: int
    upstreams: int
    remembered: int


class Pool:
    """Admits requests to the upstreams of one service."""

    def __init__(
        self,
        service: str,
        policy: Policy,
        cfg: PoolSettings,
    ) -> None:
        """Start without upstreams; permits are issued once `ready` is set."""
        self.service = service
        self.ready = False
        self.roster = ServiceState(cfg)
        self._cfg = cfg
        self._policy = policy
        self._waiting = WaitingJobs()
        self._shedder = LoadShedder(self.roster, self._waiting, cfg)

    def configure(self, table: Table, now: float) -> None:
        """Apply a new table."""
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
        """Apply a new instance list."""
        self.roster.take_instances(infos)

    def inherit_promises(self, now: float) -> None:
        """Hold lower tiers, as an earlier owner may have decided."""
        self._shedder.inherit_holds(now)

    def set_blind(self, *, blind: bool) -> None:
        """Set whether the running requests of some home are unknown."""
        self._shedder.has_unreported_work = blind

    # -- messages from homes

    def ask(self, ask: Ask, now: float) -> list[Outgoing]:
        """Handle a request for a permit."""
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
                # A delayed duplicate of an earlier attempt.
                return []
            self.roster.release(ask.id)
        waiting = self._waiting.get(ask.id)
        if waiting is not None:
            waiting.ask = ask
            return []
        return self._enqueue(ask, rid, now)

    def done(self, done: Done, now: float) -> list[Outgoing]:
        """Release a returned permit; ignore duplicates of earlier attempts."""
        held = self.roster.grants.get(done.id)
        if held is None or held.job.ask.attempt != done.attempt:
            return []
        grant = self.roster.release(done.id)
        if grant is None:
            return []
        self.roster.update_estimates(grant, done, now)
        return self._start_jobs(now)

    def withdraw(self, request_id: str, now: float) -> list[Outgoing]:
        """Remove a queued request, or release a permit that was not used."""
        self._waiting.remove(request_id)
        self.roster.release(request_id)
        return self._start_jobs(now)

    def progress(self, report: Progress, now: float) -> list[Outgoing]:
        """Handle a home's report on the open streams of an upstream."""
        self.roster.progress(report, now)
        return self._start_jobs(now)

    def holding(self, holding: Holding, now: float) -> None:
        """Record a home's running requests after a change of owner."""
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
        """Remove queued requests of fenced homes; running ones continue."""
        for job in list(self._waiting):
            if job.ask.holder in homes:
                self._waiting.remove(job.ask.id)

    def homes_gone(self, homes: Set[str], now: float) -> list[Outgoing]:
        """Remove the queued and running requests of dead homes."""
        self.drop_waiting(homes)
        self.roster.release_homes(homes)
        return self._start_jobs(now)

    # -- timers

    def tick(self, now: float) -> list[Outgoing]:
        """Release expired permits, start jobs and refuse late ones."""
        self.roster.release_expired(now)
        if not self.ready:
            return []
        out = self._start_jobs(now)
        if self._policy.queues_requests:
            out += self._shedder.refuse_late(now)
            out += self._shedder.repeat_revocations(now)
            out += self._shedder.revoke_for_urgent(now)
        return out

    # -- status

    def counts(self) -> PoolCounts:
        """Return the counts for `status`."""
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
        if not (self._policy.queues_requests and self.ready):
            self._waiting.push(job)
            return self._start_jobs(now)
        rejection = self._shedder.check_arrival(job, now)
        if rejection is not None:
            out = self._shedder.hold_lower_tiers(job, rejection.reason, now)
            out.append(refuse(ask, rejection.reason, rejection.wait_s))
            return out
        self._waiting.push(job)
        return self._start_jobs(now) + self._shedder.revoke_for_urgent(now)

    def _start_jobs(self, now: float) -> list[Outgoing]:
        """Issue permits to waiting jobs while there are free slots."""
        out: list[Outgoing] = []
        if not self.ready:
            return out
        upstreams = self.roster.available_upstreams(now)
        if self._policy.queues_requests and not any(
            up.free_slots() for up in upstreams
        ):
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
        has_capacity = self.roster.limits.has_capacity
        for jobs in self._waiting.next_by_workspace(has_capacity, _LOOK_AHEAD):
            grant = self._select_grant(jobs, upstreams, now)
            if grant is not None:
                return grant
        return None

    def _select_grant(
        self,
        jobs: list[Job],
        upstreams: list[Upstream],
        now: float,
    ) -> Grant | None:
        """Return a grant for one of a workspace's next jobs.

        Prefers the first job for which an upstream with its prefix is free,
        or whose wait for such an upstream is over. Otherwise it is the first
        job that does not have to wait for one.
        """
        fallback: Job | None = None
        for job in jobs:
            if self._shedder.is_held(job, now):
                continue
            usable = _without_avoided(job, upstreams)
            warm = (
                _with_prefix(job, usable)
                if self._policy.queues_requests
                else usable
            )
            grant = self._grant_with_prefix(job, warm, usable, now)
            if grant is not None:
                return grant
            if fallback is None and all(up.free_slots() for up in warm):
                fallback = job
        if fallback is None:
            return None
        return self._grant(fallback, _without_avoided(fallback, upstreams), now)

    def _grant_with_prefix(
        self,
        job: Job,
        warm: list[Upstream],
        usable: list[Upstream],
        now: float,
    ) -> Grant | None:
        """Grant on an upstream with the prefix, or on any after the wait."""
        grant = self._grant(job, warm, now)
        if grant is None and now >= job.prefix_wait_until:
            # Otherwise jobs with cached prefixes could starve this one.
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
            job.expected_output,
            job.deadline - now,
        )
        if chosen is None:
            return None
        cached = chosen.cache.cached_tokens(job.ask.prefixes)
        return Grant(job, chosen.info.name, now, cached)

    def _job(self, ask: Ask, rid: RequestId, now: float) -> Job:
        rank = self._shedder.tiers.rank_of(ask.tier)
        output = expected_output(self.roster.lengths, ask)
        cached = self.roster.max_cached_tokens(ask.prefixes)
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


def _without_avoided(job: Job, upstreams: list[Upstream]) -> list[Upstream]:
    """Return the upstreams without `ask.avoid`, or all if none is left."""
    avoid = job.ask.avoid
    usable = [up for up in upstreams if up.info.name != avoid]
    return usable or upstreams


def _with_prefix(job: Job, upstreams: list[Upstream]) -> list[Upstream]:
    """Return the upstreams with the longest cached prefix of the job."""
    prefixes = job.ask.prefixes
    cached = [up.cache.cached_tokens(prefixes) for up in upstreams]
    longest = max(cached, default=0)
    if not longest:
        return []
    return [
        upstream
        for upstream, tokens in zip(upstreams, cached, strict=True)
        if tokens == longest
    ]
