"""Selects the peers to which an instance keeps streams.

Small fleets form a full mesh. In larger fleets a mesh would grow quadratically:
87 instances would need 7,500 streams and, at one heartbeat per second, 0.03 of
a core per instance for heartbeats alone (0.34 ms to send and receive one over
loopback). There, a few instances act as hubs: the first ones that respond,
ordered by machine size and then by rendezvous hash. Every instance keeps a
stream to each hub, each hub keeps one back, and the hubs own the services.
Stopping instances become hubs only if too few others are left: they still
exchange use reports but do not own services. The selection needs no consensus:
instances that select different hubs for a while only affect the order of the
queue.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from tallyhall_membership.rendezvous import rank

# Maximum fleet size of a full mesh: 16 instances have 240 streams and 100
# heartbeats per second in each direction, which take less than 2% of a core.
_MAX_MESH_SIZE = 16
# Heartbeat interval in seconds for up to this many peers. With more peers it
# grows in proportion, so that an instance sends and receives fewer than 80
# heartbeats per second each, up to a maximum that bounds the age of the data
# about other instances, which is at most two heartbeats. At 410 instances, a
# hub sends and receives 340 heartbeats per second, which take 0.12 of a core.
_MIN_BEAT_S = 0.15
_FULL_RATE_PEERS = 12
MAX_BEAT_S = 1.2
# Number of hubs in a large fleet: two may fail at the same time, and services
# with model engines are owned by different hubs.
_HUB_COUNT = 4
_RANK_KEY = 'hub'
_NO_INSTANCES: frozenset[str] = frozenset()


class PeerSelection(msgspec.Struct, frozen=True):
    """The peers selected by an instance.

    hubs: instances that hear all others. owners: hubs that may own services.
    peers: instances to keep a stream to.
    """

    hubs: frozenset[str]
    owners: frozenset[str]
    peers: frozenset[str]


def is_full_mesh(instances: int) -> bool:
    """Return whether a fleet of this size forms a full mesh."""
    return instances <= _MAX_MESH_SIZE


def heartbeat_s(peers: int) -> float:
    """Return the heartbeat interval for this many peers, in seconds."""
    return _MIN_BEAT_S * min(
        max(1, peers / _FULL_RATE_PEERS),
        MAX_BEAT_S / _MIN_BEAT_S,
    )


class Topology:
    """Peer selection of one instance."""

    def __init__(self, name: str) -> None:
        """Start without other instances."""
        self._name = name
        self._ranked_for = (_NO_INSTANCES, _NO_INSTANCES)
        self._ranking: list[str] = []

    def choose(
        self,
        registered: frozenset[str],
        silent: frozenset[str],
        heard: frozenset[str],
        cores: Callable[[str], float],
        retiring: frozenset[str] = _NO_INSTANCES,
    ) -> PeerSelection:
        """Select hubs and peers among the registered instances.

        silent: instances that do not respond. heard: instances that sent a
        message recently and therefore need a stream back. cores: returns the
        CPU capacity of an instance. retiring: instances that are no longer
        offered to callers.
        """
        others = registered - {self._name}
        if is_full_mesh(len(registered)):
            answering = registered - silent
            return PeerSelection(answering, answering - retiring, others)
        if self._ranked_for != (registered, retiring):
            self._ranked_for = (registered, retiring)
            self._ranking = sorted(
                rank(_RANK_KEY, registered),
                key=lambda name: (name in retiring, -cores(name)),
            )
        linked = set(heard & others)
        hubs: set[str] = set()
        for name in self._ranking:
            linked.add(name)
            if name in silent:
                continue
            hubs.add(name)
            if len(hubs) == _HUB_COUNT:
                break
        return PeerSelection(
            frozenset(hubs),
            frozenset(hubs - retiring),
            frozenset(linked - {self._name}),
        )
