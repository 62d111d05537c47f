"""The service pools of this instance, and the delivery of their decisions.

Jobs come from requests of this instance and, if it owns a service, from other
instances. Both are queued in the same way; the `JobListener` of a job is
notified of the decision.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import random
from collections.abc import Mapping
from typing import TYPE_CHECKING

from tallyhall_dispatch.announced_limits import AnnouncedLimits
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.leaving_upstreams import LeavingUpstreams
from tallyhall_dispatch.load_reports import UpstreamLoads
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_dispatch.versions import (
    RolloutOrder,
    RolloutStatus,
    ServiceVersions,
)

from .scheduling import JobListener

if TYPE_CHECKING:
    from tallyhall_dispatch.rollout import Rollout

# Interval in seconds at which waiting jobs are checked when nothing else
# triggers a decision: a fifth of the shortest objective.
_POLL_S = 0.02
# How long a random draw for a slot is valid, in seconds. The median run takes
# 0.2 s; if instances drew at every poll, all of them would win a slot within
# the duration of one run.
_DRAW_VALID_S = 0.5
# Minimum chance in a draw, so that an instance wins a slot within 2 s on
# average.
_MIN_CHANCE = 0.25
# Retry-After in seconds for a service that the desired state does not contain;
# the next state may contain it.
_UNKNOWN_SERVICE_RETRY_S = 1.0


class Dispatcher:
    """Holds the pools of all services on this instance."""

    def __init__(
        self, rng: random.Random, *, has_rollouts: bool = True
    ) -> None:
        """Start without services.

        has_rollouts: whether operators order rollouts in this deployment.
        """
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, ServicePool] = {}
        # The same pools, for the metrics.
        self.pools: Mapping[str, ServicePool] = self._pools
        self._listeners: dict[str, JobListener] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._upstreams: tuple[Upstream, ...] = ()
        self._by_incarnation: dict[str, Upstream] = {}
        self.leaving_upstreams = LeavingUpstreams()
        self.announced_limits = AnnouncedLimits()
        self.upstream_loads = UpstreamLoads()
        # The share of the limits of each service that this instance may use.
        self._limit_shares: dict[str, float] = {}
        self._versions: dict[str, ServiceVersions] = collections.defaultdict(
            functools.partial(ServiceVersions, has_rollouts=has_rollouts),
        )
        # For each service the end of validity of the last draw, and its value.
        self._draws: dict[str, tuple[float, float]] = {}

    @property
    def waiting(self) -> int:
        """Return the number of waiting jobs."""
        return sum(pool.waiting for pool in self._pools.values())

    def is_model(self, service: str) -> bool:
        """Return whether a service has model engines."""
        pool = self._pools.get(service)
        return pool is not None and pool.is_model

    def has_owner(self, service: str) -> bool:
        """Return whether one instance schedules all requests of a service.

        This applies to model engines, and to any service in a rollout or with
        an upstream that states a limit, as the load on a new version or on that
        upstream is bounded over all instances together.
        """
        pool = self._pools.get(service)
        if pool is not None and (pool.is_model or pool.upstreams.has_limits):
            return True
        return self._versions[service].order_in_progress is not None

    def slots(self, service: str) -> tuple[int, int]:
        """Return the slots of the upstreams in use and of the canaries."""
        pool = self._pools.get(service)
        return (0, 0) if pool is None else (pool.slots, pool.canary_slots)

    def upstream(self, incarnation: str) -> Upstream | None:
        """Return an upstream by its incarnation, None if it is unknown."""
        return self._by_incarnation.get(incarnation)

    def is_usable(self, incarnation: str) -> bool:
        """Return whether an upstream is known and not leaving."""
        upstream = self._by_incarnation.get(incarnation)
        return upstream is not None and not upstream.leaving

    def apply_state(self, state: DesiredState) -> None:
        """Create a pool for each new service of the desired state."""
        for name, service in state.services.items():
            if name not in self._pools:
                self._pools[name] = ServicePool(
                    name,
                    service.event_tokens,
                    self._rng,
                    loads=self.upstream_loads,
                )
        self.apply_upstreams(self._upstreams)

    def apply_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Replace the set of upstreams and decide on waiting jobs."""
        self._upstreams = upstreams
        grouped: dict[str, list[Upstream]] = collections.defaultdict(list)
        for known in map(self.leaving_upstreams.mark_leaving, upstreams):
            grouped[known.service].append(known)
        now = self._loop.time()
        marked = {
            name: self._versions[name].classify(group, now)
            for name, group in grouped.items()
        }
        self._by_incarnation = {
            upstream.incarnation: upstream
            for group in marked.values()
            for upstream in group
        }
        for name, pool in self._pools.items():
            pool.set_upstreams(marked.get(name, ()))
            self._apply_limits(pool)
            self._apply_decisions(pool)

    def apply_rollout(
        self,
        service: str,
        order: RolloutOrder | None,
        status: RolloutStatus | None,
    ) -> None:
        """Update the rollout of a service, which selects its versions."""
        versions = self._versions[service]
        versions.order = order
        versions.status = status
        self.apply_upstreams(self._upstreams)

    def check_versions(self) -> None:
        """Select the versions of services again if time changes them."""
        now = self._loop.time()
        if any(
            versions.is_outdated(now) for versions in self._versions.values()
        ):
            self.apply_upstreams(self._upstreams)

    def set_led_rollout(self, service: str, rollout: Rollout | None) -> None:
        """Start to schedule requests of a service on canaries, or stop."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.rollout = rollout

    def mark_leaving(self, incarnation: str) -> bool:
        """Mark an upstream as leaving; return whether this is new.

        The mark holds until the upstream ends, whatever its registry entry
        says.
        """
        if not self.leaving_upstreams.add(incarnation):
            return False
        self.apply_upstreams(self._upstreams)
        return True

    @property
    def announced_leaving(self) -> tuple[str, ...]:
        """Return the known upstreams that announced that they are leaving."""
        return tuple(
            name
            for name in self._by_incarnation
            if name in self.leaving_upstreams
        )

    def backoff_ends_in_s(
        self, service: str, backoffs: Mapping[str, float]
    ) -> float:
        """Return the time until an upstream is out of backoff, 0 if one is."""
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return pool.backoff_ends_in_s(backoffs, self._loop.time())

    def submit(self, job: Job, listener: JobListener) -> None:
        """Queue a job; the listener may be notified before this returns."""
        pool = self._pools.get(job.service)
        if pool is None:
            listener.on_rejected(
                RejectDecision(job.key, _UNKNOWN_SERVICE_RETRY_S)
            )
            return
        self._listeners[job.key] = listener
        pool.enqueue(job)
        self._apply_decisions(pool)

    def cancel(self, key: str) -> None:
        """Remove a waiting job."""
        self._listeners.pop(key, None)
        for pool in self._pools.values():
            pool.dequeue(key)

    def add_running(self, job: Job, incarnation: str) -> None:
        """Record a running job that another instance granted."""
        pool = self._pools.get(job.service)
        if pool is not None:
            pool.add_running(job, incarnation)

    def record_first_byte(self, key: str, service: str) -> None:
        """Record that the answer of a job has begun."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.record_first_byte(key)

    def record_first_byte_of(self, key: str) -> None:
        """Record that the answer of a job of unknown service has begun."""
        for pool in self._pools.values():
            pool.record_first_byte(key)

    def is_waiting(self, key: str) -> bool:
        """Return whether a job waits on this instance."""
        return key in self._listeners

    def service_of(self, incarnation: str) -> str:
        """Return the service of an upstream, empty for an unknown one."""
        upstream = self._by_incarnation.get(incarnation)
        return '' if upstream is None else upstream.service

    def finish(
        self,
        key: str,
        service: str,
        incarnation: str,
        report: RunReport,
    ) -> None:
        """Record that a send has ended."""
        pool = self._pools.get(service)
        if pool is None:
            return
        pool.finish(key, report, self._loop.time())
        if report.ending is AttemptOutcome.misplaced:
            pool.ignore_upstream(incarnation)
        self._apply_decisions(pool)

    def apply_limits(self) -> None:
        """Apply the current limits of upstreams to all pools."""
        for pool in self._pools.values():
            self._apply_limits(pool)
            self._apply_decisions(pool)

    def apply_limit_shares(self, parts: Mapping[str, float]) -> None:
        """Apply this instance's shares of the limits, by service.

        For services that are missing or have a share of 0, another instance
        decides.
        """
        if parts == self._limit_shares:
            return
        self._limit_shares = dict(parts)
        self.apply_limits()

    @property
    def limited_services(self) -> tuple[str, ...]:
        """Return the services with an upstream that states a limit."""
        return tuple(
            name
            for name, pool in self._pools.items()
            if pool.upstreams.has_limits
        )

    def apply_slot_share(self, share: float) -> None:
        """Use at most this share of the slots of model engines."""
        for pool in self._pools.values():
            if pool.is_model:
                pool.apply_share(share)

    def may_use_slot(self, service: str, filled: int, instances: int) -> bool:
        """Return whether this instance may fill one more slot.

        filled: slots that it uses now. instances: number of instances that
        share the slots. If there are fewer slots than instances, they are
        assigned by chance and drawn again from time to time, so that no
        instance goes without one for long.
        """
        pool = self._pools.get(service)
        if pool is None:
            return True
        now = self._loop.time()
        until, drawn = self._draws.get(service, (0, 0))
        if now >= until:
            drawn = self._rng.random()
            self._draws[service] = (now + _DRAW_VALID_S, drawn)
        return filled + drawn < max(_MIN_CHANCE, pool.slots / instances)

    def drop_jobs(self, prefix: str) -> None:
        """Remove all jobs whose key has this prefix."""
        for key in tuple(self._listeners):
            if key.startswith(prefix):
                self._listeners.pop(key)
        for pool in self._pools.values():
            pool.remove_jobs(prefix)
            self._apply_decisions(pool)

    def _apply_limits(self, pool: ServicePool) -> None:
        part = self._limit_shares.get(pool.service, 0)
        pool.upstreams.apply_limits(
            self.announced_limits.current, part, self._loop.time()
        )

    def _apply_decisions(self, pool: ServicePool) -> None:
        for decision in pool.decide(self._loop.time()):
            listener = self._listeners.pop(decision.key, None)
            if listener is None:
                continue
            if isinstance(decision, GrantDecision):
                listener.on_granted(decision)
            elif isinstance(decision, RejectDecision):
                listener.on_rejected(decision)
        if pool.waiting and self._timer is None:
            self._timer = self._loop.call_later(_POLL_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        for pool in self._pools.values():
            if pool.waiting:
                self._apply_decisions(pool)
