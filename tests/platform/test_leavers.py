"""Upstreams that announce their shutdown, and their entries in the store."""

import random

from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.leaving_upstreams import LeavingUpstreams
from tallyhall_edge.dispatcher import Dispatcher

_MANY = 5000


def _upstream(name: str, started_ms: int = 0) -> Upstream:
    return Upstream(
        name, 'svc', '', 1, 'a', 4, leaving=False, started_ms=started_ms
    )


def test_announcement_is_new_only_once() -> None:
    leavers = LeavingUpstreams()
    assert leavers.add('u')
    assert not leavers.add('u')
    assert leavers.mark_leaving(_upstream('u')).leaving
    assert not leavers.mark_leaving(_upstream('v')).leaving


def test_announcement_does_not_apply_to_another_incarnation() -> None:
    leavers = LeavingUpstreams()
    leavers.add(_upstream('u', 1).incarnation)
    assert not leavers.mark_leaving(_upstream('u', 2)).leaving


def test_size_is_bounded_and_the_newest_are_kept() -> None:
    leavers = LeavingUpstreams()
    for number in range(_MANY):
        leavers.add(f'u{number}')
    assert f'u{_MANY - 1}' in leavers
    assert 'u0' not in leavers


async def test_entries_do_not_revoke_an_announcement() -> None:
    dispatcher = Dispatcher(random.Random(1))
    dispatcher.apply_upstreams((_upstream('u'),))
    assert dispatcher.is_usable('u')
    assert dispatcher.mark_leaving('u')
    for entries in ((), (_upstream('u'),)):
        dispatcher.apply_upstreams(entries)
        assert not dispatcher.is_usable('u')
