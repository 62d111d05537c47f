"""What no policy can exceed, with all knowledge of the future.

A request that is answered in time uses the engines for at least its least
work, on a usual engine with nobody beside it, at some moment between its
arrival and its objective plus that work. All engines together have so much to
give in each span of time. The most worth of requests that fit, parts of them
allowed, is found by taking them in order of worth for their work: for work
that may be done at any time within an interval that is optimal (Hall's
condition on all spans decides what still fits). Late answers are counted as if
all the others could be had. Real policies also pay for what shares a batch and
for what they do not know.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec
import numpy as np

from .arrivals import Arrival
from .scenario import Engines, Scenario

# Spans are counted in steps of this, in seconds; a fifth of a usual objective.
_BIN_S = 0.1
# What is left after the last arrival counts for this long, in seconds.
_AFTER_S = 5.0


class Bound(msgspec.Struct, frozen=True):
    """Parts of what is owed: of all, and of the worst two windows."""

    benefit: float
    windows: float


def bound(scenario: Scenario, arrivals: Sequence[Arrival]) -> Bound:
    """Return the bound for these requests; windows are bound each alone."""
    counted = [one for one in arrivals if one.at_s >= scenario.warm_s]
    windows = []
    start = scenario.warm_s
    while start < scenario.seconds:
        inside = [one for one in counted if start <= one.at_s < start + 2]
        if inside:
            windows.append(_part(scenario, inside))
        start += 2
    return Bound(_part(scenario, counted), sum(sorted(windows)[:2]) / 2)


def _part(scenario: Scenario, arrivals: Sequence[Arrival]) -> float:
    owed = sum(one.kind.worth for one in arrivals)
    if not owed:
        return 1
    engines = scenario.engines
    spans = _Spans(scenario.seconds, _rate(engines))
    earned = sum(one.kind.late_worth for one in arrivals)
    ordered = sorted(
        arrivals,
        key=lambda one: _density(engines, one),
        reverse=True,
    )
    for one in ordered:
        work_s = _work_s(engines, one)
        until_s = one.at_s + one.kind.objective_s + work_s
        done = spans.fill(one.at_s, until_s, work_s) / work_s
        earned += done * (one.kind.worth - one.kind.late_worth)
    return earned / owed


def _rate(engines: Engines) -> float:
    """Return the places of all engines, in those of a usual one."""
    speeds = itertools.islice(itertools.cycle(engines.speeds), engines.count)
    return sum(engines.places / speed for speed in speeds)


def _work_s(engines: Engines, arrival: Arrival) -> float:
    tokens = arrival.events * engines.event_tokens
    return arrival.prompt_tokens * engines.read_s + tokens * engines.step_s


def _density(engines: Engines, arrival: Arrival) -> float:
    gained = arrival.kind.worth - arrival.kind.late_worth
    return gained / _work_s(engines, arrival)


class _Spans:
    """Work that is taken within each span of bins, and what they can do."""

    def __init__(self, seconds: float, rate: float) -> None:
        bins = int((seconds + _AFTER_S) / _BIN_S) + 1
        starts = np.arange(bins)
        lengths = 1 - np.subtract.outer(starts, starts)
        # Work left within bins [row, column].
        self._left = np.where(lengths > 0, lengths * _BIN_S * rate, np.inf)
        self._bins = bins

    def fill(self, from_s: float, until_s: float, work_s: float) -> float:
        """Take as much of this work as fits; return how much that is."""
        first = min(self._bins - 1, int(from_s / _BIN_S))
        last = min(self._bins - 1, int(until_s / _BIN_S))
        # All spans that hold these bins; a view, so that taking counts in all.
        spans = self._left[slice(first + 1), slice(last, None)]
        done = max(0, min(work_s, float(spans.min())))
        np.subtract(spans, done, out=spans)
        return done
