"""Schedulers of several instances, and the batches between them."""

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

from tests.platform.harness import MODEL, desired

OWNERS = ('o1', 'o2', 'o3', 'o4')
TICK_S = 0.05


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
        return Seen(frozenset(OWNERS), frozenset(OWNERS), 5, 5)


class AskNetwork:
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
        # Streams, as sender and receiver, whose batches are lost.
        self.broken: set[tuple[str, str]] = set()
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
            self.schedulers[name].ownership.take_live(frozenset(OWNERS))

    def owners(self) -> tuple[str, ...]:
        return self.schedulers['a'].ownership.owners(MODEL)

    def occupy(self, *names: str) -> None:
        """Have these instances count the only slot as taken."""
        taken = Job('x/1', MODEL, 'a', 0, 10, 10, 0, 1e9, 1e9)
        for name in names:
            self.dispatchers[name].add_running(taken, 'u')

    def vacate(self, *names: str) -> None:
        """Have these instances count the slot as free again."""
        report = RunReport(AttemptOutcome.answered, 1)
        for name in names:
            self.dispatchers[name].finish('x/1', MODEL, 'u', report)

    def holds(self, name: str, key: str) -> bool:
        return self.dispatchers[name].is_waiting(key)

    def asks(self) -> list[str]:
        return [to for kind, to in self.sent if kind == 'ask']

    def ask(self, key: str, *, due_s: float) -> asyncio.Task[Any]:
        job = self.job(key, due_s=due_s)
        return asyncio.create_task(self.schedulers['a'].acquire(job))

    def job(self, key: str, *, due_s: float) -> Job:
        now = asyncio.get_running_loop().time()
        return Job(key, MODEL, 'a', 0, 10, 10, now, now + due_s, now + 5)

    def reopen(self, sender: str, to: str) -> None:
        """Open the stream of one instance to another anew."""
        self.broken.discard((sender, to))
        links = self.links[sender]
        links.pending[to] = peers_pb2.Batch(opened=True)
        self.schedulers[sender].on_opened(links.peers[to])
        links.flush(to)

    def running(self, name: str) -> int:
        """Return how many jobs an instance counts at the upstream."""
        pool = self.dispatchers[name].pools[MODEL]
        return len(pool.granted_jobs(''))

    async def leave(self, key: str, asked: asyncio.Task[Any]) -> None:
        """Let the caller of a job leave, which may wait or run."""
        if asked.done():
            job = self.job(key, due_s=5)
            grant = await asked
            report = RunReport(AttemptOutcome.left, 0)
            self.schedulers['a'].finish(job, grant.upstream, report)
        asked.cancel()

    def flush_all(self) -> None:
        """Send a heartbeat between all instances."""
        for name, links in self.links.items():
            for other in self.links.keys() - {name}:
                links.next_batch(other, urgent=False)
                links.flush(other)

    async def run(self, for_s: float) -> None:
        """Let time pass, with regular ticks of the asking scheduler."""
        for _ in range(round(for_s / TICK_S)):
            await asyncio.sleep(TICK_S)
            self.schedulers['a'].tick()

    def _send(self, sender: str, to: str, raw: bytes) -> None:
        batch = peers_pb2.Batch.FromString(raw)
        self.sent.extend(('ask', to) for _ in batch.asks)
        if sender in self.lost or to in self.lost:
            return
        if (sender, to) in self.broken:
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
