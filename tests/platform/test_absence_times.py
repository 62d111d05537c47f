"""The times at which removals are held, computed without I/O."""

from tallyhall_platform.absence import Absence

_HEARTBEAT_S = 1.2
_CONTACT_S = 3.0


def _after_failed_calls(
    since: float,
    last_call: float,
    step_s: float = 0.6,
) -> Absence:
    """Return the state after calls that failed from `since` on."""
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.answered(since)
    began_at = since
    while began_at < last_call:
        absence.failed(began_at)
        began_at += step_s
    absence.failed(last_call)
    return absence


def test_nothing_is_held_while_calls_are_answered() -> None:
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    for now in range(10, 20):
        absence.answered(now)
        assert not absence.holds_removals(now)


def test_the_very_first_answer_starts_no_hold() -> None:
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.failed(1)
    absence.failed(5)
    absence.answered(9)
    assert not absence.holds_removals(9)


def test_a_single_failed_call_starts_no_hold() -> None:
    absence = _after_failed_calls(10, 10.35)
    absence.answered(12)
    assert not absence.holds_removals(12)


def test_entries_survive_an_outage_of_two_heartbeats() -> None:
    absence = _after_failed_calls(10, 11.9)
    absence.answered(12.1)
    assert not absence.holds_removals(12.1)
    # Upstreams keep their interval only roughly.
    absence = _after_failed_calls(10, 11.9)
    absence.answered(12.2)
    assert absence.holds_removals(12.2)


def test_an_outage_counts_from_the_last_answer() -> None:
    # One failed call that lasted as long as a long watch.
    absence = Absence(_HEARTBEAT_S, _CONTACT_S)
    absence.answered(10)
    absence.failed(11.2)
    absence.answered(13.8)
    assert absence.holds_removals(13.8)


def test_the_hold_ends_once_entries_are_rewritten() -> None:
    absence = _after_failed_calls(10, 19.9)
    absence.answered(20)
    assert absence.holds_removals(22.19)
    assert not absence.holds_removals(22.2)


def test_the_hold_ends_before_the_contact_bound() -> None:
    # The connection may work again since just after 44.5.
    absence = _after_failed_calls(34, 44.5)
    absence.answered(45.75)
    assert absence.holds_removals(47.29)
    assert not absence.holds_removals(47.3)


def test_a_passed_contact_bound_starts_no_hold() -> None:
    absence = Absence(_HEARTBEAT_S, 0.5)
    absence.answered(10)
    absence.failed(19)
    absence.answered(19.4)
    assert not absence.holds_removals(19.4)


def test_a_single_failed_call_does_not_extend_a_hold() -> None:
    absence = _after_failed_calls(10, 19.9)
    absence.answered(20)
    absence.failed(21)
    assert not absence.holds_removals(22.2)
    absence.answered(22.1)
    assert not absence.holds_removals(22.2)


def test_another_outage_keeps_the_hold() -> None:
    absence = _after_failed_calls(10, 19.9)
    absence.answered(20)
    absence.failed(20.5)
    absence.failed(21.1)
    assert absence.holds_removals(23)
    absence.answered(21.8)
    assert absence.holds_removals(23.85)
    assert not absence.holds_removals(23.91)


def test_a_finished_hold_does_not_resume() -> None:
    absence = _after_failed_calls(10, 19.9)
    absence.answered(20)
    absence.answered(23)
    absence.failed(23)
    absence.failed(23.6)
    assert not absence.holds_removals(24)
    absence.answered(24)
    assert not absence.holds_removals(24)


def test_answers_to_other_instances_mean_no_outage() -> None:
    absence = _after_failed_calls(10, 10.6)
    for heard_at in (11, 13, 15, 17, 19):
        absence.alive(heard_at)
        absence.failed(heard_at)
    absence.answered(20)
    assert not absence.holds_removals(20)


def test_old_answers_to_others_do_not_hide_an_outage() -> None:
    absence = _after_failed_calls(10, 19.5)
    absence.alive(19)
    absence.alive(18)
    absence.answered(20)
    assert absence.holds_removals(20)
