"""Counters and histograms of an entry instance for Prometheus.

Values are kept as plain numbers. Importing prometheus_client and its
dependencies takes 20 ms of CPU time, a sixth of a start, so exposition.py,
which needs them, is only imported when the metrics are first requested.
"""

from __future__ import annotations

import bisect
import collections
import itertools
import math
from collections.abc import Mapping

import msgspec
from tallyhall_dispatch.retries import RetryUse
from tallyhall_edge.body_memory import BodyMemory

from .logs import BoundedStream

_BUCKET_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15)
_Labels = tuple[str, ...]


class Histogram:
    """Number of observations in each bucket, and their sum."""

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*_BUCKET_BOUNDS_S, math.inf)]
        self.total: float = 0

    def observe(self, amount: float) -> None:
        """Add an observation, in seconds."""
        self.counts[bisect.bisect_left(_BUCKET_BOUNDS_S, amount)] += 1
        self.total += amount

    def buckets(self) -> list[tuple[str, float]]:
        """Return the upper bounds with their cumulative counts."""
        bounds = (*map(str, map(float, _BUCKET_BOUNDS_S)), '+Inf')
        return list(
            zip(bounds, itertools.accumulate(self.counts), strict=True),
        )


class UrgencySlots(msgspec.Struct, frozen=True):
    """Slots in use and slot limits, by service and urgency.

    Only of services in which an urgency defers.
    """

    running: dict[_Labels, int] = msgspec.field(default_factory=dict)
    limits: dict[_Labels, int] = msgspec.field(default_factory=dict)


class UpstreamLoadCounts(msgspec.Struct, frozen=True):
    """Numbers of upstreams with a fresh load report, and of slowed ones."""

    reporting: int = 0
    slowed: int = 0


class ConnectionCounts(msgspec.Struct):
    """Open connections of callers, and those that were closed.

    closed: by listener and reason.
    """

    open: int = 0
    turned_away: int = 0
    closed: collections.Counter[_Labels] = msgspec.field(
        default_factory=collections.Counter
    )


class DesiredStateStatus(msgspec.Struct):
    """The desired state in force.

    version: -1 before the first. confirmation_age_s: seconds since the store
    confirmed it. store_up: 1 while the store answers.
    """

    version: int = -1
    confirmation_age_s: float = 0
    store_up: int = 0


class PathCounts(msgspec.Struct):
    """The links of this instance to upstreams, and tunnels through peers.

    isolated: 1 while this instance reaches no upstream itself. open: tunnels
    of other instances through this one. silent: upstreams that do not answer
    any request. unread: sends to upstreams that these may not have read;
    oldest_unread_s: age of the oldest one. asked, served: requests for tunnels
    to other instances and from them, by outcome.
    """

    isolated: int = 0
    open: int = 0
    silent: int = 0
    unread: int = 0
    oldest_unread_s: float = 0
    asked: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    served: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )


class Metrics:
    """All metrics of one process, described in docs/METRICS.md."""

    def __init__(self, stream: BoundedStream) -> None:
        """Start with nothing counted."""
        self.stream = stream
        self.requests: collections.Counter[_Labels] = collections.Counter()
        self.request_seconds: dict[str, Histogram] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        # Rejected jobs of services in which an urgency defers, by cause.
        self.rejections: collections.Counter[str] = collections.Counter()
        # Requests of callers that were refused before, by outcome.
        self.retries: collections.Counter[str] = collections.Counter()
        # Requests that were restricted as they may crash upstreams, by outcome.
        self.suspects: collections.Counter[str] = collections.Counter()
        self.sends: collections.Counter[str] = collections.Counter()
        # By kind, cause and outcome.
        self.store_calls: Mapping[tuple[str, str, str], int] = {}
        self.first_event_seconds = Histogram()
        self.connections = ConnectionCounts()
        self.waiting = 0
        self.limited_upstreams = 0
        self.urgency_slots = UrgencySlots()
        self.upstream_loads = UpstreamLoadCounts()
        # Load reports, by what happened to them.
        self.load_reports: Mapping[str, int] = {}
        # Use of the retry budgets, by service.
        self.retry_use: Mapping[str, RetryUse] = {}
        self.paths = PathCounts()
        self.desired_state = DesiredStateStatus()
        self.bodies: BodyMemory | None = None

    def ended(self, kind: str, outcome: str, total_s: float) -> None:
        """Count a request that has ended."""
        self.requests[(kind, outcome)] += 1
        times = self.request_seconds.get(kind)
        if times is None:
            times = Histogram()
            self.request_seconds[kind] = times
        times.observe(total_s)
