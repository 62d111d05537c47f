"""Heartbeats: who counts as alive, restarts, bounded digests."""

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


def test_silence_counts_as_death_and_a_heartbeat_ends_it() -> None:
    members = _members()
    assert 'other' in members.live(1)
    assert 'other' not in members.live(3)
    members.merge((_entry('other', counter=101),), 3)
    assert 'other' in members.live(4)


def test_old_news_does_not_revive() -> None:
    members = _members()
    members.merge((_entry('other', counter=100),), 5)
    assert 'other' not in members.live(5)


def test_a_suspect_is_alive_again_with_its_next_heartbeat() -> None:
    members = _members()
    members.suspect_address('other:1')
    assert 'other' not in members.live(1)
    members.merge((_entry('other', counter=101),), 1)
    assert 'other' in members.live(1)


def test_a_restart_with_a_clock_set_back_is_taken_after_silence() -> None:
    members = _members()
    restarted = _entry('other', 'b', counter=5)
    members.merge((restarted,), 1)
    assert members.known('other') != restarted
    members.merge((restarted,), 4)
    assert members.known('other') == restarted


def test_a_digest_stays_small_and_reaches_everybody_in_turn() -> None:
    members = _members()
    others = [_entry(f'n{number}') for number in range(300)]
    members.merge(tuple(others), 0)
    sent = set()
    for _ in range(10):
        digest = members.digest(1)
        assert len(digest) <= DIGEST_ENTRIES
        sent |= {entry.instance for entry in digest}
    assert len(sent) == 302


def test_own_entry_rises() -> None:
    members = _members()
    before = members.own
    members.beat(load=3)
    expected = dataclasses.replace(before, counter=2, load=3)
    assert members.own == expected
