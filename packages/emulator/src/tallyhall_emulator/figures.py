"""What a play was worth, by the measures that callers feel."""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Callable, Iterable, Sequence

import msgspec

from .callers import Outcome, Served
from .scenario import Scenario

# Length of the windows whose worst count, in seconds.
WINDOW_S = 2.0
WORST = 2
# A token that is told weighs so many times one that is read. Of a request's
# worth this part comes with any answer, and it is so many times a usual one's
# at most.
_TOLD_TIMES = 10
_ANY_PART = 0.3
_MOST_WORTH = 4.0
# The largest requests of a kind are one in so many.
_SIZES = 10
# Factor on the standard error for an interval of 95%, for few seeds (Student's
# t by degrees of freedom, the last for all more).
_STUDENT = (12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.0)


class Figures(msgspec.Struct, frozen=True):
    """Parts of what was owed, but for waited_s.

    benefit: of the worth of all. windows: of the worst two windows. worst_kind:
    of the kind that was served worst; the largest tenth of a kind and the fifth
    below it count by themselves. The others are parts of all requests.
    waited_s: for a place, on the average.
    """

    benefit: float
    windows: float
    worst_kind: float
    in_time: float
    late: float
    refused: float
    refused_again: float
    failed: float
    waited_s: float


class Interval(msgspec.Struct, frozen=True):
    """A mean over seeds and half of its interval of 95%."""

    mean: float
    half: float


class Sizes:
    """What requests are worth by their size, against the mean of their kind.

    A part of the worth comes with any answer, the rest grows with the size,
    up to a bound. A token of an answer weighs as much as ten that are read.
    """

    def __init__(self, scenario: Scenario, served: Iterable[Served]) -> None:
        """Take the means of these."""
        self._event_tokens = scenario.engines.event_tokens
        sizes: dict[str, list[float]] = collections.defaultdict(list)
        for one in served:
            sizes[one.arrival.kind.name].append(self.size(one))
        self._means = {
            name: statistics.fmean(group) for name, group in sizes.items()
        }

    def size(self, served: Served) -> float:
        """Return the size of a request."""
        arrival = served.arrival
        told = _TOLD_TIMES * arrival.events * self._event_tokens
        return arrival.prompt_tokens + told

    def owed(self, served: Served) -> float:
        """Return what a request is worth in usual ones of its kind."""
        times = self.size(served) / self._means[served.arrival.kind.name]
        return min(_MOST_WORTH, _ANY_PART + (1 - _ANY_PART) * times)


def worth(served: Served) -> float:
    """Return what one request earned, were it of usual size."""
    kind = served.arrival.kind
    if served.outcome is Outcome.in_time:
        return kind.worth
    return kind.late_worth if served.outcome is Outcome.late else 0


def figures(scenario: Scenario, served: Sequence[Served]) -> Figures:
    """Return the figures of one play."""
    sizes = Sizes(scenario, served)
    windows = _parts(
        sizes,
        served,
        lambda one: int((one.arrival.at_s - scenario.warm_s) / WINDOW_S),
    )
    kinds = _parts(sizes, served, lambda one: one.arrival.kind.name)
    for group in _grouped(served, lambda one: one.arrival.kind.name).values():
        group.sort(key=sizes.size)
        tenth = len(group) // _SIZES
        kinds.append(_part(sizes, group[len(group) - tenth :]))
        middle = slice(len(group) - 3 * tenth, len(group) - tenth)
        kinds.append(_part(sizes, group[middle]))
    counts = collections.Counter(one.outcome for one in served)
    total = max(1, len(served))
    return Figures(
        _part(sizes, served),
        statistics.fmean(sorted(windows)[:WORST]) if windows else 0,
        min(kinds, default=0),
        counts[Outcome.in_time] / total,
        counts[Outcome.late] / total,
        counts[Outcome.refused] / total,
        counts[Outcome.refused_again] / total,
        counts[Outcome.failed] / total,
        sum(one.waited_s for one in served) / total,
    )


def interval(samples: Sequence[float]) -> Interval:
    """Return the mean of independent samples with its interval."""
    mean = statistics.fmean(samples)
    if len(samples) < 2:
        return Interval(mean, math.inf)
    factor = _STUDENT[min(len(samples) - 1, len(_STUDENT)) - 1]
    error = statistics.stdev(samples) / math.sqrt(len(samples))
    return Interval(mean, factor * error)


def _parts(
    sizes: Sizes,
    served: Iterable[Served],
    key: Callable[[Served], object],
) -> list[float]:
    return [_part(sizes, group) for group in _grouped(served, key).values()]


def _grouped(
    served: Iterable[Served],
    key: Callable[[Served], object],
) -> dict[object, list[Served]]:
    groups: dict[object, list[Served]] = collections.defaultdict(list)
    for one in served:
        groups[key(one)].append(one)
    return groups


def _part(sizes: Sizes, served: Iterable[Served]) -> float:
    owed: float = 0
    earned: float = 0
    for one in served:
        times = sizes.owed(one)
        owed += times * one.arrival.kind.worth
        earned += times * worth(one)
    return earned / owed if owed else 1
