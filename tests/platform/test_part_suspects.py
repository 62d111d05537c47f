"""Tracking of prompt parts in requests that upstreams ran when these ended."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.part_suspects import PartSuspects
from tallyhall_core.part_verdicts import (
    PartEnds,
    PartStatus,
    PartVerdict,
    QuarantinedPart,
)

_NOW = 1_700_000_000.0
# Longer than parts are observed before their quarantine.
_OBSERVED_S = 1.1
_MANY = 5000


class _Upstreams:
    """Upstreams that end one after the other, with what they ran."""

    def __init__(self) -> None:
        self.suspects = PartSuspects()
        self.now = _NOW
        # Whether other requests are answered between the ends.
        self.answers = True
        self._numbers = itertools.count()

    def end(
        self, *parts: str, known: int | None = None, after_s: float = 0.5
    ) -> None:
        """End one with these parts, so many seconds after the last.

        known: the ends known of each part when its request was sent; by default
        all that are known now.
        """
        self.now += after_s
        if self.answers:
            self.answer('sound', answer_s=0.01)
        charged = [
            PartEnds(
                part,
                1 + (self._known(part) if known is None else known),
            )
            for part in parts
        ]
        name = f'u{next(self._numbers)}'
        self.suspects.record_termination(name, charged, self.now)

    def answer(
        self, part: str, known: int | None = None, answer_s: float = 0.2
    ) -> None:
        """Answer a request with a part."""
        ends = self._known(part) if known is None else known
        sent = [PartEnds(part, ends)]
        self.suspects.record_answered(sent, answer_s, self.now)

    def judge(self) -> list[str]:
        """Return the parts that are quarantined now."""
        verdicts = self.suspects.judge(self.now)
        return sorted(verdict.part for verdict in verdicts)

    def verdict(self, part: str) -> PartVerdict:
        """Return the verdict on a part."""
        return self.suspects.status(part, self.now).verdict

    def _known(self, part: str) -> int:
        return self.suspects.known_ends(part)


def _quarantined(part: str = 'p') -> _Upstreams:
    upstreams = _Upstreams()
    for _ in range(3):
        upstreams.end(part)
    assert upstreams.judge() == [part]
    return upstreams


def test_one_end_holds_no_part() -> None:
    upstreams = _Upstreams()
    upstreams.end('p')
    assert upstreams.verdict('p') is PartVerdict.free
    assert upstreams.verdict('other') is PartVerdict.free


def test_after_two_ends_a_part_runs_as_a_trial() -> None:
    upstreams = _Upstreams()
    upstreams.end('p')
    upstreams.end('p')
    assert upstreams.verdict('p') is PartVerdict.trial


def test_requests_under_way_may_clear_a_used_part_before_a_trial() -> None:
    upstreams = _Upstreams()
    upstreams.answer('p')
    upstreams.end('p')
    upstreams.end('p')
    assert upstreams.verdict('p') is PartVerdict.held
    upstreams.now += 0.4
    assert upstreams.verdict('p') is PartVerdict.trial


def test_after_three_ends_a_part_is_quarantined() -> None:
    upstreams = _quarantined()
    assert upstreams.verdict('p') is PartVerdict.quarantined
    assert not upstreams.judge()


def test_a_part_is_observed_for_a_while_before_its_quarantine() -> None:
    """Three ends in quick succession; answers under way may clear it."""
    upstreams = _Upstreams()
    for _ in range(3):
        upstreams.end('p', after_s=0.1)
    assert not upstreams.judge()
    assert upstreams.verdict('p') is PartVerdict.held
    upstreams.now += _OBSERVED_S
    assert upstreams.judge() == ['p']


def test_slow_answers_prolong_the_observation() -> None:
    upstreams = _Upstreams()
    for _ in range(3):
        upstreams.end('p')
    upstreams.now += 3
    for _ in range(100):
        upstreams.answer('other', answer_s=3.0)
    assert not upstreams.judge()
    upstreams.now += 6
    assert upstreams.judge() == ['p']


def test_ends_together_count_as_one() -> None:
    """All upstreams lose power while requests with the part run on each."""
    upstreams = _Upstreams()
    for _ in range(9):
        upstreams.end('p', known=0)
    upstreams.now += _OBSERVED_S
    assert not upstreams.judge()
    assert upstreams.verdict('p') is PartVerdict.free


def test_only_an_answer_to_a_later_request_clears_a_part() -> None:
    """A part may have become fatal after a long stream with it began."""
    upstreams = _Upstreams()
    for _ in range(3):
        upstreams.end('p')
    upstreams.answer('p', known=0)
    assert upstreams.judge() == ['p']
    cleared = _Upstreams()
    for _ in range(3):
        cleared.end('p')
        cleared.answer('p')
    assert not cleared.judge()
    assert cleared.verdict('p') is PartVerdict.free


def test_a_part_that_was_cleared_may_become_fatal() -> None:
    upstreams = _Upstreams()
    upstreams.end('p')
    upstreams.answer('p')
    for _ in range(3):
        upstreams.end('p')
    assert upstreams.judge() == ['p']


def test_a_shared_part_is_not_blamed_for_a_rarer_one() -> None:
    """It is in all ends as well, and no answer has cleared it yet."""
    upstreams = _Upstreams()
    for _ in range(10):
        upstreams.answer('shared')
    for _ in range(3):
        upstreams.end('shared', 'p')
    assert upstreams.verdict('shared') is PartVerdict.free
    assert upstreams.judge() == ['p']
    assert upstreams.verdict('shared') is PartVerdict.free


def test_a_part_at_some_of_the_ends_is_not_blamed() -> None:
    upstreams = _Upstreams()
    for parts in (('p', 'x'), ('p',), ('p', 'x'), ('p', 'x')):
        upstreams.end(*parts)
    assert upstreams.judge() == ['p']
    assert upstreams.verdict('x') is PartVerdict.free


def test_a_first_part_that_is_fatal_is_found_among_its_successors() -> None:
    upstreams = _Upstreams()
    for middle in ('a', 'b', 'a', 'b'):
        upstreams.answer(middle)
        upstreams.end('first', middle)
    assert upstreams.judge() == ['first']
    assert upstreams.verdict('a') is PartVerdict.free


def test_two_fatal_parts_are_both_quarantined() -> None:
    upstreams = _Upstreams()
    for _ in range(10):
        upstreams.answer('shared')
    for part in ('p', 'q', 'p', 'q', 'q', 'p'):
        upstreams.end('shared', part)
    assert upstreams.judge() == ['p', 'q']
    assert upstreams.verdict('shared') is PartVerdict.free


def test_no_part_is_blamed_while_all_upstreams_crash_under_anything() -> None:
    """Nothing was answered between, so nothing tells the parts apart."""
    upstreams = _Upstreams()
    upstreams.answers = False
    for wait_s in (0, 1, 6, 36):
        upstreams.end('p', 'q')
        if wait_s == 0:
            upstreams.end('p', 'q')
        assert not upstreams.suspects.judge(upstreams.now + _OBSERVED_S)
        upstreams.now += wait_s
        assert upstreams.verdict('p') is PartVerdict.trial
    upstreams.answer('q')
    assert not upstreams.judge()
    assert upstreams.verdict('p') is PartVerdict.trial
    upstreams.answer('p')
    assert upstreams.verdict('p') is PartVerdict.free


def test_parts_that_always_come_together_are_both_quarantined() -> None:
    upstreams = _Upstreams()
    for _ in range(3):
        upstreams.end('p', 'q')
    assert upstreams.judge() == ['p', 'q']
    for part in ('p', 'q'):
        assert len(upstreams.suspects.terminated(part)) == 3


def test_a_known_cause_explains_later_ends() -> None:
    """Requests that were under way when the part was quarantined."""
    upstreams = _quarantined()
    for _ in range(4):
        upstreams.end('p', 'x', known=2)
    upstreams.now += _OBSERVED_S
    assert not upstreams.judge()
    assert upstreams.verdict('x') is PartVerdict.free
    assert upstreams.verdict('p') is PartVerdict.quarantined


def test_trials_of_a_quarantined_part_are_rarer_with_each_failure() -> None:
    upstreams = _quarantined()
    for delay_s in (30, 600, 3600, 3600):
        upstreams.now += delay_s - 1
        assert upstreams.verdict('p') is PartVerdict.quarantined
        upstreams.now += 1
        assert upstreams.verdict('p') is PartVerdict.trial
        upstreams.end('p')
        assert upstreams.judge() == ['p']


def test_an_answered_trial_lifts_the_quarantine() -> None:
    upstreams = _quarantined()
    upstreams.now += 30
    upstreams.answer('p')
    assert upstreams.verdict('p') is PartVerdict.free


def test_a_told_quarantine_applies_without_evidence() -> None:
    suspects = PartSuspects()
    told = QuarantinedPart('p', 3, 0, _NOW)
    assert suspects.record_quarantine(told, _NOW)
    assert not suspects.record_quarantine(told, _NOW)
    expected = PartStatus(PartVerdict.quarantined, 29)
    assert suspects.status('p', _NOW + 1) == expected
    assert suspects.known_ends('p') == 3


def test_a_fast_clock_does_not_extend_a_quarantine() -> None:
    suspects = PartSuspects()
    told = QuarantinedPart('p', 3, 0, _NOW + 9999)
    suspects.record_quarantine(told, _NOW)
    assert suspects.status('p', _NOW + 30).verdict is PartVerdict.trial


def test_a_part_that_fell_out_of_use_is_not_kept_in_the_store() -> None:
    upstreams = _quarantined()
    assert upstreams.suspects.quarantined(upstreams.now + 600)
    assert not upstreams.suspects.quarantined(upstreams.now + 700)


def test_charges_are_forgotten_after_a_while() -> None:
    upstreams = _Upstreams()
    upstreams.end('p')
    upstreams.end('p')
    upstreams.now += 700
    assert upstreams.verdict('p') is PartVerdict.free


def test_many_different_parts_use_bounded_memory() -> None:
    upstreams = _quarantined()
    for number in range(_MANY):
        upstreams.end(f'x{number}')
    known = sum(
        upstreams.suspects.known_ends(f'x{other}') for other in range(_MANY)
    )
    assert known <= _MANY / 4
    assert upstreams.verdict('p') is PartVerdict.trial
    assert upstreams.suspects.known_ends('p') == 3


_ENDS = st.tuples(st.sampled_from(['u1', 'u2', 'u3', 'u4']), st.integers(1, 4))
_TOLD = st.builds(
    QuarantinedPart,
    st.just('p'),
    st.integers(1, 4),
    st.integers(0, 2),
    st.just(_NOW),
)
_CLEARED = st.builds(PartEnds, st.just('p'), st.integers(0, 4))


@given(st.lists(_ENDS | _TOLD, max_size=10), _CLEARED, st.integers())
def test_the_order_of_reports_does_not_matter(
    reports: list[tuple[str, int] | QuarantinedPart],
    cleared: PartEnds,
    seed: int,
) -> None:
    shuffled = [*reports, *reports]
    random.Random(seed).shuffle(shuffled)
    expected = _standing_after(reports, cleared)
    assert _standing_after(shuffled, cleared) == expected


def _standing_after(
    reports: list[tuple[str, int] | QuarantinedPart], cleared: PartEnds
) -> tuple[int, tuple[QuarantinedPart, ...], PartStatus]:
    suspects = PartSuspects()
    for report in reports:
        if isinstance(report, QuarantinedPart):
            suspects.record_quarantine(report, _NOW)
            continue
        upstream, ends = report
        charged = [PartEnds('p', ends)]
        suspects.record_termination(upstream, charged, _NOW)
    suspects.record_cleared(cleared)
    return (
        suspects.known_ends('p'),
        suspects.quarantined(_NOW),
        suspects.status('p', _NOW + 2),
    )
