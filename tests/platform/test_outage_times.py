"""The times at which removals are held, computed without I/O."""

from tallyhall_platform.outage import OutageTracker

_HEARTBEAT_S = 1.2
_CONTACT_S = 3.0


def _after_failed_calls(
    since: float,
    last_call: float,
    step_s: float = 0.6,
) -> OutageTracker:
    """Return the state after calls that failed from `since` on."""
    outages = OutageTracker(_HEARTBEAT_S, _CONTACT_S)
    outages.record_answer(since)
    began_at = since
    while began_at < last_call:
        outages.record_failure(began_at)
        began_at += step_s
    outages.record_failure(last_call)
    return outages


def test_nothing_is_held_while_calls_are_answered() -> None:
    outages = OutageTracker(_HEARTBEAT_S, _CONTACT_S)
    for now in range(10, 20):
        outages.record_answer(now)
        assert not outages.holds_removals(now)


def test_the_very_first_answer_starts_no_hold() -> None:
    outages = OutageTracker(_HEARTBEAT_S, _CONTACT_S)
    outages.record_failure(1)
    outages.record_failure(5)
    outages.record_answer(9)
    assert not outages.holds_removals(9)


def test_a_single_failed_call_starts_no_hold() -> None:
    outages = _after_failed_calls(10, 10.35)
    outages.record_answer(12)
    assert not outages.holds_removals(12)


def test_entries_survive_an_outage_of_two_heartbeats() -> None:
    outages = _after_failed_calls(10, 11.9)
    outages.record_answer(12.1)
    assert not outages.holds_removals(12.1)
    # Upstreams keep their interval only roughly.
    outages = _after_failed_calls(10, 11.9)
    outages.record_answer(12.2)
    assert outages.holds_removals(12.2)


def test_an_outage_counts_from_the_last_answer() -> None:
    # One failed call that lasted as long as a long watch.
    outages = OutageTracker(_HEARTBEAT_S, _CONTACT_S)
    outages.record_answer(10)
    outages.record_failure(11.2)
    outages.record_answer(13.8)
    assert outages.holds_removals(13.8)


def test_the_hold_ends_once_entries_are_rewritten() -> None:
    outages = _after_failed_calls(10, 19.9)
    outages.record_answer(20)
    assert outages.holds_removals(22.19)
    assert not outages.holds_removals(22.2)


def test_the_hold_ends_before_the_contact_bound() -> None:
    # The connection may work again since just after 44.5.
    outages = _after_failed_calls(34, 44.5)
    outages.record_answer(45.75)
    assert outages.holds_removals(47.29)
    assert not outages.holds_removals(47.3)


def test_a_passed_contact_bound_starts_no_hold() -> None:
    outages = OutageTracker(_HEARTBEAT_S, 0.5)
    outages.record_answer(10)
    outages.record_failure(19)
    outages.record_answer(19.4)
    assert not outages.holds_removals(19.4)


def test_a_single_failed_call_does_not_extend_a_hold() -> None:
    outages = _after_failed_calls(10, 19.9)
    outages.record_answer(20)
    outages.record_failure(21)
    assert not outages.holds_removals(22.2)
    outages.record_answer(22.1)
    assert not outages.holds_removals(22.2)


def test_another_outage_keeps_the_hold() -> None:
    outages = _after_failed_calls(10, 19.9)
    outages.record_answer(20)
    outages.record_failure(20.5)
    outages.record_failure(21.1)
    assert outages.holds_removals(23)
    outages.record_answer(21.8)
    assert outages.holds_removals(23.85)
    assert not outages.holds_removals(23.91)


def test_a_finished_hold_does_not_resume() -> None:
    outages = _after_failed_calls(10, 19.9)
    outages.record_answer(20)
    outages.record_answer(23)
    outages.record_failure(23)
    outages.record_failure(23.6)
    assert not outages.holds_removals(24)
    outages.record_answer(24)
    assert not outages.holds_removals(24)


def test_answers_to_other_instances_mean_no_outage() -> None:
    outages = _after_failed_calls(10, 10.6)
    for heard_at in (11, 13, 15, 17, 19):
        outages.record_store_alive(heard_at)
        outages.record_failure(heard_at)
    outages.record_answer(20)
    assert not outages.holds_removals(20)


def test_old_answers_to_others_do_not_hide_an_outage() -> None:
    outages = _after_failed_calls(10, 19.5)
    outages.record_store_alive(19)
    outages.record_store_alive(18)
    outages.record_answer(20)
    assert outages.holds_removals(20)
