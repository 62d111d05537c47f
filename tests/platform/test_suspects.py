"""What is known of requests that were at the end of upstreams."""

import random

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.suspects import (
    KEPT_S,
    Cleared,
    EndedRun,
    Standing,
    Suspects,
    UpstreamEnd,
    Verdict,
)

_NOW = 1_700_000_000.0
# More than are kept.
_MANY = 5000


def _end(upstream: str, at_s: float, ends: int = 1) -> UpstreamEnd:
    return UpstreamEnd(upstream, at_s, (EndedRun('x', ends),))


def _at_ends(count: int) -> Suspects:
    """Return what is known after so many ends, one second apart."""
    suspects = Suspects()
    for number in range(count):
        end = _end(f'u{number}', _NOW - count + number, number + 1)
        assert suspects.take_end(end, _NOW)
    return suspects


def test_what_was_at_no_end_is_free() -> None:
    assert Suspects().standing('x', _NOW) == Standing(0, Verdict.free)


def test_one_end_refuses_nobody() -> None:
    assert _at_ends(1).standing('x', _NOW) == Standing(1, Verdict.free)


def test_what_was_at_two_ends_runs_as_a_trial() -> None:
    assert _at_ends(2).standing('x', _NOW) == Standing(2, Verdict.trial)


def test_trials_are_rarer_with_each_end() -> None:
    """At most two after the third end, until it is forgotten."""
    for ends, wait_s in ((3, 4), (4, 59), (5, KEPT_S - 1)):
        suspects = _at_ends(ends)
        standing = suspects.standing('x', _NOW)
        assert standing == Standing(ends, Verdict.given_up, wait_s)
    tried = _at_ends(4).standing('x', _NOW + 59)
    assert tried.verdict is Verdict.trial


def test_a_repaired_upstream_is_tried_in_the_end() -> None:
    suspects = _at_ends(9)
    later = suspects.standing('x', _NOW + KEPT_S)
    assert later == Standing(0, Verdict.free)


def test_what_is_served_is_cleared() -> None:
    suspects = _at_ends(5)
    assert suspects.take_cleared(Cleared('x', _NOW), _NOW)
    assert suspects.standing('x', _NOW).ends == 0
    # An end that is heard of late, from before.
    suspects.take_end(_end('late', _NOW - 2, 6), _NOW)
    assert suspects.standing('x', _NOW).verdict is Verdict.free


def test_a_clock_behind_clears_all_the_same() -> None:
    """Who served it had heard of ends from clocks that were ahead."""
    suspects = _at_ends(3)
    cleared = suspects.served('x', _NOW - 60)
    assert suspects.standing('x', _NOW).ends == 0
    other = _at_ends(3)
    assert cleared is not None
    assert other.take_cleared(cleared, _NOW)
    assert other.standing('x', _NOW).ends == 0
    assert other.served('x', _NOW) is None


def test_ends_all_at_once_count_as_one() -> None:
    """The same request ran at four upstreams as power was lost."""
    suspects = Suspects()
    for number in range(4):
        suspects.take_end(_end(f'u{number}', _NOW), _NOW)
    assert suspects.standing('x', _NOW) == Standing(1, Verdict.free)


def test_a_clock_ahead_keeps_nothing_for_longer() -> None:
    suspects = Suspects()
    suspects.take_end(_end('u', _NOW + 9999, 5), _NOW)
    assert suspects.standing('x', _NOW + KEPT_S).verdict is Verdict.free


def test_another_body_each_time_takes_no_more_room() -> None:
    """Those that end upstreams again and again are kept."""
    suspects = _at_ends(5)
    bodies = [f'body {number}' for number in range(_MANY)]
    for asked in bodies:
        end = UpstreamEnd(asked, _NOW, (EndedRun(asked, 1),))
        suspects.take_end(end, _NOW)
    known = sum(suspects.standing(body, _NOW).ends for body in bodies)
    assert known < _MANY / 2
    assert suspects.standing('x', _NOW).verdict is Verdict.given_up


_ENDS = st.builds(
    _end,
    st.sampled_from(['u1', 'u2', 'u3']),
    st.floats(_NOW - 20, _NOW),
    st.integers(1, 5),
)
_CLEARED = st.builds(Cleared, st.just('x'), st.floats(_NOW - 20, _NOW))


@given(st.lists(_ENDS | _CLEARED, max_size=12), st.integers())
def test_the_order_of_news_does_not_matter(
    news: list[UpstreamEnd | Cleared],
    seed: int,
) -> None:
    shuffled = [*news, *news]
    random.Random(seed).shuffle(shuffled)
    assert _after(news) == _after(shuffled)


def _after(news: list[UpstreamEnd | Cleared]) -> Standing:
    suspects = Suspects()
    for one in news:
        if isinstance(one, Cleared):
            suspects.take_cleared(one, _NOW)
        else:
            suspects.take_end(one, _NOW)
    return suspects.standing('x', _NOW)
