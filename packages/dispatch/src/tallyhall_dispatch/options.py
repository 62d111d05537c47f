"""Typed startup options of an entry instance."""

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
    """Address of the store and lease times of entries in it.

    least_lease_s: minimum lease time. heartbeat_s: approximate interval at
    which an upstream writes its entry; the entry expires after three of them.
    """

    address: Listening
    least_lease_s: float
    heartbeat_s: float


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the operators guarantee to callers.

    revoke_s: maximum time for which a revoked key is still accepted. grace_s:
    time between the stop signal and the forced kill. contact_s: time within
    which an instance must know all changes after its connection to the store
    is restored. change_s: time within which a change must be in effect on all
    instances. exposed_share, exposed_allowance: a bad version may get at most
    this fraction of all requests plus this number of requests.
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
    """Options of one instance.

    peer: address at which other instances connect, and send datagrams. tunnel:
    address at which other instances ask for tunnels to upstreams. has_rollouts:
    whether operators order rollouts of versions.
    """

    instance: str
    zone: str
    region: str
    front: Listening
    ready: Listening
    locate: Listening
    peer: Listening
    metrics: Listening
    tunnel: Listening
    store: StoreOptions
    bounds: Bounds
    descriptors: int
    # Available CPU time in seconds per second, on a typical core.
    cores: float
    # Memory limit of the process; 0 if it is unknown.
    memory_bytes: int = 0
    has_rollouts: bool = False
    # Whether callers and upstreams may read slowly for long.
    has_slow_peers: bool = True
