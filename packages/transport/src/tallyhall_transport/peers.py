"""Streams between entry instances: one for each ordered pair.

The sender of a pair opens the stream and keeps it; what is queued within
one turn of the loop leaves as one batch, and a batch without content is the
heartbeat. Every batch carries a question, the sender's steady time, and the
newest question of the other side. The answer to a question bounds how old
the other side's statements are, and shows that both streams work: where no
answer comes although the peer should be there, the stream is opened anew,
since a connection may go silent for good without a reset.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping

from grpc import RpcError, aio

from .errors import TransportError
from .generated import peers_pb2, peers_pb2_grpc

# Time between two batches without content, to up to this many peers; with
# more it grows in proportion, so that an instance's beats stay below 80 a
# second in each direction, under 1% of a core.
_BEAT_S = 0.15
_FULL_RATE_PEERS = 12
# Beats after which a peer that was not heard counts as lost.
_LOST_BEATS = 3.3
# A stream whose questions stay unanswered for this many beats is opened anew;
# the slowest sound way takes 30 ms.
_SILENT_BEATS = 5.4
# A new stream has this long until its first answer.
_OPENING_S = 0.2
# The first batch waits for the connection. An opening packet to an instance
# that is just starting is lost and sent again after a second, so another
# connection is tried sooner: after a power failure of all, seven instances
# heard each other after 1.1 s with the 0.8 s of later batches.
_CONNECT_S = 0.3
_RETRY_S = 0.1
_FETCH_S = 0.5
# Handlers that have ended have this long to tell their peers so.
_ENDING_S = 0.1
_MICRO = 1_000_000
# A write on a stream that ended since the last one is an invalid state to the
# library, whatever ended it.
_LOSSES = (RpcError, TransportError, TimeoutError, asyncio.InvalidStateError)
_OPTIONS = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_receive_message_length', 8_000_000),
)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance as seen through its batches."""

    name: str
    incarnation: str = ''
    heard_at: float = -1
    question_us: int = 0
    answered_at: float = -1
    leaving: bool = False
    # Since when a stream to it is kept, None without one.
    linked_at: float | None = None
    # Instances that this one hears, as it says.
    hears: int = 0
    # Whether it knows the use of all; until then it is told everything.
    knows_use: bool = False
    told: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPlace:
    """Where a peer is reached, and what processor time it has, in cores.

    serves: whether callers are sent there, so that it may own services.
    """

    address: str
    cores: float
    serves: bool = True


OnBatch = Callable[[Peer, peers_pb2.Batch], None]
FillBatch = Callable[[Peer, peers_pb2.Batch], None]
ReadState = Callable[[], bytes]


class _Servicer(peers_pb2_grpc.PeersServicer):
    def __init__(
        self,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        self._take = take
        self._read_state = read_state
        self._streams: set[asyncio.Task[None]] = set()
        self._closing = False

    async def Exchange(
        self,
        request_iterator: AsyncIterator[peers_pb2.Batch],
        context: aio.ServicerContext[
            peers_pb2.Batch,
            peers_pb2.Closed,
        ],
    ) -> peers_pb2.Closed:
        stream = asyncio.ensure_future(self._read(request_iterator))
        self._streams.add(stream)
        try:
            await stream
        except asyncio.CancelledError:
            if not self._closing:
                stream.cancel()
                raise
        finally:
            self._streams.discard(stream)
        return peers_pb2.Closed()

    async def end_streams(self) -> None:
        """End the streams of all senders, so that none is cut by the server.

        A handler that the server itself cancels is logged as an error by the
        library; peers that the store has not told of our leaving still send.
        """
        self._closing = True
        for stream in self._streams:
            stream.cancel()
        if self._streams:
            await asyncio.wait(self._streams)

    async def FetchState(
        self,
        request: peers_pb2.StateRequest,
        context: aio.ServicerContext[
            peers_pb2.StateRequest,
            peers_pb2.StateReply,
        ],
    ) -> peers_pb2.StateReply:
        return peers_pb2.StateReply(state=self._read_state())

    async def _read(self, batches: AsyncIterator[peers_pb2.Batch]) -> None:
        sender = ''
        incarnation = ''
        async for batch in batches:
            # 37 of the 59 bytes of a beat, so they come once a stream.
            sender = batch.sender or sender
            incarnation = batch.incarnation or incarnation
            batch.sender = sender
            batch.incarnation = incarnation
            self._take(batch)


class _Outbox:
    """What waits to be sent to one peer, and the task that sends it."""

    def __init__(self, links: PeerLinks, peer: Peer, address: str) -> None:
        self.peer = peer
        self.address = address
        self.pending = peers_pb2.Batch()
        self.filled = asyncio.Event()
        self.channel: aio.Channel | None = None
        self._links = links
        self._loop = asyncio.get_running_loop()
        self.task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._one_stream()
            except _LOSSES as exc:
                self._links.on_lost(self.peer, exc)
            self.pending = peers_pb2.Batch()
            await asyncio.sleep(_RETRY_S)

    async def _one_stream(self) -> None:
        async with aio.insecure_channel(
            self.address,
            options=_OPTIONS,
        ) as channel:
            self.channel = channel
            stub = _stub(channel)
            call = stub.Exchange()
            try:
                await self._send_batches(call)
            finally:
                self.channel = None
                call.cancel()

    async def _send_batches(
        self,
        call: aio.StreamUnaryCall[peers_pb2.Batch, peers_pb2.Closed],
    ) -> None:
        opened_at = self._loop.time()
        write_s = _CONNECT_S
        # What was queued for a first stream goes with its first batch.
        self.pending.opened = True
        self.peer.told.clear()
        self._links.on_opened(self.peer)
        while True:
            batch = self.pending
            self.pending = peers_pb2.Batch()
            self.filled.clear()
            self._links.fill(batch, self.peer)
            async with asyncio.timeout(write_s):
                await call.write(batch)
            write_s = self._links.silent_s
            self._check_answers(opened_at)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._links.beat_s):
                    await self.filled.wait()

    def _check_answers(self, opened_at: float) -> None:
        now = self._loop.time()
        silent_s = self._links.silent_s
        if now - opened_at < _OPENING_S + silent_s:
            return
        if now - self.peer.answered_at > silent_s:
            raise TransportError('the peer does not answer')


class PeerLinks:
    """The streams of one instance to all others."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        on_batch: OnBatch,
        fill: FillBatch,
        on_lost: Callable[[Peer, Exception], None],
        on_opened: Callable[[Peer], None],
    ) -> None:
        """Call `on_batch` for what comes; `fill` adds to what leaves."""
        self.on_lost = on_lost
        self.on_opened = on_opened
        self.own_cores: float = 0
        # Instances whose use of quotas is known here, with this one.
        self.hears = 1
        # Of these, the ones that this one hears itself. Only they are told
        # on: hubs that repeat each other's number never see it shrink.
        self.hears_directly = 1
        self._name = name
        self._incarnation = incarnation
        self._on_batch = on_batch
        self._fill = fill
        self._loop = asyncio.get_running_loop()
        self._server: aio.Server | None = None
        self._servicer: _Servicer | None = None
        self._places: dict[str, PeerPlace] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._peers: dict[str, Peer] = {}

    @property
    def peers(self) -> Mapping[str, Peer]:
        """Return all peers that count or were heard."""
        return self._peers

    @property
    def registered(self) -> frozenset[str]:
        """Return all instances that count and have a place, with this one."""
        return frozenset((*self._places, self._name))

    def serves(self, name: str) -> bool:
        """Return whether callers are sent to a peer."""
        place = self._places.get(name)
        return place is None or place.serves

    def cores(self, name: str) -> float:
        """Return the processor time that an instance has, 0 if unknown."""
        if name == self._name:
            return self.own_cores
        place = self._places.get(name)
        return 0 if place is None else place.cores

    @property
    def instances(self) -> int:
        """Return how many instances count and have a place, with this one."""
        return len(self._places) + 1

    @property
    def beat_s(self) -> float:
        """Return the time between two batches without content."""
        return _BEAT_S * max(1, len(self._places) / _FULL_RATE_PEERS)

    @property
    def lost_s(self) -> float:
        """Return after how long an unheard peer counts as lost."""
        return _LOST_BEATS * self.beat_s

    @property
    def silent_s(self) -> float:
        """Return after how long a stream without answers is opened anew."""
        return _SILENT_BEATS * self.beat_s

    def answers(self, peer: Peer, now: float) -> bool:
        """Return whether a peer is heard and hears this instance."""
        if now - peer.heard_at >= self.lost_s:
            return False
        return now - peer.answered_at < 2 * self.lost_s

    async def listen(self, address: str, read_state: ReadState) -> None:
        """Open the address; raise OSError where it is taken."""
        server = aio.server(options=(('grpc.so_reuseport', 0),))
        self._servicer = _Servicer(self.take, read_state)
        _add_servicer(self._servicer, server)
        try:
            port = server.add_insecure_port(address)
        except RuntimeError as exc:
            raise OSError(str(exc)) from exc
        if not port:
            raise OSError(f'{address} cannot be opened')
        await server.start()
        self._server = server

    def take_peers(self, places: Mapping[str, PeerPlace]) -> None:
        """Take names and places of all others."""
        self._places = dict(places)
        for name, outbox in tuple(self._outboxes.items()):
            if name not in places or places[name].address != outbox.address:
                self._unlink(name)
        for gone in self._peers.keys() - places.keys():
            self._peers.pop(gone)

    def link(self, names: frozenset[str]) -> None:
        """Keep streams to these peers and no others."""
        for name in self._outboxes.keys() - names:
            self._unlink(name)
        for name in names - self._outboxes.keys():
            self._link(name)

    def outgoing(self, name: str, *, urgent: bool) -> peers_pb2.Batch | None:
        """Return the batch that leaves next, None for an unknown peer."""
        outbox = self._outboxes.get(name)
        if outbox is None:
            return None
        if urgent:
            outbox.filled.set()
        return outbox.pending

    def fill(self, batch: peers_pb2.Batch, peer: Peer) -> None:
        """Add what every batch carries."""
        if batch.opened:
            batch.sender = self._name
            batch.incarnation = self._incarnation
        batch.question_us = int(self._loop.time() * _MICRO)
        batch.echo_us = peer.question_us
        batch.hears = self.hears_directly
        self._fill(peer, batch)

    async def fetch_state(self, name: str) -> bytes | None:
        """Return the desired state that a peer holds, None if it fails."""
        outbox = self._outboxes.get(name)
        if outbox is None or outbox.channel is None:
            return None
        stub = _stub(outbox.channel)
        try:
            reply = await stub.FetchState(
                peers_pb2.StateRequest(),
                timeout=_FETCH_S,
            )
        except RpcError as exc:
            self.on_lost(outbox.peer, exc)
            return None
        return bytes(reply.state)

    async def close(self) -> None:
        """End all streams."""
        tasks = [outbox.task for outbox in self._outboxes.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        if self._servicer is not None:
            await self._servicer.end_streams()
        if self._server is not None:
            await self._server.stop(_ENDING_S)

    def take(self, batch: peers_pb2.Batch) -> None:
        """Take a batch as it came."""
        peer = self._peers.setdefault(batch.sender, Peer(batch.sender))
        peer.heard_at = self._loop.time()
        peer.question_us = batch.question_us
        peer.leaving = batch.leaving
        peer.hears = batch.hears
        peer.knows_use = batch.knows_use
        if batch.sender not in self._outboxes:
            # It may be asking for something.
            self._link(batch.sender)
        asked_at = batch.echo_us / _MICRO
        # An echo of what an earlier run asked may lie ahead of this clock.
        if 0 < asked_at <= self._loop.time():
            peer.answered_at = max(peer.answered_at, asked_at)
        self._on_batch(peer, batch)

    def _link(self, name: str) -> None:
        place = self._places.get(name)
        if place is None:
            return
        peer = self._peers.setdefault(name, Peer(name))
        peer.linked_at = self._loop.time()
        self._outboxes[name] = _Outbox(self, peer, place.address)

    def _unlink(self, name: str) -> None:
        outbox = self._outboxes.pop(name)
        outbox.peer.linked_at = None
        outbox.task.cancel()


def _stub(channel: aio.Channel) -> peers_pb2_grpc.PeersStub:
    return peers_pb2_grpc.PeersStub(channel)  # type: ignore[no-untyped-call]


def _add_servicer(servicer: _Servicer, server: aio.Server) -> None:
    add = peers_pb2_grpc.add_PeersServicer_to_server
    add(servicer, server)  # type: ignore[no-untyped-call]
