"""How often the store was called, by kind, cause and outcome.

All instances together may make so many calls a second, and each is paid for.
What makes them shows only in numbers of the whole fleet.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Mapping

import msgspec


@enum.unique
class CallKind(enum.Enum):
    """What was asked of the store."""

    scan = 'scan'
    get = 'get'
    watch = 'watch'
    write = 'write'
    lease = 'lease'
    renewal = 'renewal'
    end = 'end'


@enum.unique
class CallCause(enum.Enum):
    """Why it was asked.

    start: to get a first state or entry. steady: to keep up. retry: the call
    before failed. untold: no other instance told what changed. use: to keep
    the use of quotas over a restart of all. ends: to keep what ends upstreams
    and to try it. rollout: to lead a roll-out.
    """

    start = 'start'
    steady = 'steady'
    retry = 'retry'
    untold = 'untold'
    use = 'use'
    ends = 'ends'
    rollout = 'rollout'


@enum.unique
class CallOutcome(enum.Enum):
    """What came of it; a watch is also answered without a change."""

    answered = 'answered'
    changed = 'changed'
    refused = 'refused'
    limited = 'limited'
    lost = 'lost'


class Call(msgspec.Struct, frozen=True):
    """What tells calls apart."""

    kind: CallKind
    cause: CallCause
    outcome: CallOutcome


class CallCounts:
    """The calls of one instance since its start."""

    def __init__(self) -> None:
        """Start with none."""
        self._counts: collections.Counter[Call] = collections.Counter()

    def note(self, call: Call) -> None:
        """Count one call."""
        self._counts[call] += 1

    def by_labels(self) -> Mapping[tuple[str, str, str], int]:
        """Return how many there were, by kind, cause and outcome."""
        return {
            (call.kind.value, call.cause.value, call.outcome.value): number
            for call, number in self._counts.items()
        }
