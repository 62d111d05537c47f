"""When removals are in doubt, in plain numbers."""

from tallyhall_platform.absence import Absence

_HEARTBEAT_S = 1.2
_CONTACT_S = 3.0


def _lost(since: float, last_call: float, step_s: float = 0.6) -> Absence:
    """Return what is known when calls failed until the last one began."""
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.answered(since)
    began_at = since
    while began_at < last_call:
        absence.failed(began_at)
        began_at += step_s
    absence.failed(last_call)
    return absence


def test_nothing_is_in_doubt_while_calls_are_answered() -> None:
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    for now in range(10, 20):
        absence.answered(now)
        assert not absence.holds_removals(now)


def test_the_first_answer_of_all_brings_no_doubt() -> None:
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.failed(1)
    absence.failed(5)
    absence.answered(9)
    assert not absence.holds_removals(9)


def test_a_cut_call_brings_no_doubt() -> None:
    absence = _lost(10, 10.35)
    absence.answered(12)
    assert not absence.holds_removals(12)


def test_entries_cannot_have_lapsed_within_two_heartbeats() -> None:
    absence = _lost(10, 11.9)
    absence.answered(12.1)
    assert not absence.holds_removals(12.1)
    # Upstreams keep to their interval only about.
    absence = _lost(10, 11.9)
    absence.answered(12.2)
    assert absence.holds_removals(12.2)


def test_silence_counts_from_the_last_answer() -> None:
    # One call that was lost as late as a long watch is.
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.answered(10)
    absence.failed(11.2)
    absence.answered(13.8)
    assert absence.holds_removals(13.8)


def test_the_doubt_ends_after_the_entries_are_back() -> None:
    absence = _lost(10, 19.9)
    absence.answered(20)
    assert absence.holds_removals(22.19)
    assert not absence.holds_removals(22.2)


def test_the_doubt_ends_before_the_bound_on_contact() -> None:
    # The way may be whole since just after 44.5.
    absence = _lost(34, 44.5)
    absence.answered(45.75)
    assert absence.holds_removals(47.29)
    assert not absence.holds_removals(47.3)


def test_a_bound_that_has_passed_leaves_no_doubt() -> None:
    absence = Absence(_HEARTBEAT_S, 0.5)
    absence.answered(10)
    absence.failed(19)
    absence.answered(19.4)
    assert not absence.holds_removals(19.4)


def test_a_cut_call_does_not_extend_a_doubt() -> None:
    absence = _lost(10, 19.9)
    absence.answered(20)
    absence.failed(21)
    assert not absence.holds_removals(22.2)
    absence.answered(22.1)
    assert not absence.holds_removals(22.2)


def test_a_store_that_goes_again_keeps_the_doubt() -> None:
    absence = _lost(10, 19.9)
    absence.answered(20)
    absence.failed(20.5)
    absence.failed(21.1)
    assert absence.holds_removals(23)
    absence.answered(21.8)
    assert absence.holds_removals(23.85)
    assert not absence.holds_removals(23.91)


def test_a_doubt_that_is_over_does_not_come_back() -> None:
    absence = _lost(10, 19.9)
    absence.answered(20)
    absence.answered(23)
    absence.failed(23)
    absence.failed(23.6)
    assert not absence.holds_removals(24)
    absence.answered(24)
    assert not absence.holds_removals(24)


def test_a_store_that_answers_others_was_not_away() -> None:
    absence = _lost(10, 10.6)
    for heard_at in (11, 13, 15, 17, 19):
        absence.alive(heard_at)
        absence.failed(heard_at)
    absence.answered(20)
    assert not absence.holds_removals(20)


def test_what_others_heard_late_does_not_hide_the_silence() -> None:
    absence = _lost(10, 19.5)
    absence.alive(19)
    absence.alive(18)
    absence.answered(20)
    assert absence.holds_removals(20)
