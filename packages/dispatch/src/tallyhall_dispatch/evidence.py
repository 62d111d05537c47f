"""Detects a bad canary version by comparing its responses with the baseline.

A bad version fails some of its responses or takes several times as long for
them, from the start or later, under load or on a single route. It is therefore
tested for each route and overall with a CUSUM statistic, a sum of
log-likelihood ratios that grows with each bad response and falls with each good
one, but not below zero: a long good period does not mask a later regression.
The baseline is the bad ratio of the other versions' upstreams over the same
seconds, so that a fault common to all versions does not condemn the canary.

Upstreams differ in speed by a factor of five, so a response counts as slow
relative to the typical time of its own upstream. This cannot detect a version
that is slow from the start; such a version is detected by comparing the mean
over its upstreams with the mean over the others.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Collection, Mapping

import msgspec

from .jobs import INTERRUPTED, AttemptOutcome, Job, RunReport
from .upstream_state import DEFAULT_PREFILL_TOKEN_S, FIXED_FIRST_EVENT_S
from .windows import SlidingSum

# Length of the baseline window, in seconds.
_BASELINE_WINDOW_S = 4.0
# Responses are scored only after so many seconds of observation, so that the
# baseline exists.
_MIN_OBSERVED_S = 1.0
# Prior of the baseline: the lowest bad ratio that is assumed, and the number of
# responses with that ratio that are added to the observed ones.
_MIN_BAD_RATIO = 0.02
_PRIOR_ANSWERS = 20
# The bad ratio that is tested for: the baseline plus the first value or times
# the second one, whichever is larger, up to the third.
_BAD_RATIO_EXCESS = 0.15
_BAD_RATIO_FACTOR = 2.0
_MAX_BAD_RATIO = 0.95
# CUSUM threshold: a bad version is e to the power of this times as likely.
_CUSUM_THRESHOLD = 7.0
# A response is slow if it takes this many times its upstream's typical time.
_SLOW_FACTOR = 3.0
# Response times kept for each upstream and route, and how many are needed for a
# typical time.
_TIMES_KEPT = 20
_MIN_TIMES = 5
# Upstreams needed on both sides to compare the speed of versions as a whole,
# and the slowdown at which the canary is condemned.
_MIN_UPSTREAMS = 3
_SLOW_VERSION_FACTOR = 2.5
# From this many events on, the time between events of a stream is compared
# instead of the time to its first event.
_MIN_PACED_EVENTS = 3
# Runs that break off at one upstream within this time, in seconds, count as one
# failure.
_SAME_FAILURE_S = 0.5
_MIN_TIME_S = 0.001
_ALL_ROUTES = ''
# Endings that the upstream is responsible for.
_UPSTREAM_ENDINGS = INTERRUPTED | {
    AttemptOutcome.failed,
    AttemptOutcome.answered,
}


class Tally(msgspec.Struct):
    """Response counts and CUSUM score of the canary version on one route."""

    answers: int = 0
    bad: int = 0
    score: float = 0


class CanaryAnalysis:
    """Responses of one service since its rollout began."""

    def __init__(self, known: Mapping[str, Tally] | None = None) -> None:
        """Start from the tallies of a previous rollout leader, if any."""
        # By route; the empty string stands for all routes together.
        self.tallies: dict[str, Tally] = {}
        # Why the version was found to be bad, None if it was not.
        self.rejection_reason: str | None = None
        self._baselines: dict[str, _Baseline] = collections.defaultdict(
            _Baseline
        )
        self._times: dict[tuple[str, bool], _ResponseTimes] = (
            collections.defaultdict(
                _ResponseTimes,
            )
        )
        self._broken_off_at: dict[str, float] = {}
        self._began_at = float('inf')
        self.merge(known or {})

    @property
    def answers(self) -> int:
        """Return the number of responses of the canary version."""
        return self.tallies.get(_ALL_ROUTES, Tally()).answers

    @property
    def bad(self) -> int:
        """Return the number of bad responses of the canary version."""
        return self.tallies.get(_ALL_ROUTES, Tally()).bad

    def merge(self, known: Mapping[str, Tally]) -> None:
        """Merge the tallies of another leader, keeping the higher values."""
        for route, other in known.items():
            tally = self.tallies.setdefault(route, Tally())
            tally.answers = max(tally.answers, other.answers)
            tally.bad = max(tally.bad, other.bad)
            tally.score = max(tally.score, other.score)
            self._check_score(route, tally)

    def copy_tallies(self) -> Mapping[str, Tally]:
        """Return a copy of the tallies."""
        return {
            route: msgspec.structs.replace(tally)
            for route, tally in self.tallies.items()
        }

    def check_speed(self) -> None:
        """Check whether the canary version is slow as a whole."""
        for route, is_canary in tuple(self._times):
            if is_canary and self._is_slow_version(route):
                self.rejection_reason = (
                    self.rejection_reason or f'slow responses on {route}'
                )

    def record(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        now: float,
        *,
        canary: bool,
    ) -> None:
        """Record how a run ended, unless the upstream did not cause its end."""
        if report.ending not in _UPSTREAM_ENDINGS:
            return
        if report.ending in INTERRUPTED and self._is_same_failure(
            upstream, now
        ):
            return
        bad = report.ending is not AttemptOutcome.answered
        if not bad:
            bad = self._is_slow(job, upstream, report, canary=canary)
        self._began_at = min(self._began_at, now)
        for route in (job.route, _ALL_ROUTES):
            if canary:
                self._score(route, now, bad=bad)
            else:
                self._baselines[route].record(now, bad=bad)

    # -- internal

    def _is_slow(
        self,
        job: Job,
        upstream: str,
        report: RunReport,
        *,
        canary: bool,
    ) -> bool:
        """Return whether a response is slow for its upstream, and record it.

        An upstream without a typical time yet is compared with the slowest
        upstream of the other versions.
        """
        times = self._times[job.route, canary]
        time_s = _time_s(job, report)
        typical = times.typical_of(upstream)
        if typical is None:
            others = self._times[job.route, False].all_typical()
            typical = max(others, default=None)
        times.add(upstream, time_s)
        return typical is not None and time_s > _SLOW_FACTOR * typical

    def _is_same_failure(self, upstream: str, now: float) -> bool:
        """Return whether another run at the upstream has just broken off."""
        last_at = self._broken_off_at.get(upstream, float('-inf'))
        self._broken_off_at[upstream] = now
        return now - last_at < _SAME_FAILURE_S

    def _score(self, route: str, now: float, *, bad: bool) -> None:
        baseline = self._baselines[route].bad_ratio(now)
        tested = min(
            _MAX_BAD_RATIO,
            max(baseline + _BAD_RATIO_EXCESS, _BAD_RATIO_FACTOR * baseline),
        )
        tally = self.tallies.setdefault(route, Tally())
        tally.answers += 1
        tally.bad += bad
        if tested <= baseline or now - self._began_at < _MIN_OBSERVED_S:
            return
        ratio = tested / baseline if bad else (1 - tested) / (1 - baseline)
        tally.score = max(0, tally.score + math.log(ratio))
        self._check_score(route, tally)

    def _check_score(self, route: str, tally: Tally) -> None:
        if tally.score >= _CUSUM_THRESHOLD and self.rejection_reason is None:
            self.rejection_reason = f'bad responses on {route or "all routes"}'

    def _is_slow_version(self, route: str) -> bool:
        canaries = self._times[route, True].all_typical()
        others = self._times[route, False].all_typical()
        if len(canaries) < _MIN_UPSTREAMS or len(others) < _MIN_UPSTREAMS:
            return False
        mean_s = statistics.geometric_mean(canaries)
        return mean_s > _SLOW_VERSION_FACTOR * statistics.geometric_mean(others)


class _Baseline:
    """Responses of the other versions within the baseline window."""

    def __init__(self) -> None:
        self._answers = SlidingSum(_BASELINE_WINDOW_S)
        self._bad = SlidingSum(_BASELINE_WINDOW_S)

    def record(self, now: float, *, bad: bool) -> None:
        self._answers.add(1, now)
        if bad:
            self._bad.add(1, now)

    def bad_ratio(self, now: float) -> float:
        answers = self._answers.total(now) + _PRIOR_ANSWERS
        bad = self._bad.total(now) + _PRIOR_ANSWERS * _MIN_BAD_RATIO
        return max(_MIN_BAD_RATIO, bad / answers)


class _ResponseTimes:
    """Recent response times on one route, by upstream."""

    def __init__(self) -> None:
        self._kept: dict[str, collections.deque[float]] = {}

    def add(self, upstream: str, time_s: float) -> None:
        """Add a response time."""
        times = self._kept.setdefault(
            upstream, collections.deque([], _TIMES_KEPT)
        )
        times.append(time_s)

    def typical_of(self, upstream: str) -> float | None:
        """Return the typical time of an upstream, None if it is not known."""
        times = self._kept.get(upstream, ())
        return _typical(times) if len(times) >= _MIN_TIMES else None

    def all_typical(self) -> list[float]:
        """Return the typical times of all upstreams that have one."""
        found = map(self.typical_of, self._kept)
        return [typical for typical in found if typical is not None]


def _typical(times: Collection[float]) -> float:
    # The first quartile, since some of the responses may be slow.
    return sorted(times)[len(times) // 4]


def _time_s(job: Job, report: RunReport) -> float:
    """Return the response time relative to the amount of work.

    For a long stream, this is the time between events, otherwise the time to
    the first event (or the total time) by expected prefill time.
    """
    if report.events >= _MIN_PACED_EVENTS:
        return max(report.stream_s, _MIN_TIME_S) / (report.events - 1)
    work_s = FIXED_FIRST_EVENT_S + job.prompt_tokens * DEFAULT_PREFILL_TOKEN_S
    return max(report.first_s or report.total_s, _MIN_TIME_S) / work_s
