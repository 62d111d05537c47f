"""Table validation, concurrent edits, lost responses and revisions."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_core.messages import Revision, SharedValue
from tallyhall_membership.shared import TABLE, SharedValues
from tallyhall_sources.errors import PlatformError
from tallyhall_table.edits import RowEdit, parse_row, rows_by_key
from tallyhall_table.errors import TableError
from tallyhall_table.model import Row, Table, TierRow
from tallyhall_table.store import TableStore

from tests.unit import admission as build
from tests.unit.fake_kv import FakeKv


def _tier(name: str, rank: int, deadline_s: float = 5) -> TierRow:
    return TierRow(name=name, rank=rank, deadline_s=deadline_s)


def _set(store: TableStore, row: TierRow, before: Row | None) -> bool:
    edit = RowEdit('tiers', row.name, before, row)
    return store.change((edit,), 'operator').is_ok()


def _row(store: TableStore, name: str) -> Row | None:
    return rows_by_key(store.read(), 'tiers').get(name)


def test_concurrent_edits_of_different_rows_are_both_applied() -> None:
    kv = FakeKv()
    store = TableStore(kv)
    kv.before_write.append(lambda: _assert(_set(store, _tier('b', 1), None)))
    assert _set(store, _tier('a', 0), None)
    assert set(rows_by_key(store.read(), 'tiers')) == {'a', 'b'}
    assert store.read().revision == 2


def test_concurrent_edit_of_the_same_row_is_a_conflict() -> None:
    kv = FakeKv()
    store = TableStore(kv)
    kv.before_write.append(
        lambda: _assert(_set(store, _tier('a', 0, 7), None)),
    )
    edit = RowEdit('tiers', 'a', None, _tier('a', 0, 9))
    outcome = store.change((edit,), 'second')
    assert outcome.is_error()
    text = str(outcome.error)
    assert '7.0' in text
    assert '9.0' in text
    assert _row(store, 'a') == _tier('a', 0, 7)


@pytest.mark.parametrize('lost', [1, 3])
def test_change_is_applied_once_if_responses_are_lost(lost: int) -> None:
    kv = FakeKv()
    kv.lose_responses = lost
    store = TableStore(kv)
    assert _set(store, _tier('a', 0), None)
    assert store.read().revision == 1
    assert len(store.read().history) == 1


def test_read_raises_while_the_kv_is_down() -> None:
    kv = FakeKv()
    kv.is_down = True
    with pytest.raises(PlatformError):
        TableStore(kv).read()


@settings(max_examples=200)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 1),
            st.sampled_from('ab'),
            st.integers(1, 50),
            st.booleans(),
        ),
        max_size=12,
    ),
)
def test_accepted_changes_never_revert(
    steps: list[tuple[int, str, int, bool]],
) -> None:
    """Two operators with outdated or current tables; responses get lost."""
    kv = FakeKv()
    store = TableStore(kv)
    model: dict[str, TierRow] = {}
    read: list[dict[str, Row]] = [{}, {}]
    for operator, name, deadline, lose in steps:
        kv.lose_responses = int(lose)
        row = _tier(name, 'ab'.index(name), deadline)
        if _set(store, row, read[operator].get(name)):
            model[name] = row
            read[operator] = rows_by_key(store.read(), 'tiers')
        else:
            read[operator] = rows_by_key(store.read(), 'tiers')
        assert rows_by_key(store.read(), 'tiers') == model


@given(revisions=st.lists(st.integers(1, 20), max_size=20))
def test_only_higher_revisions_are_accepted(revisions: list[int]) -> None:
    shared = SharedValues()
    highest = 0
    for revision in revisions:
        taken = shared.take(SharedValue(TABLE, revision, str(revision)))
        assert taken == (revision > highest)
        highest = max(highest, revision)
        assert shared.revision(TABLE) == highest


@pytest.mark.parametrize(
    ('revision', 'now', 'asked'),
    [(2, 0.1, False), (2, 0.4, True), (3, 0.1, True)],
    ids=['already requested', 'no response', 'newer revision'],
)
def test_value_is_requested_once(
    revision: int,
    now: float,
    asked: bool,
) -> None:
    shared = SharedValues()
    assert shared.to_ask_for((Revision(TABLE, 2),), 0) == (TABLE,)
    again = shared.to_ask_for((Revision(TABLE, revision),), now)
    assert bool(again) == asked


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'deadline_s': -1}, 'greater than 0'),
        ({'rank': 'x'}, 'integer'),
        ({'name': 'Über'}, 'pattern'),
        ({'nmae': 'a'}, 'Extra inputs'),
    ],
)
def test_error_of_an_invalid_row_states_field_and_value(
    change: dict[str, object],
    message: str,
) -> None:
    fields = {'name': 'a', 'rank': 0, 'deadline_s': 1, **change}
    with pytest.raises(TableError, match=message):
        parse_row('tiers', fields)


def test_limit_of_an_unknown_service_is_rejected() -> None:
    fields = build.table().model_dump()
    fields['services'] = []
    with pytest.raises(ValueError, match='no service'):
        Table.model_validate(fields)


def _assert(condition: bool) -> None:
    assert condition
