"""Good and bad versions of an upstream, by how they spoil their answers."""

from __future__ import annotations

import random
import types
from collections.abc import Callable, Mapping
from typing import Protocol

from tallyhall_standins.platform_engine import EngineFault

# What of its answers a bad version spoils.
_BAD_PART = 0.3
# From when on a late one does, in seconds after the order.
_LATE_S = 7.0
# Requests beside which one does that fails under load.
_LOADED = 3


class Moment(Protocol):
    """When a request arrives, and what is drawn then."""

    rng: random.Random

    @property
    def since_order_s(self) -> float:
        """Return the seconds since the order."""


Draw = Callable[[Moment, str, int], EngineFault]


def _drawn(moment: Moment, fault: EngineFault) -> EngineFault:
    spoilt = moment.rng.random() < _BAD_PART
    return fault if spoilt else EngineFault.none


def _good(moment: Moment, target: str, running: int) -> EngineFault:
    return EngineFault.none


def _failing(moment: Moment, target: str, running: int) -> EngineFault:
    return _drawn(moment, EngineFault.fails)


def _late(moment: Moment, target: str, running: int) -> EngineFault:
    if moment.since_order_s < _LATE_S:
        return EngineFault.none
    return _drawn(moment, EngineFault.fails)


def _loaded(moment: Moment, target: str, running: int) -> EngineFault:
    if running < _LOADED:
        return EngineFault.none
    return _drawn(moment, EngineFault.fails)


def _one_route(moment: Moment, target: str, running: int) -> EngineFault:
    if not target.startswith('/note/'):
        return EngineFault.none
    return _drawn(moment, EngineFault.fails)


def _slow(moment: Moment, target: str, running: int) -> EngineFault:
    return _drawn(moment, EngineFault.slow)


VERSIONS: Mapping[str, Draw] = types.MappingProxyType(
    {
        'good': _good,
        'failing': _failing,
        'late': _late,
        'loaded': _loaded,
        'one-route': _one_route,
        'slow': _slow,
    },
)
KINDS = tuple(VERSIONS)
