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
# Factor on the standard error for an interval of 95%, for few seeds (Student's
# t by degrees of freedom, the last for all more).
_STUDENT = (12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.0)


class Figures(msgspec.Struct, frozen=True):
    """Parts of what was owed, but for waited_s.

    benefit: of the worth of all. windows: of the worst two windows. worst_kind:
    of the kind that was served worst. The others are parts of all requests.
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


def worth(served: Served) -> float:
    """Return what one request earned."""
    kind = served.arrival.kind
    if served.outcome is Outcome.in_time:
        return kind.worth
    return kind.late_worth if served.outcome is Outcome.late else 0


def figures(scenario: Scenario, served: Sequence[Served]) -> Figures:
    """Return the figures of one play."""
    windows = _parts(
        served,
        lambda one: int((one.arrival.at_s - scenario.warm_s) / WINDOW_S),
    )
    kinds = _parts(served, lambda one: one.arrival.kind.name)
    counts = collections.Counter(one.outcome for one in served)
    total = max(1, len(served))
    return Figures(
        _part(served),
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
    served: Iterable[Served],
    key: Callable[[Served], object],
) -> list[float]:
    groups: dict[object, list[Served]] = collections.defaultdict(list)
    for one in served:
        groups[key(one)].append(one)
    return [_part(group) for group in groups.values()]


def _part(served: Iterable[Served]) -> float:
    owed: float = 0
    earned: float = 0
    for one in served:
        owed += one.arrival.kind.worth
        earned += worth(one)
    return earned / owed if owed else 1
