"""Builds parts of an instance from its options: its entry, its gate."""

from __future__ import annotations

import random

from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.quota_limits import QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.guard import Guard
from tallyhall_edge.job_factory import JobSource
from tallyhall_edge.runner import RequestPipeline
from tallyhall_edge.scheduling import Scheduler
from tallyhall_edge.stream_versions import StreamOrigins
from tallyhall_edge.telemetry import Telemetry
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.headers import PlatformHeaderCodec

from .logs import EventLog
from .memory import InstanceMemory
from .metrics import Metrics
from .stream_origins import StreamOriginStore

# Subtracted from the bound on the use of revoked keys: covers what a watch may
# miss while the store compacts its history, and the time that a request takes
# to reach its upstream.
_REVOKE_MARGIN_S = 1.3
# Random bits of the incarnation id, which distinguishes runs of an instance.
_ID_BITS = 64


def own_entry(options: Options, rng: random.Random) -> InstanceEntry:
    """Return the store entry for a new run of an instance."""
    return InstanceEntry(
        instance=options.instance,
        incarnation=f'{rng.getrandbits(_ID_BITS):016x}',
        front=str(options.front),
        peer=str(options.peer),
        zone=options.zone,
        region=options.region,
        cores=round(options.cores, 2),
        tunnel=str(options.tunnel),
    )


def freshness_s(options: Options) -> float:
    """Return the maximum age of a confirmation in seconds; 0 for no limit."""
    return max(0, options.bounds.revoke_s - _REVOKE_MARGIN_S)


def admits_s(options: Options) -> float:
    """Return for how long an isolated instance admits requests, in seconds.

    Without a bound on revoked keys an isolated instance admits indefinitely,
    and a dead one would keep its share of the quotas indefinitely. The quota
    window is used instead, the period over which quotas are measured.
    """
    return freshness_s(options) or options.bounds.quota_window_s


def new_memory(
    options: Options, log: EventLog, metrics: Metrics
) -> InstanceMemory:
    """Return the memory budget of the instance."""
    return InstanceMemory(
        options.memory_bytes,
        log,
        metrics,
        has_slow_peers=options.has_slow_peers,
    )


def new_origins(
    options: Options, rng: random.Random, log: EventLog
) -> StreamOriginStore:
    """Return a store of stream origins; it does not listen yet."""
    return StreamOriginStore(options.instance, rng, log.event)


def new_pipeline(
    options: Options,
    gate: AdmissionGate,
    scheduler: Scheduler,
    conns: ConnectionPool,
    telemetry: Telemetry,
    guard: Guard,
    origins: StreamOrigins,
) -> RequestPipeline:
    """Return the handler of the requests of callers."""
    return RequestPipeline(
        gate,
        scheduler,
        conns,
        PlatformHeaderCodec(),
        telemetry,
        JobSource(options.instance, options.zone),
        guard,
        origins,
    )


def new_gate(options: Options, rng: random.Random, now: float) -> AdmissionGate:
    """Return a gate that has no desired state yet."""
    bounds = options.bounds
    return AdmissionGate(
        Freshness(freshness_s(options)),
        RetryLimits(
            bounds.retry_ratio,
            bounds.retry_allowance,
            bounds.retry_window_s,
        ),
        QuotaBounds(
            bounds.quota_window_s,
            bounds.quota_overshoot,
            bounds.quota_slack,
        ),
        rng,
        now,
    )
