"""The pools of this instance, and who hears of their decisions.

Jobs come from requests of this instance and, where it owns a service, from
other instances. Both are asked for in the same way; an `Origin` hears what
became of a job.
"""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.jobs import Ending, Grant, Job, RunReport
from tallyhall_dispatch.leavers import Leavers
from tallyhall_dispatch.named_limits import NamedLimits
from tallyhall_dispatch.pool import Granted, ServicePool
from tallyhall_dispatch.refusing import GivenUp
from tallyhall_dispatch.versions import (
    RolloutOrder,
    RolloutStatus,
    ServiceVersions,
)

if TYPE_CHECKING:
    from tallyhall_dispatch.rollout import Rollout

# How often waiting jobs are looked at when nothing else happens, seconds: a
# fifth of the shortest objective.
_LOOK_S = 0.02
# A draw for a place holds for this long, in seconds: a run takes 0.2 s in the
# middle; drawn at every look, all would have a place within the same run.
_TURN_S = 0.5
# The least chance in a draw, so that one has a place within 2 s on the average.
_LEAST_PART = 0.25
# Told to callers of a service that the desired state does not name, in seconds;
# the next state may.
_NO_SERVICE_RETRY_S = 1.0


class UpstreamListener(Protocol):
    """Takes what upstreams say of themselves in answers, by incarnation."""

    def leaves(self, incarnation: str) -> None:
        """Take that an upstream says that it leaves."""

    def names_limit(
        self,
        incarnation: str,
        per_s: float | None,
        asked_at: float,
    ) -> None:
        """Take the limit that an answer names, None if it names none.

        per_s: requests a second from all instances. asked_at: when the request
        was sent that it answers.
        """


class Scheduler(Protocol):
    """Grants upstreams to requests."""

    @property
    def upstream_news(self) -> UpstreamListener:
        """Return who takes what upstreams say in answers."""

    async def acquire(self, job: Job) -> Grant:
        """Return an upstream for one send; raise RefusedError."""

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream still takes new requests."""

    def first_byte(self, job: Job) -> None:
        """Take that the answer of a job has begun."""

    def opens_in_s(self, service: str, resting: Mapping[str, float]) -> float:
        """Return how long all upstreams of a service rest, 0 if one does not.

        resting: those that rest, and until when.
        """

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Take that a send has ended."""


class Origin(Protocol):
    """Where a job came from."""

    def granted(self, granted: Granted) -> None:
        """Hear that a job may be sent, and when an answer is expected."""

    def given_up(self, given_up: GivenUp) -> None:
        """Hear that a job cannot be answered in time."""


class Dispatcher:
    """The pools of all services on this instance."""

    def __init__(self, rng: random.Random) -> None:
        """Start without services."""
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, ServicePool] = {}
        self._origins: dict[str, Origin] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._upstreams: tuple[Upstream, ...] = ()
        self._by_id: dict[str, Upstream] = {}
        self.leavers = Leavers()
        self.named_limits = NamedLimits()
        # The part of the limits of each service that is for this instance.
        self._parts: dict[str, float] = {}
        self._versions: dict[str, ServiceVersions] = collections.defaultdict(
            ServiceVersions,
        )
        # Until when a draw for a place of a service holds, and the draw.
        self._draws: dict[str, tuple[float, float]] = {}

    @property
    def waiting(self) -> int:
        """Return how many jobs wait."""
        return sum(pool.waiting for pool in self._pools.values())

    def is_model(self, service: str) -> bool:
        """Return whether a service has model engines."""
        pool = self._pools.get(service)
        return pool is not None and pool.is_model

    def is_shared(self, service: str) -> bool:
        """Return whether one instance places the requests of a service.

        Always those of model engines, and of any service in a roll-out or with
        an upstream that names a limit: what a new version or that upstream
        gets is bounded over all instances together.
        """
        pool = self._pools.get(service)
        if pool is not None and (pool.is_model or pool.upstreams.is_limited):
            return True
        return self._versions[service].running is not None

    def places(self, service: str) -> tuple[int, int]:
        """Return the places of the upstreams in use, and of those on trial."""
        pool = self._pools.get(service)
        return (0, 0) if pool is None else (pool.places, pool.canary_places)

    def upstream(self, incarnation: str) -> Upstream | None:
        """Return a known upstream."""
        return self._by_id.get(incarnation)

    def is_usable(self, incarnation: str) -> bool:
        """Return whether an upstream is known and does not leave."""
        upstream = self._by_id.get(incarnation)
        return upstream is not None and not upstream.leaving

    def take_state(self, state: DesiredState) -> None:
        """Have a pool for each service of the desired state."""
        for name, service in state.services.items():
            if name not in self._pools:
                self._pools[name] = ServicePool(
                    name,
                    service.event_tokens,
                    self._rng,
                )
        self.take_upstreams(self._upstreams)

    def take_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take all upstreams as they stand now."""
        self._upstreams = upstreams
        grouped: dict[str, list[Upstream]] = collections.defaultdict(list)
        for known in map(self.leavers.marked, upstreams):
            grouped[known.service].append(known)
        now = self._loop.time()
        marked = {
            name: self._versions[name].marked(group, now)
            for name, group in grouped.items()
        }
        self._by_id = {
            upstream.incarnation: upstream
            for group in marked.values()
            for upstream in group
        }
        for name, pool in self._pools.items():
            pool.set_upstreams(marked.get(name, ()))
            self._apply_limits(pool)
            self._pump(pool)

    def take_rollout(
        self,
        service: str,
        order: RolloutOrder | None,
        status: RolloutStatus | None,
    ) -> None:
        """Take which versions of a service take requests."""
        versions = self._versions[service]
        versions.order = order
        versions.status = status
        self.take_upstreams(self._upstreams)

    def look_at_versions(self) -> None:
        """Take another version where the one in use stays away."""
        now = self._loop.time()
        if any(one.is_absent(now) for one in self._versions.values()):
            self.take_upstreams(self._upstreams)

    def lead(self, service: str, rollout: Rollout | None) -> None:
        """Place requests of a service on the upstreams on trial, or cease."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.rollout = rollout

    def leaves(self, incarnation: str) -> bool:
        """Take that an upstream said that it leaves; return whether it is news.

        It does whatever its entry says, until its end.
        """
        if not self.leavers.add(incarnation):
            return False
        self.take_upstreams(self._upstreams)
        return True

    @property
    def said_to_leave(self) -> tuple[str, ...]:
        """Return the known upstreams that said themselves that they leave."""
        return tuple(one for one in self._by_id if one in self.leavers)

    def opens_in_s(self, service: str, resting: Mapping[str, float]) -> float:
        """Return how long all upstreams rest, 0 if one does not."""
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return pool.opens_in_s(resting, self._loop.time())

    def ask(self, job: Job, origin: Origin) -> None:
        """Queue a job; the origin hears of it, maybe before this returns."""
        pool = self._pools.get(job.service)
        if pool is None:
            origin.given_up(GivenUp(job.key, _NO_SERVICE_RETRY_S))
            return
        self._origins[job.key] = origin
        pool.ask(job)
        self._pump(pool)

    def withdraw(self, key: str) -> None:
        """Forget a waiting job."""
        self._origins.pop(key, None)
        for pool in self._pools.values():
            pool.withdraw(key)

    def note_running(self, job: Job, incarnation: str) -> None:
        """Take that a job runs that was not granted here."""
        pool = self._pools.get(job.service)
        if pool is not None:
            pool.note_running(job, incarnation)

    def first_byte(self, key: str, service: str) -> None:
        """Take that the answer of a job has begun."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.first_byte(key)

    def first_byte_of(self, key: str) -> None:
        """Take that the answer of a job of some service has begun."""
        for pool in self._pools.values():
            pool.first_byte(key)

    def is_waiting(self, key: str) -> bool:
        """Return whether a job waits here."""
        return key in self._origins

    def service_of(self, incarnation: str) -> str:
        """Return the service of an upstream, empty for an unknown one."""
        upstream = self._by_id.get(incarnation)
        return '' if upstream is None else upstream.service

    def finish(
        self,
        key: str,
        service: str,
        incarnation: str,
        report: RunReport,
    ) -> None:
        """Take that a send has ended."""
        pool = self._pools.get(service)
        if pool is None:
            return
        pool.finish(key, report, self._loop.time())
        if report.ending is Ending.misplaced:
            pool.misplaced(incarnation)
        self._pump(pool)

    def apply_limits(self) -> None:
        """Keep to the limits that upstreams name now."""
        for pool in self._pools.values():
            self._apply_limits(pool)
            self._pump(pool)

    def take_limit_parts(self, parts: Mapping[str, float]) -> None:
        """Keep to these parts of the limits, by service.

        Elsewhere, and where the part is 0, another instance decides.
        """
        if parts == self._parts:
            return
        self._parts = dict(parts)
        self.apply_limits()

    @property
    def limited_services(self) -> tuple[str, ...]:
        """Return the services with an upstream that names a limit."""
        return tuple(
            name
            for name, pool in self._pools.items()
            if pool.upstreams.is_limited
        )

    def take_share(self, share: float) -> None:
        """Fill at most this part of the places of model engines."""
        for pool in self._pools.values():
            if pool.is_model:
                pool.take_share(share)

    def may_fill(self, service: str, filled: int, instances: int) -> bool:
        """Return whether one of so many instances may fill one place more.

        Fewer places than instances go by chance, drawn anew from time to time,
        so that no instance has none for long.
        """
        pool = self._pools.get(service)
        if pool is None:
            return True
        now = self._loop.time()
        until, drawn = self._draws.get(service, (0, 0))
        if now >= until:
            drawn = self._rng.random()
            self._draws[service] = (now + _TURN_S, drawn)
        return filled + drawn < max(_LEAST_PART, pool.places / instances)

    def drop_jobs(self, prefix: str) -> None:
        """Forget all jobs whose key has this prefix."""
        for key in tuple(self._origins):
            if key.startswith(prefix):
                self._origins.pop(key)
        for pool in self._pools.values():
            pool.drop_jobs(prefix)
            self._pump(pool)

    def _apply_limits(self, pool: ServicePool) -> None:
        part = self._parts.get(pool.service, 0)
        pool.upstreams.apply_limits(
            self.named_limits.current, part, self._loop.time()
        )

    def _pump(self, pool: ServicePool) -> None:
        for decision in pool.decide(self._loop.time()):
            origin = self._origins.pop(decision.key, None)
            if origin is None:
                continue
            if isinstance(decision, Granted):
                origin.granted(decision)
            elif isinstance(decision, GivenUp):
                origin.given_up(decision)
        if pool.waiting and self._timer is None:
            self._timer = self._loop.call_later(_LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        for pool in self._pools.values():
            if pool.waiting:
                self._pump(pool)


class GivenUpError(RefusedError):
    """A job cannot be answered in time."""

    def __init__(self, given_up: GivenUp) -> None:
        """Keep when to return, and what was foreseen."""
        refusal = Refusal.of(
            Reason.deadline_unreachable,
            retry_after=given_up.retry_after_s,
        )
        super().__init__(refusal)
        self.outlook = given_up.outlook
