"""Streams between instances over real connections.

A stream that ends between two writes makes the next write raise
InvalidStateError. The sending task did not handle it and ended without a log
line, and only a new registration of the peer started another one. So an
instance never sent to a restarted peer again. In a fleet of seven neither of
the two counted the other's use of quotas, and a workspace exceeded its quota
for 8 s.
"""

import asyncio
import sys

from tallyhall_bench.ports import free_ports
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import PeerPlace
from tallyhall_transport.peers import PeerLinks

from tests.platform.harness import HOST, until


def _ignore(*_: object) -> None:
    """Ignore any call."""


def _no_state() -> bytes:
    return b''


def _links(name: str, incarnation: str) -> PeerLinks:
    return PeerLinks(name, incarnation, _ignore, _ignore, _ignore, _ignore)


async def test_the_switch_interval_is_restored_after_loading() -> None:
    """Even if two imports overlap; a short interval slows every wake-up."""
    default_s = sys.getswitchinterval()
    one, other = _links('a', 'a1'), _links('b', 'b1')
    first, second = (f'{HOST}:{port}' for port in free_ports(2))
    await asyncio.gather(
        one.listen(first, _no_state),
        other.listen(second, _no_state),
    )
    assert sys.getswitchinterval() == default_s
    await one.close()
    await other.close()


async def test_a_stream_is_reopened_to_a_restarted_peer() -> None:
    """The peer may stay registered, so nothing else reopens the stream."""
    first, second = (f'{HOST}:{port}' for port in free_ports(2))
    one, other = _links('a', 'a1'), _links('b', 'b1')
    await one.listen(first, _no_state)
    await other.listen(second, _no_state)
    one.take_peers({'b': PeerPlace(second, 1)})
    other.take_peers({'a': PeerPlace(first, 1)})
    one.link(frozenset('b'))
    other.link(frozenset('a'))
    await until(lambda: one.peers['b'].answered_at > 0)
    await other.close()
    await asyncio.sleep(0.5)
    again = _links('b', 'b2')
    await again.listen(second, _no_state)
    again.take_peers({'a': PeerPlace(first, 1)})
    again.link(frozenset('a'))
    await until(lambda: 'a' in again.peers and again.peers['a'].heard_at > 0, 3)
    await one.close()
    await again.close()


async def test_the_echo_of_an_earlier_run_is_ignored() -> None:
    """After a restart of the clock, a peer may echo a timestamp in the future.

    If it counted as an answer, the peer would seem up to date for as long as
    the earlier run had lasted, and nothing admitted here would count as unknown
    to others.
    """
    now = asyncio.get_running_loop().time()
    links = _links('a', 'a2')
    batch = peers_pb2.Batch(sender='b', incarnation='b1')
    batch.echo_us = int((now + 5000) * 1_000_000)
    links.take(batch)
    assert links.peers['b'].answered_at < 0
    batch.echo_us = int(now * 1_000_000)
    links.take(batch)
    assert links.peers['b'].answered_at > 0
