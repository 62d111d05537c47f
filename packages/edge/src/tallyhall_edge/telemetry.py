"""Where the edge tells what happens."""

from __future__ import annotations

from typing import Protocol

from tallyhall_core.events import Event


class Telemetry(Protocol):
    """Takes numbered events and what a request came to."""

    def event(self, event: Event, **fields: object) -> None:
        """Log an event."""

    def ended(self, outcome: str, total_s: float, route_kind: str) -> None:
        """Count a request that has ended."""
