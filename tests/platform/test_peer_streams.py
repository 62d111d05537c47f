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
from tallyhall_transport.peer import PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import HOST, until


def _ignore(*_: object) -> None:
    """Ignore any call."""


def _no_state() -> bytes:
    return b''


def _peer_streams(name: str, incarnation: str) -> PeerStreams:
    wait_for(Outside.threads)
    return PeerStreams(name, incarnation, _ignore, _ignore, _ignore, _ignore)


async def test_the_switch_interval_is_restored_after_loading() -> None:
    """Even if two imports overlap; a short interval slows every wake-up."""
    default_s = sys.getswitchinterval()
    one, other = _peer_streams('a', 'a1'), _peer_streams('b', 'b1')
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
    one, other = _peer_streams('a', 'a1'), _peer_streams('b', 'b1')
    await one.listen(first, _no_state)
    await other.listen(second, _no_state)
    one.update_peers({'b': PeerEndpoint(second, 1)})
    other.update_peers({'a': PeerEndpoint(first, 1)})
    one.set_targets(frozenset('b'))
    other.set_targets(frozenset('a'))
    await until(lambda: one.peers['b'].echoed_at > 0)
    await other.close()
    await asyncio.sleep(0.5)
    again = _peer_streams('b', 'b2')
    await again.listen(second, _no_state)
    again.update_peers({'a': PeerEndpoint(first, 1)})
    again.set_targets(frozenset('a'))
    await until(
        lambda: 'a' in again.peers and again.peers['a'].last_heard_at > 0, 3
    )
    await one.close()
    await again.close()


async def test_the_echo_of_an_earlier_run_is_ignored() -> None:
    """After a restart of the clock, a peer may echo a timestamp in the future.

    If it counted as an answer, the peer would seem up to date for as long as
    the earlier run had lasted, and nothing admitted here would count as unknown
    to others.
    """
    now = asyncio.get_running_loop().time()
    peer_streams = _peer_streams('a', 'a2')
    batch = peers_pb2.Batch(sender='b', incarnation='b1')
    batch.echo_us = int((now + 5000) * 1_000_000)
    peer_streams.receive(batch)
    assert peer_streams.peers['b'].echoed_at < 0
    batch.echo_us = int(now * 1_000_000)
    peer_streams.receive(batch)
    assert peer_streams.peers['b'].echoed_at > 0


async def test_a_call_is_read_once_its_host_is_registered() -> None:
    """Any client can connect to the port, and a call may hold megabytes."""
    first, second = (f'{HOST}:{port}' for port in free_ports(2))
    one, other = _peer_streams('a', 'a1'), _peer_streams('b', 'b1')
    await one.listen(first, _no_state)
    await other.listen(second, _no_state)
    other.update_peers({'a': PeerEndpoint(first, 1)})
    other.set_targets(frozenset('a'))
    await asyncio.sleep(0.3)
    assert not one.peers
    one.update_peers({'b': PeerEndpoint(second, 1)})
    await until(lambda: 'b' in one.peers)
    one.update_peers({})
    assert one.is_registered(HOST)
    await one.close()
    await other.close()
