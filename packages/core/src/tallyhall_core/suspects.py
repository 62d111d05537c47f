"""Requests that may be the cause of the end of the upstreams they ran at.

An upstream that ends takes all that runs there along, and upstreams end for
many reasons. So the requests of one end are suspects, no more: what is served
since is cleared, and what ran at two ends runs again only as a trial, one at a
time in the whole fleet. Only what ends upstreams in its trials too is given up,
for longer each time.

A run counts as one end more than were known of its request when it was sent.
So upstreams that end all at once, as power is lost, say no more of what ran at
several of them than one would, and no clock has to tell them from others.

Requests are known by a digest of what they ask. Times are seconds of the day's
clock since 1970, as instances share no other. Nothing here does I/O.
"""

from __future__ import annotations

import enum
import types
from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec

# What is known of an end is kept this long, in seconds: an upstream that has
# been repaired meanwhile is tried again.
KEPT_S = 600.0
# From so many ends on a request runs as a trial only.
_TRIED_ENDS = 2
# How long after the last end the next trial may be, in seconds, by the number
# of ends: a usual request that was there by chance is served by the second or
# third trial. With more ends it waits until they are forgotten.
_TRIAL_AFTER_S: Mapping[int, float] = types.MappingProxyType(
    {2: 0, 3: 5, 4: 60},
)
# Requests that are kept; each upstream that ends brings as many as it ran.
_MOST_KEPT = 2000
_DROPPED_PART = 4
# More ends than a request has before it is given up; a number above it is none.
_MOST_ENDS = 1_000_000


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended with its upstream.

    ends: at how many ends its request was, with this one.
    """

    content: str
    ends: Annotated[int, msgspec.Meta(ge=1, le=_MOST_ENDS)]


class UpstreamEnd(msgspec.Struct, frozen=True, array_like=True):
    """An upstream ended while it ran these."""

    upstream: str
    at_s: float
    runs: tuple[EndedRun, ...]


class Cleared(msgspec.Struct, frozen=True, array_like=True):
    """A suspect was served."""

    content: str
    at_s: float


@enum.unique
class Verdict(enum.Enum):
    """Whether a request may run.

    free: as any other. trial: if no other like it runs anywhere. given_up: not
    now.
    """

    free = 'free'
    trial = 'trial'
    given_up = 'given_up'


class Standing(msgspec.Struct, frozen=True):
    """What is known of a request: how many ends it was at, and what follows.

    wait_s: until it may run as a trial.
    """

    ends: int
    verdict: Verdict
    wait_s: float = 0


_FREE = Standing(0, Verdict.free)


class _Seen(msgspec.Struct, frozen=True):
    at_s: float
    ends: int


class _Record(msgspec.Struct):
    """What is known of one request, by the upstreams that ended under it."""

    by_upstream: dict[str, _Seen]
    cleared_at: float

    @property
    def ends(self) -> int:
        """Return at how many ends it was since it was served last."""
        return max((seen.ends for seen in self._uncleared()), default=0)

    @property
    def newest_at(self) -> float:
        """Return when it was at an end last."""
        times = (seen.at_s for seen in self._uncleared())
        return max(times, default=self.cleared_at)

    def take(self, upstream: str, seen: _Seen) -> bool:
        """Take an end, also of several runs; return whether it is news."""
        known = self.by_upstream.get(upstream, seen)
        merged = _Seen(max(known.at_s, seen.at_s), max(known.ends, seen.ends))
        if self.by_upstream.get(upstream) == merged:
            return False
        self.by_upstream[upstream] = merged
        return True

    def forget(self, before: float) -> None:
        """Drop what happened by then."""
        for upstream, seen in tuple(self.by_upstream.items()):
            if seen.at_s <= before:
                self.by_upstream.pop(upstream)

    def _uncleared(self) -> Iterator[_Seen]:
        for seen in self.by_upstream.values():
            if seen.at_s > self.cleared_at:
                yield seen


class Suspects:
    """All requests that were at the end of an upstream lately."""

    def __init__(self) -> None:
        """Start with none."""
        self._records: dict[str, _Record] = {}

    def take_end(self, end: UpstreamEnd, now: float) -> bool:
        """Take an end, maybe once more; return whether it is news."""
        # A clock that is ahead must not keep it for longer.
        at_s = min(end.at_s, now)
        if at_s <= now - KEPT_S:
            return False
        is_news = False
        for run in end.runs:
            record = self._record(run.content, now)
            if record.take(end.upstream, _Seen(at_s, run.ends)):
                is_news = True
        return is_news

    def served(self, content: str, now: float) -> Cleared | None:
        """Take that a request was served here; return what to tell of it.

        None where it was no suspect. The clocks of those that told of its ends
        may be ahead of this one.
        """
        record = self._records.get(content)
        if record is None or not record.ends:
            return None
        cleared = Cleared(content, max(now, record.newest_at))
        record.cleared_at = cleared.at_s
        return cleared

    def take_cleared(self, cleared: Cleared, now: float) -> bool:
        """Take that a request was served; return whether it is news."""
        at_s = min(cleared.at_s, now)
        if at_s <= now - KEPT_S:
            return False
        record = self._record(cleared.content, now)
        if at_s <= record.cleared_at:
            return False
        record.cleared_at = at_s
        return True

    def standing(self, content: str, now: float) -> Standing:
        """Return what is known of a request."""
        record = self._records.get(content)
        if record is None:
            return _FREE
        record.forget(now - KEPT_S)
        ends = record.ends
        if ends < _TRIED_ENDS:
            return Standing(ends, Verdict.free)
        trial_at = record.newest_at + _TRIAL_AFTER_S.get(ends, KEPT_S)
        if now < trial_at:
            return Standing(ends, Verdict.given_up, trial_at - now)
        return Standing(ends, Verdict.trial)

    def _record(self, content: str, now: float) -> _Record:
        record = self._records.get(content)
        if record is None:
            if len(self._records) >= _MOST_KEPT:
                self._make_room(now)
            record = _Record({}, float('-inf'))
            self._records[content] = record
        return record

    def _make_room(self, now: float) -> None:
        """Drop a quarter, least suspect and oldest first.

        A caller that asks something else each time must not push out those
        that end upstreams again and again.
        """
        for known in self._records.values():
            known.forget(now - KEPT_S)
        ranked = sorted(self._records.items(), key=_suspicion)
        self._records = dict(ranked[len(ranked) // _DROPPED_PART :])


def _suspicion(row: tuple[str, _Record]) -> tuple[int, float]:
    return row[1].ends, row[1].newest_at
