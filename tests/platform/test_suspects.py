"""Tracking of request contents that ran on upstreams when these ended."""

import random

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.suspects import (
    KEPT_S,
    Cleared,
    InterruptedRun,
    Suspects,
    SuspectStatus,
    UpstreamTermination,
    Verdict,
)

_NOW = 1_700_000_000.0
# More contents than are stored.
_MANY_BODIES = 5000


def _end(upstream: str, at_s: float, ends: int = 1) -> UpstreamTermination:
    return UpstreamTermination(upstream, at_s, (InterruptedRun('x', ends),))


def _after_ends(count: int) -> Suspects:
    """Return the state after so many ends, one second apart."""
    suspects = Suspects()
    for number in range(count):
        end = _end(f'u{number}', _NOW - count + number, number + 1)
        assert suspects.record_termination(end, _NOW)
    return suspects


def test_an_unknown_content_is_free() -> None:
    assert Suspects().status('x', _NOW) == SuspectStatus(0, Verdict.free)


def test_one_end_refuses_nothing() -> None:
    assert _after_ends(1).status('x', _NOW) == SuspectStatus(1, Verdict.free)


def test_after_two_ends_a_content_runs_as_a_trial() -> None:
    assert _after_ends(2).status('x', _NOW) == SuspectStatus(2, Verdict.trial)


def test_trials_are_rarer_with_each_end() -> None:
    """At most two trials run after the third end, until it is forgotten."""
    for ends, wait_s in ((3, 4), (4, 59), (5, KEPT_S - 1)):
        suspects = _after_ends(ends)
        standing = suspects.status('x', _NOW)
        assert standing == SuspectStatus(ends, Verdict.given_up, wait_s)
    tried = _after_ends(4).status('x', _NOW + 59)
    assert tried.verdict is Verdict.trial


def test_ends_are_forgotten_after_the_retention_time() -> None:
    suspects = _after_ends(9)
    later = suspects.status('x', _NOW + KEPT_S)
    assert later == SuspectStatus(0, Verdict.free)


def test_a_served_content_is_cleared() -> None:
    suspects = _after_ends(5)
    assert suspects.record_cleared(Cleared('x', _NOW), _NOW)
    assert suspects.status('x', _NOW).ends == 0
    # A late report of an end from before the request was served.
    suspects.record_termination(_end('late', _NOW - 2, 6), _NOW)
    assert suspects.status('x', _NOW).verdict is Verdict.free


def test_a_slow_clock_clears_later_ends() -> None:
    """The serving instance's clock is behind those that reported the ends."""
    suspects = _after_ends(3)
    cleared = suspects.record_served('x', _NOW - 60)
    assert suspects.status('x', _NOW).ends == 0
    other = _after_ends(3)
    assert cleared is not None
    assert other.record_cleared(cleared, _NOW)
    assert other.status('x', _NOW).ends == 0
    assert other.record_served('x', _NOW) is None


def test_simultaneous_ends_count_as_one() -> None:
    """The same request ran on four upstreams during a power failure."""
    suspects = Suspects()
    for number in range(4):
        suspects.record_termination(_end(f'u{number}', _NOW), _NOW)
    assert suspects.status('x', _NOW) == SuspectStatus(1, Verdict.free)


def test_a_fast_clock_does_not_extend_retention() -> None:
    suspects = Suspects()
    suspects.record_termination(_end('u', _NOW + 9999, 5), _NOW)
    assert suspects.status('x', _NOW + KEPT_S).verdict is Verdict.free


def test_many_different_contents_use_bounded_memory() -> None:
    """Contents with repeated ends are kept when others are evicted."""
    suspects = _after_ends(5)
    bodies = [f'body {number}' for number in range(_MANY_BODIES)]
    for asked in bodies:
        end = UpstreamTermination(asked, _NOW, (InterruptedRun(asked, 1),))
        suspects.record_termination(end, _NOW)
    known = sum(suspects.status(body, _NOW).ends for body in bodies)
    assert known < _MANY_BODIES / 2
    assert suspects.status('x', _NOW).verdict is Verdict.given_up


_ENDS = st.builds(
    _end,
    st.sampled_from(['u1', 'u2', 'u3']),
    st.floats(_NOW - 20, _NOW),
    st.integers(1, 5),
)
_CLEARED = st.builds(Cleared, st.just('x'), st.floats(_NOW - 20, _NOW))


@given(st.lists(_ENDS | _CLEARED, max_size=12), st.integers())
def test_the_order_of_reports_does_not_matter(
    reports: list[UpstreamTermination | Cleared],
    seed: int,
) -> None:
    shuffled = [*reports, *reports]
    random.Random(seed).shuffle(shuffled)
    assert _standing_after(reports) == _standing_after(shuffled)


def _standing_after(
    reports: list[UpstreamTermination | Cleared],
) -> SuspectStatus:
    suspects = Suspects()
    for report in reports:
        if isinstance(report, Cleared):
            suspects.record_cleared(report, _NOW)
        else:
            suspects.record_termination(report, _NOW)
    return suspects.status('x', _NOW)
