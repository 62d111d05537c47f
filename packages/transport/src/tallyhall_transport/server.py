"""A gRPC server that receives messages for the instance."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures

import grpc
from tallyhall_core.messages import BadMessageError, Message, decode

from .errors import TransportError
from .generated import link_pb2, link_pb2_grpc

_THREADS = 8
# Maximum of connections, of calls on each of them, and of all calls that run or
# wait for a thread.
_MAX_CONNECTIONS = 500
_MAX_CALLS_PER_CONNECTION = 8
_MAX_CALLS = 1000
# Timeout in milliseconds of a connection before its first settings, and of one
# without a call.
_HANDSHAKE_TIMEOUT_MS = 2000
_IDLE_TIMEOUT_MS = 60_000
_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_allowed_incoming_connections', _MAX_CONNECTIONS),
    ('grpc.max_concurrent_streams', _MAX_CALLS_PER_CONNECTION),
    ('grpc.server_handshake_timeout_ms', _HANDSHAKE_TIMEOUT_MS),
    ('grpc.max_connection_idle_ms', _IDLE_TIMEOUT_MS),
)


class MessageReceiver(link_pb2_grpc.LinkServicer):
    """Decodes batches; invalid messages are counted and skipped."""

    def __init__(
        self,
        on_message: Callable[[str, str, str, Message], None],
        on_bad: Callable[[], None],
    ) -> None:
        """Call `on_message(sender, sender address, to, message)` or `on_bad`.

        on_bad: called for each message that cannot be decoded.
        """
        self._on_message = on_message
        self._on_bad = on_bad

    def Deliver(
        self,
        request: link_pb2.Batch,
        context: grpc.ServicerContext,
    ) -> link_pb2.Ack:
        """Decode one batch and pass its messages on."""
        for parcel in request.parcels:
            try:
                message = decode(parcel.message)
            except BadMessageError:
                self._on_bad()
                continue
            self._on_message(
                parcel.sender,
                request.sender_address,
                parcel.to,
                message,
            )
        return link_pb2.Ack()


def start_server(address: str, receiver: MessageReceiver) -> grpc.Server:
    """Start a server; raise TransportError if it cannot listen."""
    server = grpc.server(
        futures.ThreadPoolExecutor(_THREADS, 'link'),
        options=_OPTIONS,
        maximum_concurrent_rpcs=_MAX_CALLS,
    )
    link_pb2_grpc.add_LinkServicer_to_server(  # type: ignore[no-untyped-call]
        receiver,
        server,
    )
    try:
        server.add_insecure_port(address)
    except RuntimeError as exc:
        raise TransportError(f'cannot listen on {address}') from exc
    server.start()
    return server
