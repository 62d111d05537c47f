"""The library's part of the streams between instances: sending, serving.

To load the library takes 50 ms of processor time, a third of a start, and
nothing of it is needed for the first answer to a caller. So only loading.py
loads this module, once callers can be answered.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from grpc import RpcError, aio

from .errors import TransportError
from .generated import peers_pb2, peers_pb2_grpc
from .peer import Peer, ReadState

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


class Links(Protocol):
    """What a stream needs of the links that it is one of."""

    on_lost: Callable[[Peer, Exception], None]
    on_opened: Callable[[Peer], None]

    @property
    def beat_s(self) -> float:
        """Return the time between two batches without content."""

    @property
    def silent_s(self) -> float:
        """Return after how long a stream without answers is opened anew."""

    def fill(self, batch: peers_pb2.Batch, peer: Peer) -> None:
        """Add what every batch carries."""


class Servicer(peers_pb2_grpc.PeersServicer):
    """Reads the streams of senders and answers what they ask."""

    def __init__(
        self,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        """Pass batches to `take`; `read_state` is what others fetch."""
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


class Outbox:
    """What waits to be sent to one peer, and the task that sends it."""

    def __init__(self, links: Links, peer: Peer, address: str) -> None:
        """Send to this address until the task is cancelled."""
        self.peer = peer
        self.address = address
        self.pending = peers_pb2.Batch()
        self.filled = asyncio.Event()
        self._channel: aio.Channel | None = None
        self._links = links
        self._loop = asyncio.get_running_loop()
        self.task = self._loop.create_task(self._run())

    async def fetch_state(self) -> bytes | None:
        """Return the desired state that the peer holds, None if it fails."""
        if self._channel is None:
            return None
        stub = _stub(self._channel)
        try:
            reply = await stub.FetchState(
                peers_pb2.StateRequest(),
                timeout=_FETCH_S,
            )
        except RpcError as exc:
            self._links.on_lost(self.peer, exc)
            return None
        return bytes(reply.state)

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
            self._channel = channel
            stub = _stub(channel)
            call = stub.Exchange()
            try:
                await self._send_batches(call)
            finally:
                self._channel = None
                call.cancel()

    async def _send_batches(
        self,
        call: aio.StreamUnaryCall[peers_pb2.Batch, peers_pb2.Closed],
    ) -> None:
        opened_at = self._loop.time()
        write_s = _CONNECT_S
        # What was queued for a first stream goes with its first batch.
        self.pending.opened = True
        self.peer.forget_told()
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


class Streams:
    """The streams of one instance, in both directions."""

    def __init__(self, links: Links) -> None:
        """Open nothing yet."""
        self._links = links
        self._servicer: Servicer | None = None
        self._server: aio.Server | None = None

    def open(self, peer: Peer, address: str) -> Outbox:
        """Return the sending end of a new stream."""
        return Outbox(self._links, peer, address)

    async def listen(
        self,
        address: str,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        """Open the address; raise OSError where it is taken.

        Batches go to `take`; `read_state` is what others fetch.
        """
        server = aio.server(options=(('grpc.so_reuseport', 0),))
        self._servicer = Servicer(take, read_state)
        _add_servicer(self._servicer, server)
        try:
            port = server.add_insecure_port(address)
        except RuntimeError as exc:
            raise OSError(str(exc)) from exc
        if not port:
            raise OSError(f'{address} cannot be opened')
        await server.start()
        self._server = server

    async def close(self) -> None:
        """End the streams that were opened here, then the address."""
        if self._servicer is not None:
            await self._servicer.end_streams()
        if self._server is not None:
            await self._server.stop(_ENDING_S)


def _stub(channel: aio.Channel) -> peers_pb2_grpc.PeersStub:
    return peers_pb2_grpc.PeersStub(channel)  # type: ignore[no-untyped-call]


def _add_servicer(servicer: Servicer, server: aio.Server) -> None:
    add = peers_pb2_grpc.add_PeersServicer_to_server
    add(servicer, server)  # type: ignore[no-untyped-call]
