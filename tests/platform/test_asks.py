"""Requests that ask owners which are late, cut off or stopping.

Requests of a large fleet waited until they were given up while places were
free. In order: an owner got no processor time for 0.1 s, a request that
waited there asked the next owner, and was moved back 0.3 s later. Its
withdrawal from the first owner was still unsent, since withdrawals wait for
the next beat (1.1 s at 87 instances), and left in one batch with the new ask.
The owner took the ask, answered "queued", then took the withdrawal and forgot
the job; the request trusted the answer and asked nobody else. Proof: two
instances over links with such beats: the owner does not hold the job that its
asker believes to be queued there, and a place that is free again is granted
to nobody.

Requests were rejected by engines while all instances stopped at once. Nobody
owned a service any more, and an instance without owners took itself for the
only one: each filled all places. Proof: six stopping instances, 24 requests:
24 at once on an engine with 4 places.

Requests whose owners were cut off were in no queue for half of the time.
Every 0.3 s a request left the queue of its own instance and asked the silent
owners again. Proof: a request whose owners never answer asks them anew after
each 0.3 s. A request due soon spent 180 ms on three silent owners, too.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Ending, Job, RunReport
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_entry import shared
from tallyhall_entry.knowledge import Known
from tallyhall_entry.neighbours import Seen
from tallyhall_platform.decode import decode_state
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer

from tests.platform.harness import MODEL, deployment, desired, patient

_OWNERS = ('o1', 'o2', 'o3', 'o4')
_TICK_S = 0.05


async def test_a_job_asked_again_is_not_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = _Net(monkeypatch, ('a', *_OWNERS))
    first, second = net.owners()[:2]
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    for owner in (first, second):
        net.dispatchers[owner].note_running(taken, 'u')
    net.late_s[first] = 0.1
    asked = net.ask('a/1', due_s=5)
    await net.run(0.15)
    net.late_s.clear()
    # The first owner is asked again, and a beat has not passed.
    await net.run(0.6)
    assert any(net.holds(name, 'a/1') for name in _OWNERS)
    for owner in (first, second):
        report = RunReport(Ending.answered, 1)
        net.dispatchers[owner].finish('x/1', MODEL, 'u', report)
    await net.run(0.2)
    assert asked.done()
    await asked


async def test_a_withdrawn_ask_is_not_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An ask that is withdrawn before it left queues nothing."""
    net = _Net(monkeypatch, ('a', *_OWNERS))
    first = net.owners()[0]
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    net.dispatchers[first].note_running(taken, 'u')
    asked = net.ask('a/1', due_s=5)
    asyncio.get_running_loop().call_soon(asked.cancel)
    await net.run(0.2)
    net.flush_all()
    await net.run(0.1)
    assert asked.cancelled()
    assert not net.holds(first, 'a/1')


async def test_a_stopping_fleet_counts_places(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All share one loop, whose lateness must not count as their owner's.
    monkeypatch.setattr(shared, '_ANSWER_S', 5)
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


async def test_silent_owners_are_not_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = _Net(monkeypatch, ('a', *_OWNERS))
    net.lost.update(_OWNERS)
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    net.dispatchers['a'].note_running(taken, 'u')
    asked = net.ask('a/1', due_s=5)
    await net.run(0.25)
    assert net.asks() == list(net.owners())
    await net.run(1)
    assert net.asks() == list(net.owners())
    # It hears again, and whoever waits asks it.
    # One beat carries the question, the next one its answer.
    net.lost.clear()
    net.flush_all()
    await net.run(0.1)
    net.flush_all()
    await net.run(0.2)
    assert net.asks()[3:]
    asked.cancel()


@pytest.mark.parametrize(('due_s', 'expected'), [(0.3, 2), (5, 3)])
async def test_a_request_due_soon_asks_two_owners(
    monkeypatch: pytest.MonkeyPatch,
    due_s: float,
    expected: int,
) -> None:
    net = _Net(monkeypatch, ('a', *_OWNERS))
    net.lost.update(_OWNERS)
    taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
    net.dispatchers['a'].note_running(taken, 'u')
    asked = net.ask('a/1', due_s=due_s)
    await net.run(0.25)
    assert len(net.asks()) == expected
    asked.cancel()


class _Links:
    """Batches leave at once if urgent, else when they are flushed."""

    def __init__(
        self,
        name: str,
        send: Callable[[str, str, bytes], None],
    ) -> None:
        self.instances = 87
        self.lost_s = 3.5
        self.hears = 1
        self.hears_directly = 1
        self.peers: dict[str, Peer] = {}
        self.pending: dict[str, peers_pb2.Batch] = {}
        self._name = name
        self._send = send

    def outgoing(self, name: str, *, urgent: bool) -> peers_pb2.Batch:
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


class _Neighbours:
    """All four owners count, however long they are silent."""

    def __init__(self, name: str, links: object) -> None:
        """Look at nothing."""

    def look(self, now: float, *, leaving: bool) -> Seen:
        return Seen(frozenset(_OWNERS), frozenset(_OWNERS), 5, 5)


class _Net:
    """Schedulers over links of 2 ms; `lost` are cut off."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        names: tuple[str, ...],
    ) -> None:
        monkeypatch.setattr(shared, 'Neighbours', _Neighbours)
        monkeypatch.setattr(shared, 'known', _known_of)
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
        """Let a beat pass between all."""
        for name, links in self.links.items():
            for other in self.links.keys() - {name}:
                links.outgoing(other, urgent=False)
                links.flush(other)

    async def run(self, for_s: float) -> None:
        """Let time pass; each tick, the asker looks after its requests."""
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
        peer.heard_at = now
        peer.question_us = batch.question_us
        peer.answered_at = max(peer.answered_at, batch.echo_us / 1e6)
        batch.incarnation = sender
        self.schedulers[to].on_batch(peer, batch)


def _known_of(*_: Any, **_more: Any) -> Known:
    return Known()


def _log(*_: Any, **_more: Any) -> None:
    """Log nothing."""


def _dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(random.Random(1))
    dispatcher.take_state(decode_state(json.dumps(desired(1)).encode()))
    upstream = Upstream('u', MODEL, '127.0.0.1', 1, 'a', 1, leaving=False)
    dispatcher.take_upstreams((upstream,))
    return dispatcher
