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
from .outgoing import Outgoing, refusal_message
from .permit_records import FORGOTTEN, PERMITTED
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
        self.state = ServiceState(cfg)
        self._cfg = cfg
        self._policy = policy
        self._waiting = WaitingJobs()
        self._shedder = LoadShedder(self.state, self._waiting, cfg)

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
        self.state.configure(row, limits, self._shedder.tiers, now)

    def apply_upstreams(self, infos: tuple[UpstreamInfo, ...]) -> None:
        """Apply a new instance list."""
        self.state.apply_upstreams(infos)

    def inherit_holds(self, now: float) -> None:
        """Hold lower tiers, as an earlier owner may have decided."""
        self._shedder.inherit_holds(now)

    def set_unreported_work(self, *, exists: bool) -> None:
        """Set whether the running requests of some home are unknown."""
        self._shedder.has_unreported_work = exists

    # -- messages from homes

    def ask(self, ask: Ask, now: float) -> list[Outgoing]:
        """Handle a request for a permit."""
        rid = RequestId.parse(ask.id)
        lookup = self.state.permit_records.look_up(rid)
        if lookup.state == FORGOTTEN:
            return [refusal_message(ask, Reason.bad_request_id, 0)]
        if lookup.state == PERMITTED and lookup.holder != ask.holder:
            return [refusal_message(ask, Reason.takeover_unknown, 0)]
        grant = self.state.grants.get(ask.id)
        if grant is not None:
            if grant.job.ask.attempt == ask.attempt:
                return [self._permit(grant)]
            if grant.job.ask.attempt > ask.attempt:
                # A delayed duplicate of an earlier attempt.
                return []
            self.state.release(ask.id)
        waiting = self._waiting.get(ask.id)
        if waiting is not None:
            waiting.ask = ask
            return []
        return self._enqueue(ask, rid, now)

    def done(self, done: Done, now: float) -> list[Outgoing]:
        """Release a returned permit; ignore duplicates of earlier attempts."""
        held = self.state.grants.get(done.id)
        if held is None or held.job.ask.attempt != done.attempt:
            return []
        grant = self.state.release(done.id)
        if grant is None:
            return []
        self.state.update_estimates(grant, done, now)
        return self._start_jobs(now)

    def withdraw(self, request_id: str, now: float) -> list[Outgoing]:
        """Remove a queued request, or release a permit that was not used."""
        self._waiting.remove(request_id)
        self.state.release(request_id)
        return self._start_jobs(now)

    def progress(self, report: Progress, now: float) -> list[Outgoing]:
        """Handle a home's report on the open streams of an upstream."""
        self.state.progress(report, now)
        return self._start_jobs(now)

    def holding(self, holding: Holding, now: float) -> None:
        """Record a home's running requests after a change of owner."""
        for running in holding.running:
            if running.id in self.state.grants:
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
            self.state.record(Grant(job, running.upstream, now))

    def remove_queued(self, homes: Set[str]) -> None:
        """Remove queued requests of fenced homes; running ones continue."""
        for job in list(self._waiting):
            if job.ask.holder in homes:
                self._waiting.remove(job.ask.id)

    def remove_homes(self, homes: Set[str], now: float) -> list[Outgoing]:
        """Remove the queued and running requests of dead homes."""
        self.remove_queued(homes)
        self.state.release_homes(homes)
        return self._start_jobs(now)

    # -- timers

    def tick(self, now: float) -> list[Outgoing]:
        """Release expired permits, start jobs and refuse late ones."""
        self.state.release_expired(now)
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
            len(self.state.grants),
            self.state.slots(),
            len(self.state),
            len(self.state.permit_records),
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
            wait = self.state.limits.admit(ask.workspace, job.cost, now)
            if wait > 0:
                return [refusal_message(ask, Reason.rate_limited, wait)]
        if not (self._policy.queues_requests and self.ready):
            self._waiting.push(job)
            return self._start_jobs(now)
        rejection = self._shedder.check_arrival(job, now)
        if rejection is not None:
            out = self._shedder.hold_lower_tiers(job, rejection.reason, now)
            out.append(refusal_message(ask, rejection.reason, rejection.wait_s))
            return out
        self._waiting.push(job)
        return self._start_jobs(now) + self._shedder.revoke_for_urgent(now)

    def _start_jobs(self, now: float) -> list[Outgoing]:
        """Issue permits to waiting jobs while there are free slots."""
        out: list[Outgoing] = []
        if not self.ready:
            return out
        upstreams = self.state.available_upstreams(now)
        if self._policy.queues_requests and not any(
            up.free_slots() for up in upstreams
        ):
            return out
        grant = self._next_grant(upstreams, now)
        while grant is not None:
            self._waiting.remove(grant.job.ask.id)
            weight = self.state.limits.weight(grant.job.ask.workspace)
            self._waiting.charge(grant.job, weight)
            self.state.record(grant)
            out.append(self._permit(grant))
            grant = self._next_grant(upstreams, now)
        return out

    def _next_grant(
        self,
        upstreams: list[Upstream],
        now: float,
    ) -> Grant | None:
        has_capacity = self.state.limits.has_capacity
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
        output = expected_output(self.state.lengths, ask)
        cached = self.state.max_cached_tokens(ask.prefixes)
        return Job(ask, rid, rank, now + ask.left_s, output, now, cached)

    def _permit(self, grant: Grant) -> Outgoing:
        ask = grant.job.ask
        message = Permit(
            ask.id,
            self.service,
            ask.attempt,
            grant.upstream,
            self.state.address_of(grant.upstream),
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
