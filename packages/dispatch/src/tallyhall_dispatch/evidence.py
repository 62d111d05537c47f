"""What answers show of a version on trial, against those of the others.

A bad version fails a part of its answers or takes several times as long for
them: from the start or later, under load or on one route only. So it is judged
by route and as a whole, by a sum that grows with each bad answer and falls with
each good one but not below zero (CUSUM): what was good for long does not cover
what is bad now. What is bad is held against the other upstreams over the same
seconds, so that a trouble of all condemns nobody.

Upstreams differ in speed by a factor of five, so an answer is slow against the
usual one of its own upstream. A version all of whose answers are slow has no
usual one to show it; it is slow where its upstreams together are far behind the
others together.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Collection, Mapping

import msgspec

from .engines import FIRST_FIXED_S, FIRST_TOKEN_S
from .jobs import BROKEN_OFF, Ending, Job, RunReport
from .windows import SlidingSum

# The others' answers are counted over this long, in seconds.
_COMPARED_S = 4.0
# Nothing is judged before the others have been seen for so long, in seconds.
_FIRST_S = 1.0
# A part of bad answers is taken for at least this, and as if so many more had
# been seen with it.
_LEAST_BAD = 0.02
_ASSUMED = 20
# A bad version has so much larger a part of bad answers, at least, or so many
# times the others'.
_MORE_BAD = 0.15
_TIMES_BAD = 2.0
_MOST_BAD = 0.95
# The sum from which on a version is bad: as much more likely so as e to this.
_CONDEMNED = 7.0
# An answer is slow that takes so many times its upstream's usual time.
_SLOW = 3.0
# Times of an upstream that are kept for each route, and from how many on the
# usual one is known.
_KEPT = 20
_KNOWN = 5
# Upstreams of a version from which on it is compared as a whole, and how many
# times slower a bad one is.
_COMPARED = 3
_ALL_SLOW = 2.5
# Events from which on the pace of a stream tells more than its start.
_PACED_EVENTS = 3
# Ends of several runs at one upstream within this time are one end, in seconds.
_ONE_END_S = 0.5
_LEAST_S = 0.001
_WHOLE = ''
# Endings that say something of the upstream.
_TELLING = BROKEN_OFF | {Ending.failed, Ending.answered}


class Tally(msgspec.Struct):
    """Answers of the version on trial on one route, and the sum over them."""

    answers: int = 0
    bad: int = 0
    score: float = 0


class Evidence:
    """Answers of one service since a roll-out began."""

    def __init__(self, known: Mapping[str, Tally] | None = None) -> None:
        """Start from what another leader of the roll-out has seen."""
        # By route; the empty one is all of them together.
        self.tallies: dict[str, Tally] = {}
        # What showed that the version is bad, None as long as nothing did.
        self.condemned_by: str | None = None
        self._others: dict[str, _Compared] = collections.defaultdict(_Compared)
        self._times: dict[tuple[str, bool], _Times] = collections.defaultdict(
            _Times,
        )
        self._cut_at: dict[str, float] = {}
        self._began_at = float('inf')
        self.add(known or {})

    @property
    def answers(self) -> int:
        """Return how many answers of the version on trial were seen."""
        return self.tallies.get(_WHOLE, Tally()).answers

    @property
    def bad(self) -> int:
        """Return how many of them were bad."""
        return self.tallies.get(_WHOLE, Tally()).bad

    def add(self, known: Mapping[str, Tally]) -> None:
        """Take what another leader has seen; the worse one counts."""
        for route, other in known.items():
            tally = self.tallies.setdefault(route, Tally())
            tally.answers = max(tally.answers, other.answers)
            tally.bad = max(tally.bad, other.bad)
            tally.score = max(tally.score, other.score)
            self._judge(route, tally)

    def copied(self) -> Mapping[str, Tally]:
        """Return the tallies as they stand."""
        return {
            route: msgspec.structs.replace(tally)
            for route, tally in self.tallies.items()
        }

    def look(self) -> None:
        """Look whether the version is slow as a whole."""
        for route, is_canary in tuple(self._times):
            if is_canary and self._is_slow_as_a_whole(route):
                self.condemned_by = self.condemned_by or f'pace of {route}'

    def note(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        now: float,
        *,
        canary: bool,
    ) -> None:
        """Take how a run ended; what says nothing of the upstream is none."""
        if report.ending not in _TELLING:
            return
        if report.ending in BROKEN_OFF and self._is_same_end(upstream, now):
            return
        bad = report.ending is not Ending.answered
        if not bad:
            bad = self._is_slow(job, upstream, report, canary=canary)
        self._began_at = min(self._began_at, now)
        for route in (job.route, _WHOLE):
            if canary:
                self._take(route, now, bad=bad)
            else:
                self._others[route].note(now, bad=bad)

    # -- inner steps

    def _is_slow(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        *,
        canary: bool,
    ) -> bool:
        """Return whether an answer is slow for its upstream, and keep it.

        One that is not known yet is held against the slowest of the others.
        """
        times = self._times[job.route, canary]
        time_s = _time_s(job, report)
        usual = times.usual_of(upstream)
        if usual is None:
            others = self._times[job.route, False].usual()
            usual = max(others, default=None)
        times.add(upstream, time_s)
        return usual is not None and time_s > _SLOW * usual

    def _is_same_end(self, upstream: str, now: float) -> bool:
        """Return whether an upstream ended just now under another run."""
        last_at = self._cut_at.get(upstream, float('-inf'))
        self._cut_at[upstream] = now
        return now - last_at < _ONE_END_S

    def _take(self, route: str, now: float, *, bad: bool) -> None:
        usual = self._others[route].bad_part(now)
        worse = min(_MOST_BAD, max(usual + _MORE_BAD, _TIMES_BAD * usual))
        tally = self.tallies.setdefault(route, Tally())
        tally.answers += 1
        tally.bad += bad
        if worse <= usual or now - self._began_at < _FIRST_S:
            return
        likelier = worse / usual if bad else (1 - worse) / (1 - usual)
        tally.score = max(0, tally.score + math.log(likelier))
        self._judge(route, tally)

    def _judge(self, route: str, tally: Tally) -> None:
        if tally.score >= _CONDEMNED and self.condemned_by is None:
            self.condemned_by = f'answers of {route or "all routes"}'

    def _is_slow_as_a_whole(self, route: str) -> bool:
        ours = self._times[route, True].usual()
        others = self._times[route, False].usual()
        if len(ours) < _COMPARED or len(others) < _COMPARED:
            return False
        slower = statistics.geometric_mean(ours)
        return slower > _ALL_SLOW * statistics.geometric_mean(others)


class _Compared:
    """How many answers of the others there were lately, and bad ones."""

    def __init__(self) -> None:
        self._answers = SlidingSum(_COMPARED_S)
        self._bad = SlidingSum(_COMPARED_S)

    def note(self, now: float, *, bad: bool) -> None:
        self._answers.add(1, now)
        if bad:
            self._bad.add(1, now)

    def bad_part(self, now: float) -> float:
        answers = self._answers.total(now) + _ASSUMED
        bad = self._bad.total(now) + _ASSUMED * _LEAST_BAD
        return max(_LEAST_BAD, bad / answers)


class _Times:
    """Times of the answers on one route, by upstream."""

    def __init__(self) -> None:
        self._kept: dict[str, collections.deque[float]] = {}

    def add(self, upstream: str, time_s: float) -> None:
        """Keep a time."""
        times = self._kept.setdefault(upstream, collections.deque([], _KEPT))
        times.append(time_s)

    def usual_of(self, upstream: str) -> float | None:
        """Return the usual time of an upstream, None if it is not known."""
        times = self._kept.get(upstream, ())
        return _usual(times) if len(times) >= _KNOWN else None

    def usual(self) -> list[float]:
        """Return the usual time of each upstream that is known."""
        found = map(self.usual_of, self._kept)
        return [usual for usual in found if usual is not None]


def _usual(times: Collection[float]) -> float:
    # A part of the answers may be slow; what the quicker ones take is usual.
    return sorted(times)[len(times) // 4]


def _time_s(job: Job, report: RunReport) -> float:
    """Return the time of an answer for what was to be done."""
    if report.events >= _PACED_EVENTS:
        return max(report.stream_s, _LEAST_S) / (report.events - 1)
    work_s = FIRST_FIXED_S + job.prompt_tokens * FIRST_TOKEN_S
    return max(report.first_s or report.total_s, _LEAST_S) / work_s
