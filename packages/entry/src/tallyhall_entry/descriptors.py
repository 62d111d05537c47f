"""Divides the file descriptors of an instance among its listeners."""

from __future__ import annotations

import enum

import msgspec

# Fractions of all descriptors for the connections of each listener. Those of
# tunnels are in paths.py. Running requests need the others for their upstreams,
# and files, streams to peers and the store need 200.
_FRONT_SHARE = 0.6
_LOCATE_SHARE = 0.08
_CALL_SHARE = 0.01
_PEER_SHARE = 0.12
# Minimum connections of a listener, whatever the descriptors.
_MIN_CONNECTIONS = 8


class Listener(enum.StrEnum):
    """A listener of an instance; labels of metrics and logs."""

    front = 'front'
    locate = 'locate'
    ready = 'ready'
    metrics = 'metrics'


class DescriptorShares(msgspec.Struct, frozen=True):
    """Maximum numbers of connections, by listener."""

    front: int
    locate: int
    ready: int
    metrics: int
    peer: int

    @classmethod
    def of(cls, descriptors: int) -> DescriptorShares:
        """Divide this many descriptors."""
        return cls(
            front=_share(descriptors, _FRONT_SHARE),
            locate=_share(descriptors, _LOCATE_SHARE),
            ready=_share(descriptors, _CALL_SHARE),
            metrics=_share(descriptors, _CALL_SHARE),
            peer=_share(descriptors, _PEER_SHARE),
        )


def _share(descriptors: int, fraction: float) -> int:
    return max(_MIN_CONNECTIONS, int(descriptors * fraction))
