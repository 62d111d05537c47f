"""Heartbeat failure detection, restarts and the digest size limit."""

import dataclasses

from tallyhall_core.messages import MemberEntry
from tallyhall_membership.members import (
    DIGEST_ENTRIES,
    Members,
    MemberSettings,
)


def _entry(name: str, incarnation: str = 'a', counter: int = 1) -> MemberEntry:
    return MemberEntry(
        instance=name,
        incarnation=incarnation,
        counter=counter,
        state='live',
        rpc=f'{name}:1',
        http=f'{name}:2',
        zone='a',
        epoch=0,
        window=0,
    )


def _members() -> Members:
    members = Members(_entry('me'), MemberSettings(dead_after=2))
    members.merge((_entry('other', counter=100),), 0)
    return members


def test_silent_instance_is_dead_until_its_next_heartbeat() -> None:
    members = _members()
    assert 'other' in members.live(1)
    assert 'other' not in members.live(3)
    members.merge((_entry('other', counter=101),), 3)
    assert 'other' in members.live(4)


def test_stale_entry_does_not_revive_an_instance() -> None:
    members = _members()
    members.merge((_entry('other', counter=100),), 5)
    assert 'other' not in members.live(5)


def test_suspected_instance_is_live_after_its_next_heartbeat() -> None:
    members = _members()
    members.suspect_address('other:1')
    assert 'other' not in members.live(1)
    members.merge((_entry('other', counter=101),), 1)
    assert 'other' in members.live(1)


def test_restart_with_a_clock_set_back_is_accepted_after_silence() -> None:
    members = _members()
    restarted = _entry('other', 'b', counter=5)
    members.merge((restarted,), 1)
    assert members.known('other') != restarted
    members.merge((restarted,), 4)
    assert members.known('other') == restarted


def test_digests_are_bounded_and_cover_all_members_in_turn() -> None:
    members = _members()
    others = [_entry(f'n{number}') for number in range(300)]
    members.merge(tuple(others), 0)
    sent = set()
    for _ in range(10):
        digest = members.digest(1)
        assert len(digest) <= DIGEST_ENTRIES
        sent |= {entry.instance for entry in digest}
    assert len(sent) == 302


def test_heartbeat_increments_the_own_counter() -> None:
    members = _members()
    before = members.own
    members.beat(load=3)
    expected = dataclasses.replace(before, counter=2, load=3)
    assert members.own == expected
