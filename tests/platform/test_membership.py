"""Instances that count for divided limits; time is passed as an argument."""

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.fleet import FleetCount, FleetMembership

_ADMITS_S = 3.7
_UNSEEN_S = 1.6
_ALL = ('a', 'b', 'c')
_NOT_HEARD: dict[str, float] = {}


def _entries(*names: str, leaving: str = '') -> dict[str, bool]:
    return {name: name in leaving for name in names}


def _full() -> FleetMembership:
    membership = FleetMembership('a', _ADMITS_S, _UNSEEN_S)
    membership.update_entries(_entries(*_ALL), 0)
    return membership


def test_an_instance_counts_itself_before_it_knows_anything() -> None:
    alone = FleetCount(registered=frozenset('a'))
    assert (
        FleetMembership('a', _ADMITS_S, _UNSEEN_S).count(_NOT_HEARD, 0) == alone
    )


def test_stopping_instance_counts_until_its_entry_is_removed() -> None:
    membership = _full()
    membership.update_entries(_entries(*_ALL, leaving='b'), 1)
    count = membership.count({'b': 1}, 1)
    assert count.leaving == {'b'}
    assert count.members == set(_ALL)
    membership.update_entries(_entries('a', 'c'), 9)
    # Its last heartbeat came earlier.
    assert membership.count({'b': 8.9}, 9).members == {'a', 'c'}


def test_instance_heard_after_its_removal_counts_again() -> None:
    membership = _full()
    membership.update_entries(_entries(*_ALL, leaving='b'), 1)
    membership.update_entries(_entries('a', 'c'), 9)
    assert membership.count({'b': 9.5}, 10).vanished == {'b'}


def test_vanished_instance_counts_until_it_cannot_admit() -> None:
    membership = _full()
    membership.update_entries(_entries('a', 'c'), 10)
    assert membership.count({'b': 7}, 10).vanished == {'b'}
    # It had been silent for at least 1.6 s when its entry expired.
    assert membership.count({'b': 7}, 12).vanished == {'b'}
    assert not membership.count({'b': 7}, 12.11).vanished


def test_vanished_instance_counts_from_its_last_message() -> None:
    membership = _full()
    membership.update_entries(_entries('a', 'c'), 10)
    assert membership.count({'b': 9.9}, 13.5).vanished == {'b'}
    assert not membership.count({'b': 9.9}, 13.61).vanished


def test_vanished_instance_holds_no_slots() -> None:
    membership = _full()
    membership.update_entries(_entries('a', 'c', leaving='c'), 10)
    assert membership.count(_NOT_HEARD, 10).members == set(_ALL)
    assert membership.count(_NOT_HEARD, 10).slot_holders == {'a', 'c'}


def test_heard_instance_counts_without_an_entry() -> None:
    membership = _full()
    membership.update_entries(_entries('a', 'c'), 10)
    assert membership.count({'b': 30}, 30.1).vanished == {'b'}
    # Also if its stream has been closed since.
    assert membership.count({'d': 30}, 33.6).vanished == {'b', 'd'}
    assert not membership.count({'d': 30}, 33.71).vanished


def test_returning_instance_is_registered() -> None:
    membership = _full()
    membership.update_entries(_entries('a', 'c'), 10)
    membership.update_entries(_entries(*_ALL), 11)
    assert membership.count(_NOT_HEARD, 11) == FleetCount(frozenset(_ALL))


def test_own_entry_may_be_missing() -> None:
    membership = _full()
    membership.update_entries(_entries('b'), 10)
    assert 'a' in membership.count(_NOT_HEARD, 20).registered
    membership.update_entries(_entries('a', 'b', leaving='a'), 21)
    assert membership.count(_NOT_HEARD, 21).leaving == {'a'}


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3, allow_nan=False),
            st.sampled_from(('enters', 'marks', 'ends', 'vanishes', 'speaks')),
            st.sampled_from(_ALL),
        ),
        max_size=60,
    ),
)
def test_every_instance_that_may_admit_counts(
    steps: list[tuple[float, str, str]],
) -> None:
    """Instances count if registered, recently heard or vanished unmarked."""
    membership = FleetMembership('self', _ADMITS_S, _UNSEEN_S)
    entries: dict[str, bool] = {}
    heard: dict[str, float] = {}
    lost: dict[str, float] = {}
    now: float = 0
    for pause, what, name in steps:
        now += pause
        if what == 'enters':
            entries[name] = False
            lost.pop(name, None)
        elif what == 'marks' and name in entries:
            entries[name] = True
        elif what == 'speaks':
            heard[name] = now
        elif what in {'ends', 'vanishes'} and name in entries:
            if not entries.pop(name):
                lost[name] = now
        membership.update_entries(entries, now)
        members = membership.count(heard, now).members
        assert set(entries) <= members
        assert 'self' in members
        # An expired entry was last renewed at least 1.6 s earlier.
        assert {
            one
            for one, since in lost.items()
            if now - since < _ADMITS_S - _UNSEEN_S
        } <= members
        assert members <= {'self', *entries, *heard, *lost}
