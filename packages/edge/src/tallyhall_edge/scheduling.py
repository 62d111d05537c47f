"""Waiting for an upstream: futures around the pools of this instance."""

from __future__ import annotations

import asyncio
import collections
from typing import Protocol

from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.jobs import Ending, Job, RunReport
from tallyhall_dispatch.pool import GivenUp, Granted, ServicePool

# How often waiting jobs are looked at when nothing else happens, seconds: a
# tenth of the shortest objective.
_LOOK_S = 0.02


class Scheduler(Protocol):
    """Grants upstreams to jobs."""

    async def acquire(self, job: Job) -> Upstream:
        """Return an upstream for one send; raise RefusedError."""

    def first_byte(self, job: Job) -> None:
        """Take that the answer of a job has begun."""

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Take that a send has ended."""


class LocalScheduler:
    """Grants from the pools of this instance alone."""

    def __init__(self) -> None:
        """Start without services."""
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, ServicePool] = {}
        self._futs: dict[str, asyncio.Future[Upstream]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._upstreams: tuple[Upstream, ...] = ()

    def take_state(self, state: DesiredState) -> None:
        """Have a pool for each service of the desired state."""
        for name, service in state.services.items():
            if name not in self._pools:
                self._pools[name] = ServicePool(name, service.event_tokens)
        self.take_upstreams(self._upstreams)

    def take_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take all upstreams as they stand now."""
        self._upstreams = upstreams
        grouped: dict[str, list[Upstream]] = collections.defaultdict(list)
        for upstream in upstreams:
            grouped[upstream.service].append(upstream)
        for name, pool in self._pools.items():
            pool.set_upstreams(grouped[name])
            self._pump(pool)

    async def acquire(self, job: Job) -> Upstream:
        """Return an upstream for one send; raise RefusedError."""
        pool = self._pools.get(job.service)
        if pool is None:
            raise RefusedError(Refusal.of(Reason.no_upstream, retry_after=1))
        fut: asyncio.Future[Upstream] = self._loop.create_future()
        self._futs[job.key] = fut
        pool.ask(job)
        self._pump(pool)
        try:
            return await fut
        except asyncio.CancelledError:
            self._withdraw(pool, job, fut)
            raise
        finally:
            self._futs.pop(job.key, None)

    def first_byte(self, job: Job) -> None:
        """Take that the answer of a job has begun."""
        pool = self._pools.get(job.service)
        if pool is not None:
            pool.first_byte(job.key)

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Take that a send has ended."""
        pool = self._pools.get(job.service)
        if pool is None:
            return
        pool.finish(job.key, report, self._loop.time())
        if report.ending is Ending.misplaced:
            pool.misplaced(upstream.incarnation)
        self._pump(pool)

    def _withdraw(
        self,
        pool: ServicePool,
        job: Job,
        fut: asyncio.Future[Upstream],
    ) -> None:
        pool.withdraw(job.key)
        if fut.done() and not fut.cancelled():
            pool.finish(
                job.key,
                RunReport(Ending.left, 0),
                self._loop.time(),
            )

    def _pump(self, pool: ServicePool) -> None:
        for decision in pool.decide(self._loop.time()):
            fut = self._futs.get(decision.key)
            if fut is None or fut.done():
                continue
            if isinstance(decision, Granted):
                fut.set_result(decision.upstream)
            else:
                fut.set_exception(_given_up(decision))
        if pool.waiting and self._timer is None:
            self._timer = self._loop.call_later(_LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        for pool in self._pools.values():
            if pool.waiting:
                self._pump(pool)


def _given_up(decision: GivenUp) -> RefusedError:
    return RefusedError(
        Refusal.of(
            Reason.deadline_unreachable,
            retry_after=decision.retry_after_s,
        ),
    )
