"""Streams between instances over real connections.

In a play seven instances stopped in turn, one of them was killed right after
its start, and a workspace ran above its quota for 8 s. One instance never sent
to the one that had been killed again, so neither heard the other: each used
6 of 7 parts of the quota without the other's use.

Evidence: the restarted one logged peer_down, the peer does not answer, every
1.2 s for 6 s, its peer nothing; both logged fleet_counted with 7 registered
and 6 heard to the end.

Cause: a stream that ends between two writes makes the next write raise
InvalidStateError, which the task that sends did not take for a loss; it ended
without a line. Only an entry that went and came made a new one.
"""

import asyncio
import sys

from tallyhall_bench.ports import free_ports
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import PeerPlace
from tallyhall_transport.peers import PeerLinks

from tests.platform.harness import HOST, until


def _ignore(*_: object) -> None:
    """Take anything."""


def _no_state() -> bytes:
    return b''


def _links(name: str, incarnation: str) -> PeerLinks:
    return PeerLinks(name, incarnation, _ignore, _ignore, _ignore, _ignore)


async def test_turns_are_as_usual_once_the_library_is_loaded() -> None:
    """Also where two load it at a time: each wake-up would cost more."""
    usual_s = sys.getswitchinterval()
    one, other = _links('a', 'a1'), _links('b', 'b1')
    first, second = (f'{HOST}:{port}' for port in free_ports(2))
    await asyncio.gather(
        one.listen(first, _no_state),
        other.listen(second, _no_state),
    )
    assert sys.getswitchinterval() == usual_s
    await one.close()
    await other.close()


async def test_a_stream_is_opened_anew_to_one_that_ended_and_came_back() -> (
    None
):
    """Its entry may stay all the while, so nothing else renews the stream."""
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


async def test_the_echo_of_an_earlier_run_is_no_answer() -> None:
    """A restart may begin the steady time anew; a peer echoes the old one.

    Taken for an answer it would hold for as long as the earlier run had
    lasted: nothing admitted here would count as unknown to others.
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
