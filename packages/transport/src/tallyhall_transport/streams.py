"""The gRPC side of the streams between instances, client and server.

Importing the gRPC library takes 50 ms of processor time, a third of the start
of an instance, and the first answers to callers do not need it. So only
loading.py imports this module, once callers can be answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

from grpc import (
    RpcError,
    RpcMethodHandler,
    aio,
    method_handlers_generic_handler,
    stream_unary_rpc_method_handler,
)

from .errors import TransportError
from .generated import peers_pb2, peers_pb2_grpc
from .host_check import Registry, check_host
from .peer import Peer, ReadState

# Additional time for the first echo on a new stream.
_FIRST_ANSWER_TIMEOUT_S = 0.2
# Timeout of the first batch, which waits for the connection. A SYN packet to an
# instance that is just starting is lost and retransmitted after a second, so
# another connection is tried sooner. With the 0.8 s of later batches, seven
# instances that had all lost power heard each other only after 1.1 s.
_CONNECT_TIMEOUT_S = 0.3
_RECONNECT_PAUSE_S = 0.1
_FETCH_TIMEOUT_S = 0.5
# Time in which handlers that have ended can send their status to the peers.
_SHUTDOWN_GRACE_S = 0.1
_CHANNEL_OPTIONS = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_receive_message_length', 8_000_000),
)


# Concurrent calls on one connection; a peer makes two.
_MAX_CALLS = 3
# Bytes of a call that are received before it is read.
_WINDOW_BYTES = 16_384
# Name of the service in peers.proto.
_SERVICE = 'tallyhall.peers.v1.Peers'
# Timeout in milliseconds of a connection before its first settings, and of one
# without a call.
_HANDSHAKE_TIMEOUT_MS = 2000
_IDLE_TIMEOUT_MS = 10_000


class StreamOwner(Registry, Protocol):
    """The object that owns streams, as the streams use it."""

    on_lost: Callable[[Peer, Exception], None]
    on_opened: Callable[[Peer], None]
    max_connections: int

    @property
    def heartbeat_s(self) -> float:
        """Return the interval of heartbeats."""

    @property
    def echo_timeout_s(self) -> float:
        """Return the time after which a stream without echoes is reopened."""

    def complete_batch(self, batch: peers_pb2.Batch, peer: Peer) -> None:
        """Set the fields that every batch has."""


class Servicer(peers_pb2_grpc.PeersServicer):
    """Reads incoming streams and answers requests for the desired state."""

    def __init__(
        self,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        """Pass batches to `take`; `read_state` returns the desired state."""
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
        """End all incoming streams before the server cancels their handlers.

        The library logs a handler that the server cancels as an error, and
        peers that have not yet learned from the store that this instance is
        leaving are still sending.
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
            # These are 37 of the 59 bytes of a heartbeat, so they are sent
            # only once per stream.
            sender = batch.sender or sender
            incarnation = batch.incarnation or incarnation
            batch.sender = sender
            batch.incarnation = incarnation
            self._take(batch)


class Outbox:
    """The batch that is queued for one peer, and the task that sends it."""

    def __init__(self, owner: StreamOwner, peer: Peer, address: str) -> None:
        """Start a task that sends to `address` until it is cancelled."""
        self.peer = peer
        self.address = address
        self.pending = peers_pb2.Batch()
        self.has_content = asyncio.Event()
        self._channel: aio.Channel | None = None
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self.task = self._loop.create_task(self._run())

    async def fetch_state(self) -> bytes | None:
        """Fetch the peer's desired state; return None on failure."""
        if self._channel is None:
            return None
        stub = _stub(self._channel)
        try:
            reply = await stub.FetchState(
                peers_pb2.StateRequest(),
                timeout=_FETCH_TIMEOUT_S,
            )
        except RpcError as exc:
            self._owner.on_lost(self.peer, exc)
            return None
        return bytes(reply.state)

    async def _run(self) -> None:
        while True:
            try:
                await self._run_stream()
            except Exception as exc:  # noqa: BLE001
                # Also one batch that cannot be encoded must not end the task.
                self._owner.on_lost(self.peer, exc)
            self.pending = peers_pb2.Batch()
            await asyncio.sleep(_RECONNECT_PAUSE_S)

    async def _run_stream(self) -> None:
        async with aio.insecure_channel(
            self.address,
            options=_CHANNEL_OPTIONS,
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
        write_s = _CONNECT_TIMEOUT_S
        # What was queued before the first stream is sent in its first batch.
        self.pending.opened = True
        self.peer.reset_reported()
        self._owner.on_opened(self.peer)
        while True:
            batch = self.pending
            self.pending = peers_pb2.Batch()
            self.has_content.clear()
            self._owner.complete_batch(batch, self.peer)
            async with asyncio.timeout(write_s):
                await call.write(batch)
            write_s = self._owner.echo_timeout_s
            self._check_answers(opened_at)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._owner.heartbeat_s):
                    await self.has_content.wait()

    def _check_answers(self, opened_at: float) -> None:
        now = self._loop.time()
        silent_s = self._owner.echo_timeout_s
        if now - opened_at < _FIRST_ANSWER_TIMEOUT_S + silent_s:
            return
        if now - self.peer.echoed_at > silent_s:
            raise TransportError('the peer does not answer')


class GrpcStreams:
    """The outgoing and incoming streams of one instance."""

    def __init__(self, owner: StreamOwner) -> None:
        """Create an object without any stream or server."""
        self._owner = owner
        self._servicer: Servicer | None = None
        self._server: aio.Server | None = None

    def open(self, peer: Peer, address: str) -> Outbox:
        """Open a stream to a peer; return its outbox."""
        return Outbox(self._owner, peer, address)

    async def listen(
        self,
        address: str,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        """Listen on the address; raise OSError if it is in use.

        Batches are passed to `take`; `read_state` returns the desired state
        for peers that fetch it.
        """
        server = aio.server(
            options=(
                ('grpc.so_reuseport', 0),
                (
                    'grpc.max_allowed_incoming_connections',
                    self._owner.max_connections,
                ),
                ('grpc.max_concurrent_streams', _MAX_CALLS),
                ('grpc.http2.lookahead_bytes', _WINDOW_BYTES),
                ('grpc.http2.bdp_probe', 0),
                ('grpc.server_handshake_timeout_ms', _HANDSHAKE_TIMEOUT_MS),
                ('grpc.max_connection_idle_ms', _IDLE_TIMEOUT_MS),
            ),
        )
        self._servicer = Servicer(take, read_state)
        _add_servicer(self._servicer, self._owner, server)
        try:
            port = server.add_insecure_port(address)
        except RuntimeError as exc:
            raise OSError(str(exc)) from exc
        if not port:
            raise OSError(f'{address}: cannot listen')
        await server.start()
        self._server = server

    async def close(self) -> None:
        """End the incoming streams, then stop the server."""
        if self._servicer is not None:
            await self._servicer.end_streams()
        if self._server is not None:
            await self._server.stop(_SHUTDOWN_GRACE_S)


def _stub(channel: aio.Channel) -> peers_pb2_grpc.PeersStub:
    return peers_pb2_grpc.PeersStub(channel)  # type: ignore[no-untyped-call]


def _add_servicer(
    servicer: Servicer, registry: Registry, server: aio.Server
) -> None:
    """Register the calls.

    Both are registered as streams of requests: the library reads a single
    request before the call is handled.
    """
    handlers: dict[str, RpcMethodHandler[Any, Any]] = {
        'Exchange': stream_unary_rpc_method_handler(
            functools.partial(_exchange, servicer, registry),
            peers_pb2.Batch.FromString,
            peers_pb2.Closed.SerializeToString,
        ),
        'FetchState': stream_unary_rpc_method_handler(
            functools.partial(_fetch_state, servicer, registry),
            peers_pb2.StateRequest.FromString,
            peers_pb2.StateReply.SerializeToString,
        ),
    }
    generic = method_handlers_generic_handler(_SERVICE, handlers)
    server.add_generic_rpc_handlers((generic,))


async def _exchange(
    servicer: Servicer,
    registry: Registry,
    batches: AsyncIterator[peers_pb2.Batch],
    context: aio.ServicerContext[peers_pb2.Batch, peers_pb2.Closed],
) -> peers_pb2.Closed:
    await check_host(context, registry)
    return await servicer.Exchange(batches, context)


async def _fetch_state(
    servicer: Servicer,
    registry: Registry,
    requests: AsyncIterator[peers_pb2.StateRequest],
    context: aio.ServicerContext[peers_pb2.StateRequest, peers_pb2.StateReply],
) -> peers_pb2.StateReply:
    """Answer a request, which is empty and not read."""
    await check_host(context, registry)
    return await servicer.FetchState(peers_pb2.StateRequest(), context)
