"""What no policy can exceed, with all knowledge of the future.

A request that is answered in time takes at least its least work from the
engines, at some moment between its arrival and its objective and the time that
it lasts alone on the slowest engine. Reading a prompt stops the whole batch, so
it counts for all places; a token counts for one place during one step. All
engines together have so much to give in each span of time. The most worth of
requests that fit, parts of them allowed, is found by taking them in order of
worth for their work: for work that may be done at any time within an interval
that is optimal (Hall's condition on all spans decides what still fits). Late
answers are counted as if all the others could be had. Real policies also pay
for what they do not know, for whole requests and for steps that grow.
"""

from __future__ import annotations

import itertools
import statistics
from collections.abc import Sequence

import msgspec
import numpy as np

from .arrivals import Arrival
from .figures import WINDOW_S, WORST
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
        ends = start + WINDOW_S
        inside = [one for one in counted if start <= one.at_s < ends]
        if inside:
            windows.append(_part(scenario, inside))
        start = ends
    worst = sorted(windows)[:WORST]
    return Bound(
        _part(scenario, counted),
        statistics.fmean(worst) if worst else 1,
    )


def _part(scenario: Scenario, arrivals: Sequence[Arrival]) -> float:
    owed = sum(one.kind.worth for one in arrivals)
    if not owed:
        return 1
    engines = scenario.engines
    spans = _Spans(scenario)
    earned = sum(one.kind.late_worth for one in arrivals)
    ordered = sorted(
        arrivals,
        key=lambda one: _density(engines, one),
        reverse=True,
    )
    for one in ordered:
        work_s = _work_s(engines, one)
        lasts_s = _alone_s(engines, one) * max(engines.speeds)
        until_s = one.at_s + one.kind.objective_s + lasts_s
        done = spans.fill(one.at_s, until_s, work_s) / work_s
        earned += done * (one.kind.worth - one.kind.late_worth)
    return earned / owed


def _rate(scenario: Scenario, at_s: float) -> float:
    """Return the places of all engines that run, in those of a usual one."""
    engines = scenario.engines
    down = max(
        (
            fault.count
            for fault in scenario.faults
            if fault.kind == 'crash'
            and fault.at_s <= at_s < fault.at_s + fault.for_s
        ),
        default=0,
    )
    speeds = itertools.islice(
        itertools.cycle(engines.speeds),
        down,
        engines.count,
    )
    return sum(engines.places / speed for speed in speeds)


def _alone_s(engines: Engines, arrival: Arrival) -> float:
    """Return how long a request lasts on a usual engine of its own."""
    return _reading_s(engines, arrival) + _telling_s(engines, arrival)


def _work_s(engines: Engines, arrival: Arrival) -> float:
    """Return the least work, in seconds of one place of a usual engine."""
    reading_s = _reading_s(engines, arrival)
    return engines.places * reading_s + _telling_s(engines, arrival)


def _reading_s(engines: Engines, arrival: Arrival) -> float:
    return arrival.prompt_tokens * engines.read_s


def _telling_s(engines: Engines, arrival: Arrival) -> float:
    """Return the steps of an answer, whose first event holds one token."""
    tokens = 1 + (arrival.events - 1) * engines.event_tokens
    return tokens * engines.step_s


def _density(engines: Engines, arrival: Arrival) -> float:
    gained = arrival.kind.worth - arrival.kind.late_worth
    return gained / _work_s(engines, arrival)


class _Spans:
    """Work that is taken within each span of bins, and what they can do."""

    def __init__(self, scenario: Scenario) -> None:
        bins = int((scenario.seconds + _AFTER_S) / _BIN_S) + 1
        # A fault that begins or ends within a bin counts from its end.
        done = [_rate(scenario, number * _BIN_S) for number in range(bins)]
        ends = np.cumsum(np.array(done) * _BIN_S)
        starts = ends - np.array(done) * _BIN_S
        spans = -np.subtract.outer(starts, ends)
        # Work left within bins [row, column].
        self._left = np.where(spans > 0, spans, np.inf)
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
