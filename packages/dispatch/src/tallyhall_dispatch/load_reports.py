"""Load reports of upstreams, which they add to their responses."""

from __future__ import annotations

import msgspec


class LoadReport(msgspec.Struct, frozen=True):
    """The load that an upstream reports.

    running, waiting: number of requests. slowdown: how long work takes on its
    machine at this moment relative to the usual time, 1 for as usual; None if
    the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class UpstreamLoads:
    """The last load report of each upstream."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, tuple[float, LoadReport]] = {}

    def record(
        self, incarnation: str, report: LoadReport, received_at: float
    ) -> None:
        """Record a report, unless a newer one is known.

        received_at: when an instance received the response with the report.
        """
        known = self._reports.get(incarnation)
        if known is None or known[0] <= received_at:
            self._reports[incarnation] = (received_at, report)
