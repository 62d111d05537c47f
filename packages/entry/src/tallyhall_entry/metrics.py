"""Counters and histograms of an entry instance, for Prometheus."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .logs import BoundedStream

_LATENCY_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15)


class Metrics:
    """All metrics of one process; docs/METRICS.md lists them."""

    def __init__(self, stream: BoundedStream) -> None:
        """Register everything, so that zeros are shown too."""
        self._stream = stream
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'tallyhall_requests',
            'Requests that have ended, by kind of route and outcome.',
            ('kind', 'outcome'),
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            'tallyhall_request_seconds',
            'Time from the first byte of a request to its end.',
            ('kind',),
            buckets=_LATENCY_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            'tallyhall_refusals',
            'Requests refused, by reason.',
            ('reason',),
            registry=self.registry,
        )
        self.sends = Counter(
            'tallyhall_sends',
            'Sends to upstreams, by how they ended.',
            ('ending',),
            registry=self.registry,
        )
        self.first_event_seconds = Histogram(
            'tallyhall_first_event_seconds',
            'Time from a send to the first event of its answer.',
            buckets=_LATENCY_S,
            registry=self.registry,
        )
        self.connections = Gauge(
            'tallyhall_connections',
            'Open connections of callers.',
            registry=self.registry,
        )
        self.turned_away = Gauge(
            'tallyhall_connections_turned_away',
            'Connections of callers closed for want of descriptors.',
            registry=self.registry,
        )
        self.waiting = Gauge(
            'tallyhall_waiting_requests',
            'Requests that wait for an upstream.',
            registry=self.registry,
        )
        self.state_version = Gauge(
            'tallyhall_desired_state_version',
            'Version of the desired state in force, -1 before the first.',
            registry=self.registry,
        )
        self.confirmation_age_seconds = Gauge(
            'tallyhall_confirmation_age_seconds',
            'Time since the desired state was last confirmed.',
            registry=self.registry,
        )
        self.store_up = Gauge(
            'tallyhall_store_reachable',
            '1 while the store answers.',
            registry=self.registry,
        )
        self.log_lines_dropped = Gauge(
            'tallyhall_log_lines_dropped',
            'Log lines dropped since the start, by cause.',
            ('cause',),
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        for cause, dropped in self._stream.dropped.items():
            self.log_lines_dropped.labels(cause).set(dropped)
        return generate_latest(self.registry)
