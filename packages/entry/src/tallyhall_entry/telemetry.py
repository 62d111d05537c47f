"""Request logging and metrics."""

from __future__ import annotations

from tallyhall_core.events import Event

from .logs import EventLog
from .metrics import Metrics

_MILLI = 1000


class RequestTelemetry:
    """Logs request events and updates request metrics; a `Telemetry`."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Write to this log and these metrics."""
        self._log = log
        self._metrics = metrics

    def event(self, event: Event, **fields: object) -> None:
        """Log a request event and update the metrics that depend on it."""
        if event is Event.refused:
            self._metrics.refusals[str(fields['reason'])] += 1
            cause = fields.get('cause')
            if cause is not None:
                self._metrics.rejections[str(cause)] += 1
        elif event is Event.send_ended:
            self._count_send(fields)
        self._log.event(event, **fields)

    def record_request_end(
        self,
        outcome: str,
        total_s: float,
        route_kind: str,
        *,
        is_retry: bool,
        is_suspect: bool = False,
    ) -> None:
        """Count a request that has ended."""
        self._metrics.ended(route_kind, outcome, total_s)
        if is_retry:
            self._metrics.retries[outcome] += 1
        if is_suspect:
            self._metrics.suspects[outcome] += 1

    def _count_send(self, fields: dict[str, object]) -> None:
        self._metrics.sends[str(fields['ending'])] += 1
        first_ms = fields['first_ms']
        if isinstance(first_ms, int):
            self._metrics.first_event_seconds.observe(first_ms / _MILLI)
