"""Everything an entry instance is told when it starts, in one typed object."""

from __future__ import annotations

import msgspec


class Listening(msgspec.Struct, frozen=True):
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return HOST:PORT."""
        return f'{self.host}:{self.port}'


class StoreOptions(msgspec.Struct, frozen=True):
    """Where the store is and how entries live in it.

    least_lease_s: shortest lease. heartbeat_s: how often, about, an upstream
    writes its entry; one that is silent for three times as long lapses.
    """

    address: Listening
    least_lease_s: float
    heartbeat_s: float


class Bounds(msgspec.Struct, frozen=True):
    """Times and shares that the operators promise to callers.

    revoke_s: longest time that a revoked key may work. grace_s: time between
    the signal to stop and the end by force. contact_s: how long after its
    way to the store is whole again an instance must know what changed.
    change_s: how long a change may take to be in force everywhere.
    exposed_share, exposed_allowance: the most requests that a bad version
    may get, as a part of all and beside it.
    """

    revoke_s: float
    grace_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float
    contact_s: float
    change_s: float
    exposed_share: float = 0.1
    exposed_allowance: float = 50


class Options(msgspec.Struct, frozen=True):
    """One instance's settings."""

    instance: str
    zone: str
    region: str
    front: Listening
    ready: Listening
    locate: Listening
    peer: Listening
    metrics: Listening
    store: StoreOptions
    bounds: Bounds
    descriptors: int
    # Processor time in a second of a usual core.
    cores: float
