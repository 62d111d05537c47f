"""Limits of a workspace by its quota and by the known part of the fleet."""

from __future__ import annotations

import msgspec

from .desired import Workspace
from .topology import is_full_mesh

# Use above this fraction of a quota is reported by hubs with every heartbeat,
# so that instances without a direct connection know each other's use.
# Unreported use below it cannot exceed a quota together with an instance's own
# use.
_HIGH_USE_FRACTION = 0.5
# Use below this fraction of a quota is low: even in a surge, the admissions of
# all instances stay within the quota until a silence of 1.5 heartbeats is
# detected. The value for large fleets allows for their longest heartbeat
# interval, the other one for the interval in a mesh.
_LOW_USE_FRACTION = 0.65
_LOW_USE_FRACTION_MESH = 0.8
# Fraction of the maximum overshoot that isolated instances may use together;
# the rest covers admissions between two reports.
_ISOLATED_FRACTION = 0.5
# Fraction of the maximum overshoot for requests above the quota while slots are
# free; the rest covers admissions between two reports.
_SPARE_FRACTION = 0.5
# Fraction of the remaining quota that an instance may admit before it is
# counted while use is low, and in a large fleet at any time with a single
# request: a large request does not fit into an equal share.
_MAX_ENLARGED_SHARE = 1 / 8
# Limits the sum of the enlarged shares of all instances to this many times the
# remaining quota: the more instances there are, the more of them admit before
# they receive each other's reports. At 200 instances, 25 allows shares of 1/8.
_MAX_ENLARGED_SUM = 25
# Fraction of the maximum overshoot that may be admitted unreported while all
# reports arrive in time.
_UNREPORTED_FRACTION = 0.25
# Minimum interval, in seconds, at which an instance requests the fleet's use,
# and the maximum number of such requests that a hub receives per second.
_MIN_REFRESH_S = 0.1
_MAX_REFRESHES_PER_S = 1000


class QuotaBounds(msgspec.Struct, frozen=True):
    """The window of quotas, and by how much they may be exceeded."""

    window_s: float
    overshoot: float
    slack: float


class FleetView(msgspec.Struct, frozen=True):
    """How much of the fleet this instance hears.

    heard_fraction: fraction of the fleet that is heard. acknowledged_at:
    admissions made here up to this time are known to all instances that are
    heard, None if no other is. propagated_at: the same for an instance that
    reports to all others, None while any instance may be cut off.
    """

    instances: int = 1
    heard_fraction: float = 1
    acknowledged_at: float | None = None
    propagated_at: float | None = None

    @property
    def is_full_mesh(self) -> bool:
        """Return whether all instances are connected to each other."""
        return is_full_mesh(self.instances)

    @property
    def refresh_s(self) -> float:
        """Return the interval between requests for the use of high quotas."""
        return max(_MIN_REFRESH_S, self.instances / _MAX_REFRESHES_PER_S)


class QuotaLimits(msgspec.Struct, frozen=True):
    """The limits that currently apply to one workspace."""

    workspace: Workspace
    bounds: QuotaBounds
    fleet: FleetView

    @property
    def quota(self) -> float:
        """Return the quota for any window."""
        workspace = self.workspace
        return workspace.rate * self.bounds.window_s + workspace.burst

    @property
    def max_overshoot(self) -> float:
        """Return by how much the quota may be exceeded."""
        return self.quota * self.bounds.overshoot + self.bounds.slack

    @property
    def ceiling(self) -> float:
        """Return the limit for requests above the quota on free slots."""
        return self.quota + _SPARE_FRACTION * self.max_overshoot

    @property
    def allowed(self) -> float:
        """Return the usable quota, reduced by the unheard part of the fleet."""
        if self.fleet.heard_fraction >= 1:
            return self.quota
        extra = self.max_overshoot * _ISOLATED_FRACTION / self.fleet.instances
        return min(self.quota, self.quota * self.fleet.heard_fraction + extra)

    @property
    def high_threshold(self) -> float:
        """Return the use above which hubs report it with every heartbeat."""
        return _HIGH_USE_FRACTION * self.quota

    @property
    def enlarged_share(self) -> float:
        """Return the maximum fraction of the remaining quota per instance."""
        return min(
            _MAX_ENLARGED_SHARE,
            _MAX_ENLARGED_SUM / self.fleet.instances,
        )

    def is_low_use(self, used: float) -> bool:
        """Return whether unreported admissions cannot exceed the quota."""
        fraction = (
            _LOW_USE_FRACTION_MESH
            if self.fleet.is_full_mesh
            else _LOW_USE_FRACTION
        )
        return used < fraction * self.quota

    def reserve(self, unreported: float) -> float:
        """Return what must be reserved for unreported admissions of others."""
        return max(0, unreported - _UNREPORTED_FRACTION * self.max_overshoot)

    def remaining(self, known: float) -> float:
        """Return what all instances together may still admit."""
        limit = self.ceiling if self.fleet.heard_fraction >= 1 else self.allowed
        if self.fleet.is_full_mesh:
            return limit - known
        # Hubs do not report lower use.
        return limit - max(known, self.high_threshold)
