"""Interface for the log events and metrics of the edge."""

from __future__ import annotations

from typing import Protocol

from tallyhall_core.events import Event


class Telemetry(Protocol):
    """Receives log events and the outcomes of requests."""

    def event(self, event: Event, **fields: object) -> None:
        """Log an event."""

    def record_request_end(
        self,
        outcome: str,
        total_s: float,
        route_kind: str,
        *,
        is_retry: bool,
        is_suspect: bool = False,
    ) -> None:
        """Record the outcome and duration of a request.

        is_suspect: its last send was restricted, as it may crash upstreams.
        """
