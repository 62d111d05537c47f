"""What proves at which version a stream began."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.record_keepers import KeeperRing
from tallyhall_dispatch.stream_records import (
    Origin,
    StreamId,
    StreamRecord,
    StreamRecords,
)
from tallyhall_dispatch.version_history import VersionHistory
from tallyhall_dispatch.versions import NEW_VERSION_S

_V1 = Origin('svc', 'v1')
_V2 = Origin('svc', 'v2')
_KEY = StreamId('shop', 'r1').key
_WITHIN_S = 20.0


def _upstreams(*versions: str) -> list[Upstream]:
    return [
        Upstream(f'e-{version}', 'svc', '', 1, 'a', 4, False, version=version)
        for version in versions
    ]


def _followed(until: float, *versions: str) -> VersionHistory:
    """Return a history of a view that was confirmed every second."""
    history = VersionHistory()
    history.update(_upstreams(*versions), 0)
    for now in range(int(until) + 1):
        history.confirm(now)
    return history


def test_record_is_found_until_its_caller_cannot_come_back() -> None:
    records = StreamRecords()
    records.add(_KEY, StreamRecord(_V1, 10), 0)
    assert records.find(_KEY, 9) == StreamRecord(_V1, 10)
    assert records.find(_KEY, 10) is None


def test_streams_of_two_versions_under_one_id_prove_nothing() -> None:
    records = StreamRecords()
    records.add(_KEY, StreamRecord(_V1, 10), 0)
    records.add(_KEY, StreamRecord(_V2, 12), 1)
    records.add(_KEY, StreamRecord(_V2, 12), 2)
    assert records.find(_KEY, 11) == StreamRecord(None, 12)


def test_records_are_bounded() -> None:
    records = StreamRecords()
    for number in range(30_000):
        key = StreamId('shop', str(number)).key
        records.add(key, StreamRecord(_V1, 1000), 0)
    assert len(records) == 20_000


def test_expired_records_are_dropped() -> None:
    records = StreamRecords()
    records.add(_KEY, StreamRecord(_V1, 10), 0)
    records.add(StreamId('shop', 'r2').key, StreamRecord(_V1, 20), 11)
    assert len(records) == 1


def test_ids_of_two_workspaces_never_name_one_stream() -> None:
    assert StreamId('a', 'r1').key != StreamId('b', 'r1').key


def test_single_version_is_proven_after_the_whole_window() -> None:
    history = _followed(30, 'v1')
    assert history.sole_version('svc', _WITHIN_S, 30) == 'v1'


@pytest.mark.parametrize('known_s', [5, 19])
def test_instance_that_has_just_started_proves_nothing(known_s: int) -> None:
    history = _followed(known_s, 'v1')
    assert history.sole_version('svc', _WITHIN_S, known_s) is None


def test_view_that_is_not_recent_proves_nothing() -> None:
    history = _followed(30, 'v1')
    assert history.sole_version('svc', _WITHIN_S, 33) == 'v1'
    assert history.sole_version('svc', _WITHIN_S, 34) is None


def test_view_with_a_gap_proves_nothing_of_the_time_before() -> None:
    history = _followed(30, 'v1')
    for now in range(40, 50):
        history.confirm(now)
    assert history.sole_version('svc', _WITHIN_S, 50) is None


def test_version_that_left_counts_for_the_whole_window() -> None:
    history = _followed(10, 'v1', 'v2')
    history.update(_upstreams('v1'), 11)
    for now in range(11, 60):
        history.confirm(now)
    assert history.sole_version('svc', _WITHIN_S, 31) is None
    assert history.sole_version('svc', _WITHIN_S, 32) == 'v1'


@given(
    appears=st.floats(0, 60),
    lag_s=st.floats(0, 60),
    asked=st.floats(0, 120),
)
def test_no_proof_contradicts_a_stream_of_a_new_version(
    appears: float, lag_s: float, asked: float
) -> None:
    """A stream begins at v2 at the earliest once it is not new any more."""
    history = _followed(0, 'v1')
    for now in range(1, 121):
        seen_at = now - lag_s if now > appears else now
        if seen_at >= appears:
            history.update(_upstreams('v1', 'v2'), now)
        history.confirm(min(now, max(appears, seen_at)))
        if now > asked:
            break
    proven = history.sole_version('svc', 1, asked)
    if asked >= appears + NEW_VERSION_S:
        assert proven != 'v1'


def _zones(count: int, zones: int) -> dict[str, str]:
    return {f'i-{number}': f'z-{number % zones}' for number in range(count)}


def _keys(count: int) -> list[bytes]:
    return [StreamId('shop', str(number)).key for number in range(count)]


@pytest.mark.parametrize(('count', 'zones'), [(6, 3), (87, 5), (410, 4)])
def test_copies_lie_in_different_zones(count: int, zones: int) -> None:
    placed = _zones(count, zones)
    ring = KeeperRing(placed)
    for key in _keys(100):
        assert len({placed[name] for name in ring.first(key, 3)}) == 3


@pytest.mark.parametrize('count', [1, 2, 6])
def test_small_fleets_use_all_instances(count: int) -> None:
    ring = KeeperRing(_zones(count, 1))
    for key in _keys(20):
        assert len(ring.first(key, 6)) == min(6, count)


def test_those_asked_include_all_copies_after_changes() -> None:
    """The beginner is no holder itself; meanwhile instances come and go."""
    placed = _zones(87, 4)
    for number, key in enumerate(_keys(200)):
        beginner = f'i-{number % 87}'
        others = {name: placed[name] for name in placed if name != beginner}
        holders = KeeperRing(others).first(key, 3)
        asker = f'i-{(number + 1) % 87}'
        changed = {name: placed[name] for name in placed if name != asker}
        changed |= {'new': 'z-0'}
        asked = KeeperRing(changed).first(key, 6)
        assert len(set(holders) - {asker} - set(asked)) <= 1


def test_load_of_copies_is_spread() -> None:
    ring = KeeperRing(_zones(87, 4))
    held = [ring.first(key, 3) for key in _keys(3000)]
    counts = [sum(name in names for names in held) for name in _zones(87, 4)]
    assert max(counts) <= 3 * sum(counts) / len(counts)
    assert len(set(itertools.chain.from_iterable(held))) == 87
