"""Policies that decide which parts of prompts crash upstreams.

`PartSuspects` is the one in use; the others are what it is compared with. All
times are seconds of the virtual clock.
"""

from __future__ import annotations

import collections
import itertools
import types
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from tallyhall_core.part_suspects import PartSuspects
from tallyhall_core.part_verdicts import (
    PartEnds,
    PartStatus,
    PartVerdict,
    QuarantinedPart,
)

_FREE = PartStatus(PartVerdict.free)
_TRIAL = PartStatus(PartVerdict.trial)
# A refusal lasts longer than a play.
_REFUSED_S = 30.0
_QUARANTINED = PartStatus(PartVerdict.quarantined, _REFUSED_S)
# Terminations after which a part is refused.
_REFUSED_ENDS = 3


class PartPolicy(Protocol):
    """What the emulator asks of a policy; see `PartSuspects`."""

    def known_ends(self, part: str) -> int:
        """Return how many terminations were ever counted for a part."""

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Charge parts with a termination."""

    def record_answered(
        self, sent: Collection[PartEnds], answer_s: float, now: float
    ) -> tuple[PartEnds, ...]:
        """Record an answer to a request with these parts."""

    def status(self, part: str, now: float) -> PartStatus:
        """Return whether a request with a part may run."""

    def judge(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Quarantine the parts that must be the cause."""


class NoPolicy:
    """Lets every request run."""

    def known_ends(self, part: str) -> int:
        """Return that nothing is known."""
        return 0

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Ignore a termination."""
        return ()

    def record_answered(
        self, sent: Collection[PartEnds], answer_s: float, now: float
    ) -> tuple[PartEnds, ...]:
        """Ignore an answer."""
        return ()

    def status(self, part: str, now: float) -> PartStatus:
        """Return that a request may run."""
        return _FREE

    def judge(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Return no verdicts."""
        return ()


class Counts(NoPolicy):
    """Refuses parts with three terminations since their last answer."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._counts: collections.Counter[str] = collections.Counter()

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Count a termination for each part."""
        self._counts.update({one.part for one in charged})
        return ()

    def record_answered(
        self, sent: Collection[PartEnds], answer_s: float, now: float
    ) -> tuple[PartEnds, ...]:
        """Clear the parts of an answered request."""
        for one in sent:
            self._counts.pop(one.part, None)
        return ()

    def status(self, part: str, now: float) -> PartStatus:
        """Refuse parts with enough terminations."""
        if self._counts[part] >= _REFUSED_ENDS:
            return _QUARANTINED
        return _FREE


class Intersection(Counts):
    """Refuses the parts that were at each of the last three terminations."""

    def __init__(self) -> None:
        """Start without terminations."""
        super().__init__()
        self._ends: collections.deque[frozenset[str]] = collections.deque(
            maxlen=_REFUSED_ENDS
        )

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Intersect the parts with those of the last terminations."""
        self._ends.append(frozenset(one.part for one in charged))
        if len(self._ends) == _REFUSED_ENDS:
            for part in frozenset.intersection(*self._ends):
                self._counts[part] = _REFUSED_ENDS
        return ()


class Trials(Counts):
    """Runs each part as a trial from its first termination on."""

    def status(self, part: str, now: float) -> PartStatus:
        """Return a trial for parts with a termination."""
        verdict = super().status(part, now)
        if verdict is _FREE and self._counts[part]:
            return _TRIAL
        return verdict


class GroupTests(Counts):
    """Lets half of the parts of a termination run, the others only as trials.

    An upstream that terminates halves the group that ran; one answer clears a
    part.
    """

    def __init__(self) -> None:
        """Start with all parts cleared."""
        super().__init__()
        self._held: set[str] = set()

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Hold every second part."""
        super().record_termination(upstream, charged, now)
        parts = sorted({one.part for one in charged})
        self._held.update(itertools.islice(parts, len(self._held) % 2, None, 2))
        return ()

    def record_answered(
        self, sent: Collection[PartEnds], answer_s: float, now: float
    ) -> tuple[PartEnds, ...]:
        """Clear the parts of an answered request."""
        self._held.difference_update(one.part for one in sent)
        return super().record_answered(sent, answer_s, now)

    def status(self, part: str, now: float) -> PartStatus:
        """Return a trial for the parts that are held."""
        verdict = super().status(part, now)
        if verdict is _FREE and part in self._held:
            return _TRIAL
        return verdict


POLICIES: Mapping[str, Callable[[], PartPolicy]] = types.MappingProxyType(
    {
        'none': NoPolicy,
        'counts': Counts,
        'intersection': Intersection,
        'trials': Trials,
        'groups': GroupTests,
        'suspects': PartSuspects,
    },
)
