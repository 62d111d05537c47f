"""Whether upstreams got more retries than the fleet's budget allows.

Retries are counted from what upstreams see: every arrival of a request after
its first one, including those that they reject.
"""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Protocol

from tallyhall_dispatch.retries import RetryLimits


class SeenArrival(Protocol):
    """A request as it reached an upstream, at a time in seconds."""

    @property
    def request_id(self) -> str:
        """Return the id that its caller gave it."""

    @property
    def at(self) -> float:
        """Return when it arrived, on a clock of all upstreams."""


class Observed(Protocol):
    """An upstream that keeps what it saw."""

    @property
    def seen(self) -> Sequence[SeenArrival]:
        """Return the requests that have arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWindow:
    """The retries in one window, which begins at `start`."""

    start: float
    retries: int
    allowed: float

    @property
    def is_exceeded(self) -> bool:
        """Return whether there were more retries than allowed."""
        return self.retries > self.allowed

    def __str__(self) -> str:
        """Return the retries of the window and how many are allowed."""
        return (
            f'{self.retries} retries from {self.start:.2f} s, '
            f'{self.allowed:.1f} allowed'
        )


def arrived_retries(upstreams: Iterable[Observed]) -> list[float]:
    """Return when retries reached these upstreams, in order."""
    arrivals: dict[str, list[float]] = {}
    for upstream in upstreams:
        for seen in upstream.seen:
            arrivals.setdefault(seen.request_id, []).append(seen.at)
    return sorted(at for times in arrivals.values() for at in sorted(times)[1:])


def fullest_window(
    retries: Sequence[float],
    requests: Sequence[float],
    limits: RetryLimits,
) -> RetryWindow:
    """Return the window whose retries exceed what is allowed by most.

    retries, requests: times in order. The requests of a window, of the one
    before it or of the one half a window before it count, whichever has most.
    """
    windows = [RetryWindow(0, 0, limits.allowance)]
    for start in retries:
        asked = max(
            _count(requests, start - back_s, limits.window_s)
            for back_s in (0, limits.window_s / 2, limits.window_s)
        )
        windows.append(
            RetryWindow(
                start,
                _count(retries, start, limits.window_s),
                limits.ratio * asked + limits.allowance,
            ),
        )
    return max(windows, key=lambda window: window.retries - window.allowed)


def _count(times: Sequence[float], start: float, span_s: float) -> int:
    begin = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + span_s) - begin
