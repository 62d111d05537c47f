"""Connects the memory budget with the components that it limits."""

from __future__ import annotations

from collections.abc import Mapping

from tallyhall_core.events import Event
from tallyhall_edge.body_memory import BodyMemory
from tallyhall_edge.connection_memory import MemoryMonitor
from tallyhall_edge.memory_budget import MemoryBudget, Step, budget_bytes
from tallyhall_edge.runner import RequestPipeline
from tallyhall_edge.server import HttpServer

from .descriptors import Listener
from .logs import EventLog
from .metrics import Metrics
from .process_memory import resident_bytes

# Interval in seconds at which slow peers are polled: an eighth of the time
# after which a caller that reads nothing may be closed.
_POLL_S = 0.25


class InstanceMemory:
    """The memory budget of one instance.

    monitor: counts what slow peers hold, None where there are none; only then
    do the steps of the budget have an effect.
    """

    def __init__(
        self,
        limit: int,
        log: EventLog,
        metrics: Metrics,
        *,
        has_slow_peers: bool,
    ) -> None:
        """Create the budget of a process with this limit in bytes.

        limit: 0 if it is unknown.
        """
        self.budget = MemoryBudget(budget_bytes(limit, None))
        has_steps = limit > 0 and has_slow_peers
        self.bodies = BodyMemory(self.budget, has_steps=has_steps)
        self.monitor: MemoryMonitor | None = None
        self._limit = limit
        self._log = log
        self._front: HttpServer | None = None
        self._servers: tuple[HttpServer, ...] = ()
        self._runner: RequestPipeline | None = None
        self._polled_at: float = 0
        metrics.bodies = self.bodies
        if has_steps:
            self.budget.on_step = self._on_step
            self.monitor = MemoryMonitor(self.budget)

    def limit_components(
        self, servers: Mapping[Listener, HttpServer], runner: RequestPipeline
    ) -> None:
        """Limit the connections of these servers and the requests on them."""
        self._front = servers[Listener.front]
        self._servers = tuple(servers.values())
        self._runner = runner
        if self.monitor is not None:
            runner.shedding.budget = self.budget

    def measure_idle(self) -> None:
        """Set the budget to what the process leaves of its limit now."""
        self.budget.resize(budget_bytes(self._limit, resident_bytes()))

    def poll(self, now: float) -> None:
        """Update the counts of slow peers, and refuse waiting requests."""
        if now - self._polled_at < _POLL_S:
            return
        self._polled_at = now
        for server in self._servers:
            server.poll(now)
        if self.monitor is None:
            return
        self.monitor.poll(now)
        self.bodies.grant_waiting()
        if self._runner is not None:
            self._runner.shed_waiting()

    def _on_step(self, before: Step, after: Step) -> None:
        if self._front is None:
            return
        budget = self.budget
        self._log.event(
            Event.memory_step,
            before=before.name,
            step=after.name,
            budget=budget.size,
            total=budget.total,
            held={holder.value: size for holder, size in budget.held.items()},
        )
        self._front.apply_memory_step()
