"""Metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import exposition
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from tallyhall_edge.memory_budget import Step

from .metrics import Metrics
from .process_memory import resident_bytes


def exposed(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return exposition.generate_latest(_Collector(metrics))


class _Collector:
    """Converts the counted values when the metrics are scraped."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, including those that are zero."""
        yield from self._counters()
        yield from self._histograms()
        yield from self._gauges()
        yield from self._memory()

    def _counters(self) -> Iterator[Metric]:
        requests = CounterMetricFamily(
            'tallyhall_requests',
            'Requests that have ended, by kind of route and outcome.',
            labels=('kind', 'outcome'),
        )
        for labels, count in self._metrics.requests.items():
            requests.add_metric(labels, count)
        yield requests
        calls = CounterMetricFamily(
            'tallyhall_store_calls',
            'Calls to the store, by kind, cause and outcome.',
            labels=('kind', 'cause', 'outcome'),
        )
        for labels, count in self._metrics.store_calls.items():
            calls.add_metric(labels, count)
        yield calls
        closed = CounterMetricFamily(
            'tallyhall_connections_closed',
            'Connections of callers that were closed, by listener and reason.',
            labels=('listener', 'reason'),
        )
        for labels, count in self._metrics.connections.closed.items():
            closed.add_metric(labels, count)
        yield closed
        yield self._retry_budget()
        for name, text, label, counts in (
            (
                'tallyhall_refusals',
                'Requests refused, by reason.',
                'reason',
                self._metrics.refusals,
            ),
            (
                'tallyhall_rejections',
                'Requests rejected where an urgency defers, by cause.',
                'cause',
                self._metrics.rejections,
            ),
            (
                'tallyhall_retries',
                'Ended requests whose caller was refused before, by outcome.',
                'outcome',
                self._metrics.retries,
            ),
            (
                'tallyhall_suspects',
                'Ended requests that may crash upstreams, by outcome.',
                'outcome',
                self._metrics.suspects,
            ),
            (
                'tallyhall_sends',
                'Sends to upstreams, by how they ended.',
                'ending',
                self._metrics.sends,
            ),
            (
                'tallyhall_load_reports',
                'Load reports of upstreams, by what happened to them.',
                'step',
                self._metrics.load_reports,
            ),
            (
                'tallyhall_tunnels_asked',
                'Requests to other instances for tunnels, by outcome.',
                'outcome',
                self._metrics.paths.asked,
            ),
            (
                'tallyhall_tunnels_served',
                'Requests of other instances for tunnels, by outcome.',
                'outcome',
                self._metrics.paths.served,
            ),
        ):
            family = CounterMetricFamily(
                name,
                text,
                labels=(label,),
            )
            for label_value, count in counts.items():
                family.add_metric((label_value,), count)
            yield family

    def _retry_budget(self) -> Metric:
        family = CounterMetricFamily(
            'tallyhall_retry_budget',
            'Requests and retries in the retry budget, by service.',
            labels=('service', 'counted'),
        )
        for service, use in self._metrics.retry_use.items():
            family.add_metric((service, 'requests'), use.requests)
            family.add_metric((service, 'retries'), use.retries)
            family.add_metric((service, 'denied'), use.denied)
        return family

    def _memory(self) -> Iterator[Metric]:
        """Yield the metrics of the memory budget and of the process."""
        yield GaugeMetricFamily(
            'tallyhall_resident_bytes',
            'Resident memory of the process.',
            resident_bytes() or 0,
        )
        size = GaugeMetricFamily(
            'tallyhall_memory_budget_bytes',
            'Bytes that connections and requests may hold.',
            labels=(),
        )
        held = GaugeMetricFamily(
            'tallyhall_memory_bytes',
            'Bytes held for callers and upstreams, by holder.',
            labels=('holder',),
        )
        steps = CounterMetricFamily(
            'tallyhall_memory_steps',
            'How often each step of the memory budget was entered.',
            labels=('step',),
        )
        waiting = GaugeMetricFamily(
            'tallyhall_waiting_bodies',
            'Bodies of requests that wait unread for their memory.',
            labels=(),
        )
        refused = CounterMetricFamily(
            'tallyhall_refused_bodies',
            'Requests refused as there was no memory for their bodies.',
            labels=(),
        )
        bodies = self._metrics.bodies
        if bodies is not None:
            memory = bodies.budget
            waiting.add_metric((), bodies.waiting)
            refused.add_metric((), bodies.refused)
            size.add_metric((), memory.size)
            for holder, count in memory.held.items():
                held.add_metric((holder.value,), count)
            for step in tuple(Step)[1:]:
                steps.add_metric((step.name,), memory.entered[step])
        yield from (size, held, steps, waiting, refused)

    def _histograms(self) -> Iterator[Metric]:
        requests = HistogramMetricFamily(
            'tallyhall_request_seconds',
            'Time from the first byte of a request to its end.',
            labels=('kind',),
        )
        for kind, times in self._metrics.request_seconds.items():
            requests.add_metric((kind,), times.buckets(), times.total)
        yield requests
        yield HistogramMetricFamily(
            'tallyhall_first_event_seconds',
            'Time from a send to the first event of its answer.',
            self._metrics.first_event_seconds.buckets(),
            self._metrics.first_event_seconds.total,
        )

    def _gauges(self) -> Iterator[Metric]:
        for name, text, gauge in (
            (
                'tallyhall_connections',
                'Open connections of callers.',
                self._metrics.connections.open,
            ),
            (
                'tallyhall_connections_turned_away',
                'Connections of callers closed for want of descriptors.',
                self._metrics.connections.turned_away,
            ),
            (
                'tallyhall_waiting_requests',
                'Requests that wait for an upstream.',
                self._metrics.waiting,
            ),
            (
                'tallyhall_limited_upstreams',
                'Upstreams that name what they take from all instances.',
                self._metrics.limited_upstreams,
            ),
            (
                'tallyhall_reporting_upstreams',
                'Upstreams with a load report that is not outdated.',
                self._metrics.upstream_loads.reporting,
            ),
            (
                'tallyhall_slowed_upstreams',
                'Upstreams whose last load report states a slowdown.',
                self._metrics.upstream_loads.slowed,
            ),
            (
                'tallyhall_isolated',
                '1 while this instance reaches no upstream itself.',
                self._metrics.paths.isolated,
            ),
            (
                'tallyhall_open_tunnels',
                'Tunnels of other instances through this one.',
                self._metrics.paths.open,
            ),
            (
                'tallyhall_silent_upstreams',
                'Upstreams that do not answer any request.',
                self._metrics.paths.silent,
            ),
            (
                'tallyhall_unread_sends',
                'Sends that their upstream may not have read.',
                self._metrics.paths.unread,
            ),
            (
                'tallyhall_oldest_unread_seconds',
                'Age of the oldest of these sends.',
                self._metrics.paths.oldest_unread_s,
            ),
            (
                'tallyhall_desired_state_version',
                'Version of the desired state in force, -1 before the first.',
                self._metrics.desired_state.version,
            ),
            (
                'tallyhall_confirmation_age_seconds',
                'Time since the desired state was last confirmed.',
                self._metrics.desired_state.confirmation_age_s,
            ),
            (
                'tallyhall_store_reachable',
                '1 while the store answers.',
                self._metrics.desired_state.store_up,
            ),
        ):
            yield GaugeMetricFamily(name, text, gauge)
        yield from self._urgency_gauges()
        available = GaugeMetricFamily(
            'tallyhall_retries_available',
            'Retries that the retry budget allows now, by service.',
            labels=('service',),
        )
        for service, use in self._metrics.retry_use.items():
            available.add_metric((service,), use.available)
        yield available
        unread = GaugeMetricFamily(
            'tallyhall_retries_unread',
            'Retries that are sent and may not have arrived, by service.',
            labels=('service',),
        )
        for service, use in self._metrics.retry_use.items():
            unread.add_metric((service,), use.unread)
        yield unread
        dropped = GaugeMetricFamily(
            'tallyhall_log_lines_dropped',
            'Log lines dropped since the start, by cause.',
            labels=('cause',),
        )
        for cause, lines in self._metrics.stream.dropped.items():
            dropped.add_metric((cause,), lines)
        yield dropped

    def _urgency_gauges(self) -> Iterator[Metric]:
        for name, text, by_urgency in (
            (
                'tallyhall_running_requests',
                'Requests that run, by urgency, where one defers.',
                self._metrics.urgency_slots.running,
            ),
            (
                'tallyhall_slot_limit',
                'Slots that a deferring urgency may occupy.',
                self._metrics.urgency_slots.limits,
            ),
        ):
            family = GaugeMetricFamily(
                name, text, labels=('service', 'urgency')
            )
            for labels, amount in by_urgency.items():
                family.add_metric(labels, amount)
            yield family
