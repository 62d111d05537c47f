"""Of how many instances the use of quotas is known here.

In a play with 87 instances 26 were cut from the others, and workspaces
went on having the whole quota on both sides of the cut. The order of events:
each hub told how many it heard, with what other hubs had told it, so hubs
told each other the number from before the cut. In a small fleet, where nobody
passes on what others admitted, an instance that heard one other counted all
that this one heard.

Evidence: from 3.0 to 3.5 s after the cut, with 61 known, the logs of that play
have 82 times instances_changed with hears 87, twice with 1, once with 19.

Cause: a count heard from others was told on as one's own.
"""

import asyncio
import random
from typing import cast

from tallyhall_edge.scheduling import Dispatcher
from tallyhall_entry.knowledge import known
from tallyhall_entry.shared import SharedScheduler
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, PeerPlace
from tallyhall_transport.peers import PeerLinks

_CLOSED = PeerPlace('127.0.0.1:1', 1)
_MANY = 18


def _ignore(*_: object, **fields: object) -> None:
    """Take anything."""


async def _hears_and_tells(others: int, answer: dict[str, int]) -> list[int]:
    """Return what one makes of these who answer, by what they say."""
    links = PeerLinks('n0', 'n0', _ignore, _ignore, _ignore, _ignore)
    names = [f'n{number}' for number in range(1, others + 1)]
    links.take_peers(dict.fromkeys(names, _CLOSED))
    dispatcher = Dispatcher(random.Random(1))
    scheduler = SharedScheduler('n0', dispatcher, links, _ignore)
    now = asyncio.get_running_loop().time()
    for name, hears in answer.items():
        peer = Peer(name, heard_at=now, answered_at=now, hears=hears)
        cast(dict[str, Peer], links.peers)[name] = peer
    scheduler.tick()
    batch = peers_pb2.Batch()
    links.fill(batch, Peer('n1'))
    await links.close()
    return [links.hears, batch.hears]


async def test_in_a_small_fleet_only_those_heard_here_are_known() -> None:
    assert await _hears_and_tells(6, {'n1': 7, 'n2': 7}) == [3, 3]


async def test_hubs_tell_only_whom_they_hear_themselves() -> None:
    answer = {f'n{number}': _MANY for number in range(1, _MANY // 2)}
    hears, tells = await _hears_and_tells(_MANY - 1, answer)
    assert hears == _MANY
    assert tells == _MANY // 2


async def test_one_that_is_no_hub_any_more_has_told_nobody() -> None:
    """It answers like a hub; others hear of our use from hubs only."""
    links = PeerLinks('n0', 'n0', _ignore, _ignore, _ignore, _ignore)
    names = [f'n{number}' for number in range(1, _MANY)]
    links.take_peers(dict.fromkeys(names, _CLOSED))
    now = asyncio.get_running_loop().time()
    peers = cast(dict[str, Peer], links.peers)
    peers['n1'] = Peer('n1', heard_at=now, answered_at=now - 0.1)
    peers['n2'] = Peer('n2', heard_at=now, answered_at=now)
    assert known(links, 'n0', frozenset(('n1',)), now).counted_at == now - 0.1
    assert known(links, 'n0', frozenset(('n0', 'n1')), now).counted_at == now
    assert known(links, 'n0', frozenset(), now).counted_at is None
