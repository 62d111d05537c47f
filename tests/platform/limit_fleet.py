"""Simulates a fleet of instances that share the rate limits of upstreams.

Time is simulated: the clock of the event loop jumps to the next timer.
Schedulers, pools, peer links and topology are the production classes; sockets
are replaced by delayed delivery. Batches between partitioned instances are
dropped, and a stream without responses is reopened.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import json
import random
import zlib
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from tallyhall_core.refusals import RefusedError
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.load_reports import LoadReport
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.scheduling import JobRejectedError
from tallyhall_entry.shared import SharedScheduler
from tallyhall_platform.decode import decode_state
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

from tests.platform.harness import MODEL, desired
from tests.platform.windows import LIMIT_WINDOW_S, most_in_window

_TICK_S = 0.05
_DELAY_S = (0.001, 0.01)
_RETRY_S = 0.1
# Time until all instances are connected, in the largest fleet.
_CONNECT_S = 5.0


class _Outbox:
    """Buffers batches for one peer and sends them from a task."""

    def __init__(
        self,
        peer_streams: PeerStreams,
        peer: Peer,
        deliver: Callable[[str, peers_pb2.Batch], bool],
    ) -> None:
        self.peer = peer
        self.address = peer.name
        self.pending = peers_pb2.Batch()
        self.has_content = asyncio.Event()
        self._peer_streams = peer_streams
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()
        self.task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await self._run_stream()
            self.pending = peers_pb2.Batch()
            await asyncio.sleep(_RETRY_S)

    async def _run_stream(self) -> None:
        opened_at = self._loop.time()
        self.pending.opened = True
        self.peer.reset_reported()
        self._peer_streams.on_opened(self.peer)
        while self._is_answered(opened_at):
            batch = self.pending
            self.pending = peers_pb2.Batch()
            self.has_content.clear()
            self._peer_streams.complete_batch(batch, self.peer)
            if not self._deliver(self.peer.name, batch):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._peer_streams.heartbeat_s):
                    await self.has_content.wait()

    def _is_answered(self, opened_at: float) -> bool:
        last_answer_at = max(opened_at, self.peer.echoed_at)
        return (
            self._loop.time() - last_answer_at
            <= self._peer_streams.echo_timeout_s
        )


class _Streams:
    def __init__(
        self,
        peer_streams: PeerStreams,
        deliver: Callable[[str, peers_pb2.Batch], bool],
    ) -> None:
        self._peer_streams = peer_streams
        self._deliver = deliver

    def open(self, peer: Peer, address: str) -> _Outbox:
        return _Outbox(self._peer_streams, peer, self._deliver)

    async def close(self) -> None:
        """Do nothing: there are no sockets to close."""


@dataclasses.dataclass(slots=True)
class RateLimitedEngine:
    """An upstream, the rate limit it announces, and its request times."""

    upstream: Upstream
    limit_per_s: float | None = None
    # Announces in its responses that it is leaving.
    leaving: bool = False
    # Reports this load in its responses.
    load: LoadReport | None = None
    run_s: float = 0.1
    arrivals: list[float] = dataclasses.field(default_factory=list)

    def max_in_window(self, since: float) -> float:
        """Return the largest request count in any window since a time."""
        taken = [(at, 1.0) for at in self.arrivals if at >= since]
        return most_in_window(taken, LIMIT_WINDOW_S)

    def mean_rate(self, since: float, until: float) -> float:
        """Return the mean request rate in an interval."""
        came = sum(since <= at < until for at in self.arrivals)
        return came / (until - since)


@dataclasses.dataclass(slots=True)
class Node:
    """An instance and the tasks that run it."""

    name: str
    run: str
    peer_streams: PeerStreams
    dispatcher: Dispatcher
    scheduler: SharedScheduler
    tasks: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)


class LimitFleet:
    """The instances, the upstreams of one service, and the load on them."""

    def __init__(
        self,
        size: int,
        engines: int,
        service: str = MODEL,
        seed: int = 1,
    ) -> None:
        """Start all instances; each knows the others as if from the store."""
        self.rng = random.Random(seed)
        self.served = 0
        self.refused: list[float] = []
        # The partition of each instance; batches cross no partition boundary.
        self.partitions: dict[str, int] = {}
        # When instances sent load reports, by sender, and their bytes.
        self.load_bytes: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.engines = {
            f'e{number}': RateLimitedEngine(
                Upstream(f'e{number}', service, 'h', 1, 'a', 10, leaving=False),
            )
            for number in range(engines)
        }
        self._service = service
        self._sequence = itertools.count()
        self._loop = asyncio.get_running_loop()
        self._pending: set[asyncio.Task[None]] = set()
        # Incarnation of the receiver, by sender incarnation and receiver.
        self._streams: dict[tuple[str, str], str] = {}
        self.names = tuple(f'n{number:03}' for number in range(size))
        self.nodes = {name: self._create_node(name) for name in self.names}
        for node in self.nodes.values():
            self._start_node(node)

    @property
    def now(self) -> float:
        """Return the simulated time."""
        return self._loop.time()

    async def settle(self) -> None:
        """Wait until all instances are connected to each other."""
        await asyncio.sleep(_CONNECT_S)

    async def send_requests(
        self,
        seconds: float,
        per_s: float,
        instances: Iterable[str] = (),
    ) -> None:
        """Send requests to random instances, by default among all of them."""
        names = tuple(instances) or self.names
        ends_at = self.now + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.now >= ends_at:
                return
            node = self.nodes.get(self.rng.choice(names))
            if node is not None:
                task = asyncio.create_task(self._request(node))
                self._pending.add(task)
                task.add_done_callback(self._pending.discard)

    def owner(self) -> str:
        """Return the owner of the service as seen by the first instance."""
        first = next(iter(self.nodes.values()))
        owners = first.scheduler.ownership.owners(self._service)
        return next(name for name in owners if name in self.nodes)

    def hubs(self) -> list[str]:
        """Return the hubs as seen by the first instance."""
        first = next(iter(self.nodes.values()))
        return sorted(first.scheduler.hubs & self.nodes.keys())

    def kill(self, name: str) -> None:
        """Stop an instance without notice to its peers."""
        node = self.nodes.pop(name)
        for task in node.tasks:
            task.cancel()
        for outbox in node.peer_streams._outboxes.values():
            outbox.task.cancel()

    def start(self, name: str) -> None:
        """Start a stopped instance again, with no state of before."""
        self.nodes[name] = self._create_node(name)
        self._start_node(self.nodes[name])

    async def close(self) -> None:
        """Stop all instances and pending requests."""
        tasks = list(self._pending)
        for name in tuple(self.nodes):
            tasks.extend(self.nodes[name].tasks)
            self.kill(name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _request(self, node: Node) -> None:
        now = self.now
        job = Job(
            f'{node.name}/{next(self._sequence)}',
            self._service,
            'a',
            0,
            100 if self._service == MODEL else 0,
            30 if self._service == MODEL else 0,
            now,
            now + 1,
            now + 2,
        )
        try:
            grant = await node.scheduler.acquire(job)
        except JobRejectedError as exc:
            self.refused.append(exc.refusal.retry_after or 0)
            return
        except RefusedError:
            self.refused.append(0)
            return
        engine = self.engines[grant.upstream.name]
        asked_at = self.now
        engine.arrivals.append(asked_at)
        await asyncio.sleep(engine.run_s)
        self.served += 1
        node.scheduler.upstream_listener.on_limit_announced(
            engine.upstream.incarnation,
            engine.limit_per_s,
            asked_at,
        )
        if engine.load is not None:
            node.scheduler.upstream_listener.on_load_reported(
                engine.upstream.incarnation, engine.load
            )
        if engine.leaving:
            node.scheduler.upstream_listener.on_leaving(
                engine.upstream.incarnation
            )
        report = RunReport(
            AttemptOutcome.answered, engine.run_s, engine.run_s, 2
        )
        node.scheduler.finish(job, grant.upstream, report)

    def _create_node(self, name: str) -> Node:
        dispatcher = Dispatcher(random.Random(self.rng.random()))
        dispatcher.apply_state(decode_state(json.dumps(desired(1)).encode()))
        dispatcher.apply_upstreams(
            tuple(engine.upstream for engine in self.engines.values()),
        )
        schedulers: list[SharedScheduler] = []
        run = f'{name}-{next(self._sequence)}'
        peer_streams = PeerStreams(
            name,
            run,
            lambda peer, batch: schedulers[0].on_batch(peer, batch),
            lambda peer, batch: schedulers[0].loads.fill(peer, batch),
            lambda peer, exc: None,
            lambda peer: schedulers[0].on_opened(peer),
        )
        streams: Any = _Streams(
            peer_streams,
            functools.partial(self._deliver, name, run),
        )
        peer_streams.use_streams(streams)
        peer_streams.own_cores = 1
        schedulers.append(
            SharedScheduler(
                name, dispatcher, peer_streams, lambda *_, **_more: None
            ),
        )
        return Node(name, run, peer_streams, dispatcher, schedulers[0])

    def _start_node(self, node: Node) -> None:
        node.peer_streams.update_peers(
            {
                name: PeerEndpoint(name, 1)
                for name in self.names
                if name != node.name
            },
        )
        self._spawn(node, self._run_ticks(node))

    def _spawn(self, node: Node, work: Coroutine[Any, Any, None]) -> None:
        node.tasks.append(asyncio.create_task(work))

    async def _run_ticks(self, node: Node) -> None:
        await asyncio.sleep(self.rng.random() * _TICK_S)
        while True:
            node.scheduler.tick()
            share = node.peer_streams.heard_count / node.peer_streams.instances
            node.scheduler.take_share(share)
            await asyncio.sleep(_TICK_S)

    def _deliver(
        self,
        sender: str,
        run: str,
        receiver: str,
        batch: peers_pb2.Batch,
    ) -> bool:
        """Send a batch; return whether its stream is still open."""
        if batch.loads:
            size = peers_pb2.Batch(loads=batch.loads).ByteSize()
            self.load_bytes[sender].append((self.now, size))
        if self.partitions.get(sender) != self.partitions.get(receiver):
            return True
        node = self.nodes.get(receiver)
        if node is None:
            return False
        pair = (run, receiver)
        if batch.opened:
            self._streams[pair] = node.run
        if self._streams.get(pair) != node.run:
            return False
        batch.sender = sender
        batch.incarnation = run
        sent = peers_pb2.Batch.FromString(batch.SerializeToString())
        # The delay depends on the pair alone, so batches stay in order.
        delay_s = _DELAY_S[zlib.crc32(f'{sender}{receiver}'.encode()) % 2]
        self._loop.call_later(delay_s, self._receive, receiver, sent)
        return True

    def _receive(self, receiver: str, batch: peers_pb2.Batch) -> None:
        node = self.nodes.get(receiver)
        if node is not None:
            node.peer_streams.receive(batch)
