"""Which instances keep streams to which.

Up to a few instances, each hears all others. With more, that would grow
with the square: at 87 instances 7,500 streams and, at a beat a second, 0.03
of a core on each instance for nothing but beats (0.34 ms for a beat sent
and received, measured over loopback). Then a few of them are hubs: the first
that answer, largest machines first and then in rendezvous order. Everyone
keeps a stream to each hub and each hub one back, and the hubs own the
services. Instances that stop are hubs only where too few others are left:
they still tell and hear what is admitted, and own nothing. Nothing is agreed
on: two instances that hold different hubs for a while cost some order in the
queue and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from tallyhall_membership.rendezvous import rank

# Instances up to which each hears all others: 16 make 240 streams and 100
# beats a second in each direction, under 2% of a core.
_MOST_IN_MESH = 16
# Time between two batches without content, in seconds, to up to this many
# peers; with more it grows in proportion, so that an instance's beats stay
# below 80 a second in each direction, and up to the longest: what is believed
# of others is at most two beats old, whatever the fleet. At 410 instances a
# hub then sends and receives 340 a second, 0.12 of a core.
_BEAT_S = 0.15
_FULL_RATE_PEERS = 12
LONGEST_BEAT_S = 1.2
# Hubs of a larger fleet: two may be lost at the same moment, and services
# with model engines have an owner each.
_HUBS = 4
_KEY = 'hub'
_NOBODY: frozenset[str] = frozenset()


class Chosen(msgspec.Struct, frozen=True):
    """Whom an instance deals with.

    hubs: instances that hear all. owners: of them, those that may own
    services. linked: those to talk to.
    """

    hubs: frozenset[str]
    owners: frozenset[str]
    linked: frozenset[str]


def is_mesh(instances: int) -> bool:
    """Return whether each of so many instances hears all others."""
    return instances <= _MOST_IN_MESH


def beat_s(peers: int) -> float:
    """Return the time between two beats to so many peers, in seconds."""
    return _BEAT_S * min(
        max(1, peers / _FULL_RATE_PEERS),
        LONGEST_BEAT_S / _BEAT_S,
    )


class Topology:
    """The hubs and links of one instance."""

    def __init__(self, name: str) -> None:
        """Start alone."""
        self._name = name
        self._sorted = (_NOBODY, _NOBODY)
        self._order: list[str] = []

    def choose(
        self,
        registered: frozenset[str],
        silent: frozenset[str],
        heard: frozenset[str],
        cores: Callable[[str], float],
        retiring: frozenset[str] = _NOBODY,
    ) -> Chosen:
        """Choose among the registered instances.

        silent: those that do not answer. heard: those that sent something
        lately; they need answers. cores: what processor time an instance
        has. retiring: those that are not offered to callers any more.
        """
        others = registered - {self._name}
        if is_mesh(len(registered)):
            answering = registered - silent
            return Chosen(answering, answering - retiring, others)
        if self._sorted != (registered, retiring):
            self._sorted = (registered, retiring)
            self._order = sorted(
                rank(_KEY, registered),
                key=lambda name: (name in retiring, -cores(name)),
            )
        linked = set(heard & others)
        hubs: set[str] = set()
        for name in self._order:
            linked.add(name)
            if name in silent:
                continue
            hubs.add(name)
            if len(hubs) == _HUBS:
                break
        return Chosen(
            frozenset(hubs),
            frozenset(hubs - retiring),
            frozenset(linked - {self._name}),
        )
