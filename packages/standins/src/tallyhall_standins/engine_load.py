"""Load of an upstream stand-in on a shared machine, and what it reports.

Work on the machine is slowed for a while by other workloads. The stand-in
reports its load in a header of each response, rightly or not.
"""

from __future__ import annotations

import asyncio
import enum
import random
import types
from collections.abc import Mapping

HEADER = 'X-Tallyhall-Server-Load'
_PERCENT = 100


@enum.unique
class LoadFault(enum.Enum):
    """How the header deviates from the load."""

    none = 'none'
    missing = 'missing'
    no_slowdown = 'no_slowdown'
    frozen = 'frozen'
    garbled = 'garbled'
    out_of_range = 'out_of_range'
    understated = 'understated'
    overstated = 'overstated'
    busy = 'busy'


# Header values that do not depend on the load.
_FIXED: Mapping[LoadFault, str] = types.MappingProxyType(
    {
        LoadFault.garbled: '1,,x,2e400,-,\xb2',
        LoadFault.out_of_range: '-1,0,4,99999999999999999999999',
        # The most and the least attractive values in the valid range.
        LoadFault.understated: '0,0,10000,20',
        LoadFault.overstated: '0,0,4,2000',
        LoadFault.busy: '10000,10000,4,100',
    }
)


class SlowPhases:
    """Alternates between usual speed and slowed phases of random length."""

    def __init__(
        self,
        rng: random.Random,
        share: float,
        slowed_s: float,
        slowdown: float = 2.5,
    ) -> None:
        """Be slowed during this share of the time.

        slowed_s: mean length of a slowed phase; lengths vary by half. slowdown:
        how many times as long work takes in it.
        """
        self._rng = rng
        self._slowdown = slowdown
        # Mean lengths of the usual and of the slowed phases.
        self._mean_s = (slowed_s * (1 - share) / share, slowed_s)
        self._is_slowed = rng.random() < share
        self._ends_at: float | None = None

    def at(self, now: float) -> float:
        """Return the slowdown at a time; times must not decrease."""
        if self._ends_at is None:
            self._ends_at = (
                now + self._rng.random() * self._mean_s[self._is_slowed]
            )
        while now >= self._ends_at:
            self._is_slowed = not self._is_slowed
            mean_s = self._mean_s[self._is_slowed]
            self._ends_at += self._rng.uniform(0.5, 1.5) * mean_s
        return self._slowdown if self._is_slowed else 1


class EngineLoad:
    """The slowdown of one stand-in and its load header."""

    def __init__(
        self, slots: int = 0, phases: SlowPhases | None = None
    ) -> None:
        """Report this number of slots; report nothing without slots."""
        self.fault = LoadFault.none
        self._slots = slots
        self._phases = phases
        self._last = f'0,0,{slots},{_PERCENT}'

    @property
    def slowdown(self) -> float:
        """Return how many times as long as usual work takes now."""
        if self._phases is None:
            return 1
        return self._phases.at(asyncio.get_running_loop().time())

    def header_lines(self, running: int) -> tuple[str, ...]:
        """Return the header line of a response, if there is one."""
        if not self._slots or self.fault is LoadFault.missing:
            return ()
        text = _FIXED.get(self.fault) or self._report(running)
        return (f'{HEADER}: {text}',)

    def _report(self, running: int) -> str:
        if self.fault is LoadFault.frozen:
            return self._last
        waiting = max(0, running - self._slots)
        counts = f'{running - waiting},{waiting},{self._slots}'
        if self.fault is LoadFault.no_slowdown:
            return counts
        self._last = f'{counts},{round(self.slowdown * _PERCENT)}'
        return self._last
