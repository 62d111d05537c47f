"""Load reports of upstreams, which they add to their responses.

Upstreams share their machines with other workloads and are slowed for parts of
a second. Their reports tell such a slowdown from a permanent difference in
speed. They also reveal runs of instances that are cut off or have terminated.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

import msgspec

# Ranges of credible reports: engines have some tens of slots, and work that
# takes twenty times as long as usual is a failure, not a slowdown.
MAX_REQUESTS = 10_000
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 20.0
# Expected duration of a slowdown until the first one has been observed, in
# seconds: the time of a few responses of one upstream.
_INITIAL_DURATION_S = 0.5
# Bounds for the learned duration, in seconds. A shorter one than the mean time
# between two reports of an upstream (0.1 s) could not be observed; a longer one
# would let a single wrong report exclude an upstream for too long.
_MIN_DURATION_S = 0.1
_MAX_DURATION_S = 5.0
# Weight of the latest slowdown in the learned duration: fifty slowdowns make up
# two thirds of it, as single durations vary as much as their mean.
_DURATION_WEIGHT = 0.02
# Slowdowns from which on a machine counts as slowed. Lower ones change less
# than the random factor of the selection (1.1) and may be noise.
SLOWED = 1.2
# Upper bound for the time from the state that a report describes until its
# response is received, in seconds: latency between zones and stalls of an event
# loop. A run that ends in this time must not be counted as unknown.
_MAX_TRANSIT_S = 0.05


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

    @property
    def is_slowed(self) -> bool:
        """Return whether work takes noticeably longer than usual."""
        return self.slowdown is not None and self.slowdown >= SLOWED


class ServiceSlowdowns:
    """What is known about slowdowns of the upstreams of one service."""

    def __init__(self) -> None:
        """Start without any report of a slowdown."""
        # Whether any upstream has reported a slowdown, of whatever value.
        self.are_reported = False
        self.duration_s = _INITIAL_DURATION_S

    def record_end(self, lasted_s: float) -> None:
        """Record how long a slowdown lasted after the first report of it."""
        difference_s = lasted_s - self.duration_s
        duration_s = self.duration_s + _DURATION_WEIGHT * difference_s
        self.duration_s = min(_MAX_DURATION_S, max(_MIN_DURATION_S, duration_s))


class UpstreamLoad:
    """The last load report of one upstream and the runs known there."""

    def __init__(self, service: ServiceSlowdowns) -> None:
        """Start without a report."""
        self.report: LoadReport | None = None
        self.received_at = -math.inf
        self._service = service
        # Time of the first report of the slowdown that is under way.
        self._slowed_since: float | None = None
        self._known_runs = 0
        self._ended_at: collections.deque[float] = collections.deque()
        self._unknown_runs = 0
        # Read for each pair of job and upstream, so that `unknown_runs` is
        # called only if there are any.
        self.has_unknown_runs = False

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is in effect."""
        return now - self.received_at < self._service.duration_s

    def slowdown(self, now: float) -> float:
        """Return the slowdown, 1 if it is unknown or below 1.

        It decays linearly to 1 over the time that slowdowns usually last. An
        upstream that understates its load must not attract all requests.
        """
        report = self.report
        if report is None or not report.slowdown or not self.is_fresh(now):
            return 1
        age_s = max(0, now - self.received_at)
        excess = max(0, report.slowdown - 1)
        return 1 + excess * (1 - age_s / self._service.duration_s)

    def unknown_runs(self, now: float) -> int:
        """Return how many running requests are not known to this instance."""
        if not self._service.are_reported or not self.is_fresh(now):
            return 0
        return self._unknown_runs

    def record(self, report: LoadReport, received_at: float) -> None:
        """Record a report, unless a newer one is known."""
        if received_at < self.received_at:
            return
        if report.slowdown is not None:
            self._service.are_reported = True
            self._observe_duration(report, received_at)
        self.report = report
        self.received_at = received_at
        # Runs that ended since the report was written are part of it. Runs that
        # started since are not, but are subtracted too: to leave a slot empty
        # that is free is worse than to send a request to a full upstream.
        written_at = received_at - _MAX_TRANSIT_S
        ended = sum(ended_at >= written_at for ended_at in self._ended_at)
        known = self._known_runs + ended
        self._set_unknown_runs(report.running - known)

    def add_run(self) -> None:
        """Record that a run was granted here."""
        self._known_runs += 1

    def adopt_run(self) -> None:
        """Record a run of another instance, which the report may include."""
        self._known_runs += 1
        self._set_unknown_runs(self._unknown_runs - 1)

    def drop_run(self) -> None:
        """Record that a run is no longer known, though it may continue."""
        self._known_runs -= 1

    def end_run(self, now: float) -> None:
        """Record that a run has ended."""
        self._known_runs -= 1
        if not self._service.are_reported:
            return
        self._ended_at.append(now)
        while self._ended_at[0] < now - _MAX_DURATION_S:
            self._ended_at.popleft()

    def _set_unknown_runs(self, count: int) -> None:
        self._unknown_runs = max(0, count)
        self.has_unknown_runs = self._unknown_runs > 0

    def _observe_duration(self, report: LoadReport, received_at: float) -> None:
        """Learn how long slowdowns last after they were first reported.

        Only slowdowns with an observed end count, so that an upstream that is
        always slowed, or sends a frozen report, does not extend the duration. A
        longer gap between two reports may hide the end of one slowdown and the
        start of another.
        """
        gap_s = received_at - self.received_at
        if gap_s > max(_INITIAL_DURATION_S, self._service.duration_s):
            self._slowed_since = None
        if not report.is_slowed:
            if self._slowed_since is not None:
                ended_at = received_at - gap_s / 2
                self._service.record_end(ended_at - self._slowed_since)
            self._slowed_since = None
        elif self._slowed_since is None:
            self._slowed_since = received_at


class UpstreamLoads:
    """The load reports of all known upstreams."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self._loads: dict[str, UpstreamLoad] = {}
        self._services: dict[str, ServiceSlowdowns] = {}

    def add(self, service: str, incarnation: str) -> UpstreamLoad:
        """Start to keep the reports of an upstream of this service."""
        known = self._services.setdefault(service, ServiceSlowdowns())
        return self._loads.setdefault(incarnation, UpstreamLoad(known))

    def remove(self, incarnation: str) -> None:
        """Remove the report of an upstream that is gone."""
        self._loads.pop(incarnation, None)

    def record(
        self, incarnation: str, report: LoadReport, received_at: float
    ) -> None:
        """Record a report, unless a newer one or no such upstream is known.

        received_at: when an instance received the response with the report.
        """
        load = self._loads.get(incarnation)
        if load is not None:
            load.record(report, received_at)

    def fresh(self, now: float) -> Iterator[tuple[str, LoadReport, float]]:
        """Yield the fresh reports that state a slowdown, even if it is 1.

        Each comes with its upstream and the time at which it was received.
        Reports without a slowdown are left out.
        """
        for incarnation, load in self._loads.items():
            report = load.report
            if report is None or report.slowdown is None:
                continue
            if load.is_fresh(now):
                yield incarnation, report, load.received_at

    def slowdown(self, incarnation: str, now: float) -> float:
        """Return the current slowdown of an upstream, 1 if it is unknown."""
        load = self._loads.get(incarnation)
        return 1 if load is None else load.slowdown(now)
