"""Counts calls to the store by kind, cause and outcome.

The rate of calls of the whole fleet is limited, and each call is billed, so
their causes are measured across the fleet.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Mapping

import msgspec


@enum.unique
class CallKind(enum.Enum):
    """The operation that was called."""

    scan = 'scan'
    get = 'get'
    watch = 'watch'
    write = 'write'
    lease = 'lease'
    renewal = 'renewal'
    end = 'end'


@enum.unique
class CallCause(enum.Enum):
    """Why the call was made.

    start: the first read or registration. steady: following changes and
    renewing the lease. retry: the call before failed. untold: the relays did
    not send changes in time. use: saving the use of quotas for a restart of
    the whole fleet. ends: recording upstreams that ended, and claiming
    trials. rollout: leading a roll-out.
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
    """The result of a call; only a watch can be `changed`."""

    answered = 'answered'
    changed = 'changed'
    refused = 'refused'
    limited = 'limited'
    lost = 'lost'


class StoreCall(msgspec.Struct, frozen=True):
    """The labels under which a call is counted."""

    kind: CallKind
    cause: CallCause
    outcome: CallOutcome


class CallCounts:
    """The calls of one instance since its start."""

    def __init__(self) -> None:
        """Create a counter without calls."""
        self._counts: collections.Counter[StoreCall] = collections.Counter()

    def record(self, call: StoreCall) -> None:
        """Count one call."""
        self._counts[call] += 1

    def by_label(self) -> Mapping[tuple[str, str, str], int]:
        """Return the number of calls by kind, cause and outcome."""
        return {
            (call.kind.value, call.cause.value, call.outcome.value): number
            for call, number in self._counts.items()
        }
