"""Quarantine of requests suspected of terminating upstreams.

When an upstream terminates, all its running requests fail, and upstreams
terminate for many reasons. Requests that ran on one terminated upstream are
therefore only suspects. A suspect that is later served is cleared. One that was
running at two terminations is repeated only as a trial, one at a time in the
whole fleet. Only if upstreams terminate during its trials as well is a request
quarantined, for longer after each termination.

A termination counts as one more than were known for the request when it was
sent. So upstreams that terminate together, for example in a power failure,
count as one for a request that ran on several of them, without comparing
clocks.

Requests are identified by a digest of their content. Times are wall clock
seconds since 1970, the only clock that instances share. Nothing in this module
does I/O.
"""

from __future__ import annotations

import enum
import types
from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec

from .part_verdicts import PartEnds

# Seconds after which a termination is forgotten, so that the request is tried
# again in case the upstreams were repaired meanwhile.
KEPT_S = 600.0
# Number of terminations from which on a request runs only as a trial.
_TRIAL_THRESHOLD = 2
# Seconds from the last termination to the next trial, by the number of
# terminations. A harmless request that was running by coincidence is served by
# the second or third trial. With more terminations than listed here, a request
# is quarantined until they are forgotten.
_TRIAL_DELAY_S: Mapping[int, float] = types.MappingProxyType(
    {2: 0, 3: 5, 4: 60},
)
# Maximum number of requests to remember; each terminated upstream adds as many
# as it was running.
_MAX_RECORDS = 2000
# One in this many records is evicted when the maximum is reached.
_EVICTION_DIVISOR = 4
# Counts above this are rejected as invalid: it is more than any request reaches
# before it is quarantined.
_MAX_ENDS = 1_000_000


class InterruptedRun(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when its upstream terminated.

    ends: the number of terminations counted for it, including this one. parts:
    the same for the parts of its prompt, empty if its answer had gone on for
    too long for these to be the cause.
    """

    content: str
    ends: Annotated[int, msgspec.Meta(ge=1, le=_MAX_ENDS)]
    parts: tuple[PartEnds, ...] = ()


class UpstreamTermination(msgspec.Struct, frozen=True, array_like=True):
    """An upstream terminated while running these requests."""

    upstream: str
    at_s: float
    runs: tuple[InterruptedRun, ...]


class Cleared(msgspec.Struct, frozen=True, array_like=True):
    """A suspect request was served."""

    content: str
    at_s: float


@enum.unique
class Verdict(enum.Enum):
    """Whether a request may run.

    free: without restriction. trial: only while no request with the same
    content runs anywhere. given_up: not now.
    """

    free = 'free'
    trial = 'trial'
    given_up = 'given_up'


class SuspectStatus(msgspec.Struct, frozen=True):
    """The number of terminations counted for a request, and the verdict.

    wait_s: seconds until it may run as a trial.
    """

    ends: int
    verdict: Verdict
    wait_s: float = 0


_FREE = SuspectStatus(0, Verdict.free)


class _Termination(msgspec.Struct, frozen=True):
    at_s: float
    ends: int


class _Record(msgspec.Struct):
    """The terminations counted for one request, by upstream."""

    by_upstream: dict[str, _Termination]
    cleared_at: float

    @property
    def ends(self) -> int:
        """Return the number of terminations since it was last served."""
        return max(
            (termination.ends for termination in self._since_cleared()),
            default=0,
        )

    @property
    def newest_at(self) -> float:
        """Return the time of the latest termination counted for it."""
        times = (termination.at_s for termination in self._since_cleared())
        return max(times, default=self.cleared_at)

    def take(self, upstream: str, termination: _Termination) -> bool:
        """Merge in a termination; return whether the record changed.

        Reports of several runs on the same upstream are merged.
        """
        known = self.by_upstream.get(upstream, termination)
        merged = _Termination(
            max(known.at_s, termination.at_s), max(known.ends, termination.ends)
        )
        if self.by_upstream.get(upstream) == merged:
            return False
        self.by_upstream[upstream] = merged
        return True

    def forget(self, before: float) -> None:
        """Remove the terminations up to this time."""
        for upstream, termination in tuple(self.by_upstream.items()):
            if termination.at_s <= before:
                self.by_upstream.pop(upstream)

    def _since_cleared(self) -> Iterator[_Termination]:
        for termination in self.by_upstream.values():
            if termination.at_s > self.cleared_at:
                yield termination


class Suspects:
    """All requests that were running when an upstream terminated recently."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._records: dict[str, _Record] = {}

    def record_termination(self, end: UpstreamTermination, now: float) -> bool:
        """Record a termination; return whether it changed any record.

        The same termination may be reported several times.
        """
        # A sender whose clock is ahead must not extend the quarantine.
        at_s = min(end.at_s, now)
        if at_s <= now - KEPT_S:
            return False
        has_changed = False
        for run in end.runs:
            record = self._record(run.content, now)
            if record.take(end.upstream, _Termination(at_s, run.ends)):
                has_changed = True
        return has_changed

    def record_served(self, content: str, now: float) -> Cleared | None:
        """Record that a request was served here; return what to broadcast.

        Returns None if it was no suspect. The clocks of the instances that
        reported its terminations may be ahead of the local clock, so the
        returned time is never before the latest termination.
        """
        record = self._records.get(content)
        if record is None or not record.ends:
            return None
        cleared = Cleared(content, max(now, record.newest_at))
        record.cleared_at = cleared.at_s
        return cleared

    def record_cleared(self, cleared: Cleared, now: float) -> bool:
        """Record that another instance served a request.

        Returns whether it changed the record.
        """
        at_s = min(cleared.at_s, now)
        if at_s <= now - KEPT_S:
            return False
        record = self._record(cleared.content, now)
        if at_s <= record.cleared_at:
            return False
        record.cleared_at = at_s
        return True

    def status(self, content: str, now: float) -> SuspectStatus:
        """Return whether a request may run, and why."""
        record = self._records.get(content)
        if record is None:
            return _FREE
        record.forget(now - KEPT_S)
        ends = record.ends
        if ends < _TRIAL_THRESHOLD:
            return SuspectStatus(ends, Verdict.free)
        trial_at = record.newest_at + _TRIAL_DELAY_S.get(ends, KEPT_S)
        if now < trial_at:
            return SuspectStatus(ends, Verdict.given_up, trial_at - now)
        return SuspectStatus(ends, Verdict.trial)

    def _record(self, content: str, now: float) -> _Record:
        record = self._records.get(content)
        if record is None:
            if len(self._records) >= _MAX_RECORDS:
                self._evict(now)
            record = _Record({}, float('-inf'))
            self._records[content] = record
        return record

    def _evict(self, now: float) -> None:
        """Evict a quarter of the records: fewest terminations, then oldest.

        A caller that sends different requests each time must not evict those
        that repeatedly terminate upstreams.
        """
        for known in self._records.values():
            known.forget(now - KEPT_S)
        ranked = sorted(self._records.items(), key=_eviction_order)
        self._records = dict(ranked[len(ranked) // _EVICTION_DIVISOR :])


def _eviction_order(row: tuple[str, _Record]) -> tuple[int, float]:
    return row[1].ends, row[1].newest_at
