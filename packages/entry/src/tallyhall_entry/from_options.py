"""What an instance is made of as its options say: its entry, its gate."""

from __future__ import annotations

import random

from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.quota_limits import QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_platform.entries import InstanceEntry

# Taken off the bound on revoked keys: what a watch may miss while the store
# compacts its history, and the way of a request to its upstream.
_REVOKE_MARGIN_S = 1.3
# Random bits that tell two runs of an instance apart.
_ID_BITS = 64


def own_entry(options: Options, rng: random.Random) -> InstanceEntry:
    """Return what the store is told of a new run of an instance."""
    return InstanceEntry(
        instance=options.instance,
        incarnation=f'{rng.getrandbits(_ID_BITS):016x}',
        front=str(options.front),
        peer=str(options.peer),
        zone=options.zone,
        region=options.region,
        cores=round(options.cores, 2),
    )


def freshness_s(options: Options) -> float:
    """Return how old a confirmation may be, in seconds; 0 for any age."""
    return max(0, options.bounds.revoke_s - _REVOKE_MARGIN_S)


def admits_s(options: Options) -> float:
    """Return for how long an instance that hears nothing admits, in seconds.

    Without a bound on revoked keys one that is cut off admits for ever, and
    one that is dead would hold its part for ever. One window is what a quota
    is measured over.
    """
    return freshness_s(options) or options.bounds.quota_window_s


def new_gate(options: Options, rng: random.Random, now: float) -> Gate:
    """Return a gate that knows no desired state yet."""
    bounds = options.bounds
    return Gate(
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
