"""Periodic log lines and gauges of an instance."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Mapping

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.fleet import FleetCount
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.pool import ServicePool
from tallyhall_edge.connection_watch import CloseReason
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.server import HttpServer
from tallyhall_platform.call_counts import CallCounts

from .descriptors import Listener
from .load_sharing import LoadSharing
from .logs import EventLog
from .metrics import Metrics, UpstreamLoadCounts

# Interval of the log lines about store calls, in seconds: a line of 300 bytes
# every 2 s is a hundredth of an instance's log budget.
_LOG_CALLS_S = 2.0
# Minimum interval of the log lines about closed connections, in seconds.
_LOG_CLOSED_S = 5.0
_MILLI = 1000


class Reports:
    """Logs fleet counts and store calls, and updates the gauges."""

    def __init__(
        self,
        incarnation: str,
        calls: CallCounts,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Initialize for one incarnation of an instance."""
        self._incarnation = incarnation
        self._calls = calls
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._calls_logged_at = self._loop.time()
        self._closed_logged_at = self._loop.time()
        self._last_counts: dict[str, int] = {}

    def log_fleet(self, count: FleetCount, heard: int) -> None:
        """Log the numbers of instances that share quotas, if they changed.

        heard: number of instances whose use is known here.
        """
        counted = {
            'registered': len(count.registered),
            'leaving': len(count.leaving),
            'vanished': len(count.vanished),
            'heard': heard,
        }
        if counted != self._last_counts:
            self._last_counts = counted
            self._log.event(Event.fleet_counted, **counted)

    def log_calls(self) -> None:
        """Log the counts of store calls if they changed since the last line."""
        calls = self._calls.by_label()
        if calls == self._metrics.store_calls:
            return
        self._metrics.store_calls = calls
        self._log.event(
            Event.store_calls,
            incarnation=self._incarnation,
            calls={'/'.join(labels): count for labels, count in calls.items()},
        )

    def update_urgencies(self, dispatcher: Dispatcher, now: float) -> None:
        """Update the gauges of urgencies, and log which of them defer."""
        slots = self._metrics.urgency_slots
        slots.running.clear()
        slots.limits.clear()
        for service, pool in dispatcher.pools.items():
            for change in pool.class_priority.take_changes():
                self._log.event(
                    Event.deferral_changed,
                    service=service,
                    **msgspec.structs.asdict(change),
                )
            if pool.class_priority.has_deferring:
                self._update_service(service, pool, now)

    def update(
        self,
        gate: AdmissionGate,
        front: HttpServer,
        dispatcher: Dispatcher,
    ) -> None:
        """Update the gauges and log what is due."""
        now = self._loop.time()
        if now - self._calls_logged_at >= _LOG_CALLS_S:
            self._calls_logged_at = now
            self.log_calls()
        self._log.report_dropped()
        metrics = self._metrics
        metrics.connections.open = front.open_connections
        metrics.connections.turned_away = front.closed[CloseReason.turned_away]
        metrics.waiting = dispatcher.waiting
        metrics.limited_upstreams = sum(
            dispatcher.upstream(incarnation) is not None
            for incarnation in dispatcher.announced_limits.current
        )
        self.update_urgencies(dispatcher, now)
        metrics.retry_use = {
            service: gate.retry_use(service, now)
            for service in gate.budgeted_services
        }
        self._log_ejections(dispatcher, now)
        age = gate.freshness.age(now)
        if age is not None:
            metrics.desired_state.confirmation_age_s = age

    def update_loads(self, dispatcher: Dispatcher, loads: LoadSharing) -> None:
        """Update the metrics of load reports."""
        now = self._loop.time()
        slowed = [
            report.is_slowed
            for _, report, _ in dispatcher.upstream_loads.fresh(now)
        ]
        self._metrics.upstream_loads = UpstreamLoadCounts(
            len(slowed), sum(slowed)
        )
        self._metrics.load_reports = loads.counts

    def update_closed(self, servers: Mapping[Listener, HttpServer]) -> None:
        """Count the closed connections of callers, and log how many."""
        now = self._loop.time()
        if now - self._closed_logged_at < _LOG_CLOSED_S:
            return
        before = self._metrics.connections.closed
        closed: collections.Counter[tuple[str, ...]] = collections.Counter(
            {
                (listener.value, reason.value): count
                for listener, server in servers.items()
                for reason, count in server.closed.items()
            }
        )
        if closed == before:
            return
        self._closed_logged_at = now
        self._metrics.connections.closed = closed
        for labels, count in (closed - before).items():
            listener, reason = labels
            self._log.event(
                Event.callers_closed,
                listener=listener,
                reason=reason,
                connections=count,
            )

    def _log_ejections(self, dispatcher: Dispatcher, now: float) -> None:
        for service, pool in dispatcher.pools.items():
            for ejection in pool.take_ejections():
                self._log.event(
                    Event.upstream_ejected,
                    service=service,
                    upstream=ejection.upstream,
                    ending=ejection.ending.value,
                    failures=ejection.failures,
                    by=ejection.reported_by,
                    ejected_ms=round(
                        (ejection.until - ejection.since) * _MILLI
                    ),
                    ms_ago=round((now - ejection.since) * _MILLI),
                )

    def _update_service(
        self, service: str, pool: ServicePool, now: float
    ) -> None:
        slots = self._metrics.urgency_slots
        priority = pool.class_priority
        for urgency in priority.urgencies:
            labels = (service, str(urgency))
            slots.running[labels] = priority.running(urgency)
            if priority.is_deferring(urgency):
                limit = pool.slot_limit(urgency, now)
                slots.limits[labels] = limit
