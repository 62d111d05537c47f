"""The number of instances whose quota usage an instance knows.

In a simulation 26 of 87 instances were partitioned from the others, and
workspaces could use the whole quota on both sides of the partition. Each hub
included in its count what other hubs had reported, so hubs kept repeating the
count from before the partition to each other: with 61 instances registered, the
logs from 3.0 to 3.5 s after the partition have 82 instances_changed events with
hears=87, two with 1 and one with 19. In a small fleet, where no instance
forwards reports, an instance that heard from one peer counted all instances
that this peer heard from.
"""

import asyncio
import random
from typing import cast

from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_entry.knowledge import peer_knowledge
from tallyhall_entry.shared import SharedScheduler
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

_CLOSED = PeerEndpoint('127.0.0.1:1', 1)
_LARGE_FLEET = 18


def _ignore(*_: object, **fields: object) -> None:
    """Ignore all arguments."""


async def _derived_and_sent(others: int, answer: dict[str, int]) -> list[int]:
    """Return the count an instance derives from peers, and the one it sends.

    answer: the count that each responding peer reports.
    """
    peer_streams = PeerStreams('n0', 'n0', _ignore, _ignore, _ignore, _ignore)
    names = [f'n{number}' for number in range(1, others + 1)]
    peer_streams.update_peers(dict.fromkeys(names, _CLOSED))
    dispatcher = Dispatcher(random.Random(1))
    scheduler = SharedScheduler('n0', dispatcher, peer_streams, _ignore)
    now = asyncio.get_running_loop().time()
    for name, hears in answer.items():
        peer = Peer(name, last_heard_at=now, echoed_at=now, heard_count=hears)
        cast(dict[str, Peer], peer_streams.peers)[name] = peer
    scheduler.tick()
    batch = peers_pb2.Batch()
    peer_streams.complete_batch(batch, Peer('n1'))
    await peer_streams.close()
    return [peer_streams.heard_count, batch.hears]


async def test_a_small_fleet_counts_only_directly_heard_peers() -> None:
    assert await _derived_and_sent(6, {'n1': 7, 'n2': 7}) == [3, 3]


async def test_hubs_report_only_directly_heard_peers() -> None:
    answer = {
        f'n{number}': _LARGE_FLEET for number in range(1, _LARGE_FLEET // 2)
    }
    hears, tells = await _derived_and_sent(_LARGE_FLEET - 1, answer)
    assert hears == _LARGE_FLEET
    assert tells == _LARGE_FLEET // 2


async def test_a_former_hub_forwards_nothing() -> None:
    """It still answers, but other instances get reports only from hubs."""
    peer_streams = PeerStreams('n0', 'n0', _ignore, _ignore, _ignore, _ignore)
    names = [f'n{number}' for number in range(1, _LARGE_FLEET)]
    peer_streams.update_peers(dict.fromkeys(names, _CLOSED))
    now = asyncio.get_running_loop().time()
    peers = cast(dict[str, Peer], peer_streams.peers)
    peers['n1'] = Peer('n1', last_heard_at=now, echoed_at=now - 0.1)
    peers['n2'] = Peer('n2', last_heard_at=now, echoed_at=now)
    assert (
        peer_knowledge(
            peer_streams, 'n0', frozenset(('n1',)), now
        ).propagated_at
        == now - 0.1
    )
    assert (
        peer_knowledge(
            peer_streams, 'n0', frozenset(('n0', 'n1')), now
        ).propagated_at
        == now
    )
    assert (
        peer_knowledge(peer_streams, 'n0', frozenset(), now).propagated_at
        is None
    )
