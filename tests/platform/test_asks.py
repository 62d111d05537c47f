"""Requests that ask slow, partitioned or stopping owners.

Guards against three failures:

Lost jobs. When an owner got no CPU time for 0.1 s, a request queued there asked
the next owner and moved back 0.3 s later. Withdrawals wait for the next
heartbeat (1.1 s at 87 instances), so the withdrawal was sent in one batch with
the new ask. The owner accepted the ask, responded "queued", and then processed
the withdrawal and dropped the job. The request waited until it was given up
although slots were free.

Overfilled engines. When all instances stopped at once, no instance owned a
service, and each considered itself the only one and filled all slots: with six
stopping instances 24 requests ran at once on an engine with 4 slots.

Repeated asks. A request whose owners were partitioned left the local queue
every 0.3 s to ask them again, and so was in no queue for half of the time. A
request that was due soon spent 180 ms on three unresponsive owners.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_entry import shared
from tallyhall_entry.knowledge import PeerKnowledge
from tallyhall_entry.peer_tracker import Seen
from tallyhall_platform.decode import decode_state
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer

from tests.platform.harness import MODEL, deployment, desired, patient

_OWNERS = ('o1', 'o2', 'o3', 'o4')
_TICK_S = 0.05


async def test_a_job_that_is_asked_for_again_is_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = _Network(monkeypatch, ('a', *_OWNERS))
    first, second = network.owners()[:2]
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    for owner in (first, second):
        network.dispatchers[owner].add_running(taken, 'u')
    network.late_s[first] = 0.1
    asked = network.ask('a/1', due_s=5)
    await network.run(0.15)
    network.late_s.clear()
    # The first owner is asked again before the next heartbeat.
    await network.run(0.6)
    assert any(network.holds(name, 'a/1') for name in _OWNERS)
    for owner in (first, second):
        report = RunReport(AttemptOutcome.answered, 1)
        network.dispatchers[owner].finish('x/1', MODEL, 'u', report)
    await network.run(0.2)
    assert asked.done()
    await asked


async def test_a_withdrawn_ask_is_not_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An ask that is withdrawn before it is sent queues nothing."""
    network = _Network(monkeypatch, ('a', *_OWNERS))
    first = network.owners()[0]
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    network.dispatchers[first].add_running(taken, 'u')
    asked = network.ask('a/1', due_s=5)
    asyncio.get_running_loop().call_soon(asked.cancel)
    await network.run(0.2)
    network.flush_all()
    await network.run(0.1)
    assert asked.cancelled()
    assert not network.holds(first, 'a/1')


async def test_a_stopping_fleet_counts_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All instances share one event loop, whose delays must not count as an
    # unresponsive owner.
    monkeypatch.setattr(shared, '_OWNER_TIMEOUT_S', 5)
    async with deployment(6) as made:
        engine = await made.add_engine('model-0', event_s=0.02)
        await made.ready()
        await made.change(patient(2))
        stops = [
            asyncio.create_task(stopping.stop()) for stopping in made.instances
        ]
        await asyncio.sleep(0.8)
        statuses = await made.ask_all([number % 6 for number in range(24)])
        assert set(statuses) == {200}
        assert engine.most_running <= 4
        await asyncio.gather(*stops)


async def test_unresponsive_owners_are_not_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = _Network(monkeypatch, ('a', *_OWNERS))
    network.lost.update(_OWNERS)
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    network.dispatchers['a'].add_running(taken, 'u')
    asked = network.ask('a/1', due_s=5)
    await network.run(0.25)
    assert network.asks() == list(network.owners())
    await network.run(1)
    assert network.asks() == list(network.owners())
    # Once the owners are reachable again, waiting requests ask them. One
    # heartbeat carries the question, the next one its answer.
    network.lost.clear()
    network.flush_all()
    await network.run(0.1)
    network.flush_all()
    await network.run(0.2)
    assert network.asks()[3:]
    asked.cancel()


@pytest.mark.parametrize(('due_s', 'expected'), [(0.3, 2), (5, 3)])
async def test_a_request_due_soon_asks_two_owners(
    monkeypatch: pytest.MonkeyPatch,
    due_s: float,
    expected: int,
) -> None:
    network = _Network(monkeypatch, ('a', *_OWNERS))
    network.lost.update(_OWNERS)
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    network.dispatchers['a'].add_running(taken, 'u')
    asked = network.ask('a/1', due_s=due_s)
    await network.run(0.25)
    assert len(network.asks()) == expected
    asked.cancel()


class _Links:
    """Links that send urgent batches at once, and others when flushed."""

    def __init__(
        self,
        name: str,
        send: Callable[[str, str, bytes], None],
    ) -> None:
        self.instances = 87
        self.peer_timeout_s = 3.5
        self.heard_count = 1
        self.directly_heard_count = 1
        self.peers: dict[str, Peer] = {}
        self.pending: dict[str, peers_pb2.Batch] = {}
        self._name = name
        self._send = send

    def next_batch(self, name: str, *, urgent: bool) -> peers_pb2.Batch:
        batch = self.pending.setdefault(name, peers_pb2.Batch())
        if urgent:
            asyncio.get_running_loop().call_soon(self.flush, name)
        return batch

    def flush(self, name: str) -> None:
        batch = self.pending.pop(name, None)
        if batch is None:
            return
        batch.question_us = int(asyncio.get_running_loop().time() * 1e6)
        batch.echo_us = self.peers[name].question_us
        self._send(self._name, name, batch.SerializeToString())


class _StaticPeerTracker:
    """Considers all four owners live, even if they are unresponsive."""

    def __init__(self, name: str, links: object) -> None:
        """Ignore the arguments."""

    def update(self, now: float, *, leaving: bool) -> Seen:
        return Seen(frozenset(_OWNERS), frozenset(_OWNERS), 5, 5)


class _Network:
    """Schedulers over links with 2 ms delay; those in `lost` are isolated."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        names: tuple[str, ...],
    ) -> None:
        monkeypatch.setattr(shared, 'PeerTracker', _StaticPeerTracker)
        monkeypatch.setattr(shared, 'peer_knowledge', _no_knowledge)
        self.late_s: dict[str, float] = {}
        self.lost: set[str] = set()
        self.sent: list[tuple[str, str]] = []
        self.links = {name: _Links(name, self._send) for name in names}
        self.dispatchers = {name: _dispatcher() for name in names}
        self.schedulers: dict[str, shared.SharedScheduler] = {}
        for name, links in self.links.items():
            links.peers = {
                other: Peer(other, incarnation=other) for other in names
            }
            self.schedulers[name] = shared.SharedScheduler(
                name,
                self.dispatchers[name],
                links,  # type: ignore[arg-type]
                _log,
            )
            self.schedulers[name].ownership.take_live(frozenset(_OWNERS))

    def owners(self) -> tuple[str, ...]:
        return self.schedulers['a'].ownership.owners(MODEL)

    def holds(self, name: str, key: str) -> bool:
        return self.dispatchers[name].is_waiting(key)

    def asks(self) -> list[str]:
        return [to for kind, to in self.sent if kind == 'ask']

    def ask(self, key: str, *, due_s: float) -> asyncio.Task[Any]:
        now = asyncio.get_running_loop().time()
        job = Job(key, MODEL, 'a', 0, 10, 10, now, now + due_s, now + 5)
        return asyncio.create_task(self.schedulers['a'].acquire(job))

    def flush_all(self) -> None:
        """Send a heartbeat between all instances."""
        for name, links in self.links.items():
            for other in self.links.keys() - {name}:
                links.next_batch(other, urgent=False)
                links.flush(other)

    async def run(self, for_s: float) -> None:
        """Let time pass, with regular ticks of the asking scheduler."""
        for _ in range(round(for_s / _TICK_S)):
            await asyncio.sleep(_TICK_S)
            self.schedulers['a'].tick()

    def _send(self, sender: str, to: str, raw: bytes) -> None:
        batch = peers_pb2.Batch.FromString(raw)
        self.sent.extend(('ask', to) for _ in batch.asks)
        if sender in self.lost or to in self.lost:
            return
        delay_s = self.late_s.get(to, 0.002)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._take, sender, to, batch)

    def _take(self, sender: str, to: str, batch: peers_pb2.Batch) -> None:
        peer = self.links[to].peers[sender]
        now = asyncio.get_running_loop().time()
        peer.last_heard_at = now
        peer.question_us = batch.question_us
        peer.echoed_at = max(peer.echoed_at, batch.echo_us / 1e6)
        batch.incarnation = sender
        self.schedulers[to].on_batch(peer, batch)


def _no_knowledge(*_: Any, **_more: Any) -> PeerKnowledge:
    return PeerKnowledge()


def _log(*_: Any, **_more: Any) -> None:
    """Log nothing."""


def _dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(random.Random(1))
    dispatcher.apply_state(decode_state(json.dumps(desired(1)).encode()))
    upstream = Upstream('u', MODEL, '127.0.0.1', 1, 'a', 1, leaving=False)
    dispatcher.apply_upstreams((upstream,))
    return dispatcher
