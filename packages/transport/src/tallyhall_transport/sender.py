"""Sends messages to peers, with a thread and a channel per active peer.

A unary call costs far more than the messages in it, so all messages queued
during a call are sent together in the next one. A failed batch is sent once
more, so a message may arrive twice or not at all.
"""

from __future__ import annotations

import dataclasses
import queue
import threading
from collections.abc import Callable

import grpc
from tallyhall_core.messages import Message, encode

from .generated import link_pb2, link_pb2_grpc

_CALL_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 30.0
_MAX_BATCH = 256
_MAX_ATTEMPTS = 2
_QUEUE_SIZE = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Parcel:
    sender: str
    to: str
    message: Message


class Sender:
    """Sends messages to peers, which are identified by their RPC address."""

    def __init__(
        self,
        own_address: str,
        on_down: Callable[[str], None],
    ) -> None:
        """Call `on_down(address)` if a peer is unreachable."""
        self._own = own_address
        self._on_down = on_down
        self._lock = threading.Lock()
        self._peers: dict[str, _Peer] = {}

    def send(
        self,
        address: str,
        sender: str,
        to: str,
        message: Message,
    ) -> None:
        """Queue a message; never blocks."""
        parcel = _Parcel(sender, to, message)
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = _Peer(
                    address,
                    self._own,
                    self._on_down,
                    self._discard_if_idle,
                )
                self._peers[address] = peer
            peer.put(parcel)

    def _discard_if_idle(self, peer: _Peer) -> bool:
        # Holds the lock that `send` uses, so that no message can be queued
        # for a thread that has ended.
        with self._lock:
            if not peer.is_idle():
                return False
            self._peers.pop(peer.address, None)
            return True


class _Peer:
    def __init__(
        self,
        address: str,
        own: str,
        on_down: Callable[[str], None],
        discard_if_idle: Callable[[_Peer], bool],
    ) -> None:
        self.address = address
        self._own = own
        self._on_down = on_down
        self._discard_if_idle = discard_if_idle
        self._queue: queue.Queue[_Parcel] = queue.Queue(_QUEUE_SIZE)
        threading.Thread(
            target=self._run,
            name=f'send-{address}',
            daemon=True,
        ).start()

    def put(self, parcel: _Parcel) -> None:
        try:
            self._queue.put_nowait(parcel)
        except queue.Full:
            # The peer has accepted nothing for a long time, so it counts as
            # down.
            self._on_down(self.address)

    def is_idle(self) -> bool:
        return self._queue.empty()

    def _run(self) -> None:
        options = [
            ('grpc.enable_http_proxy', 0),
            ('grpc.initial_reconnect_backoff_ms', 100),
            ('grpc.min_reconnect_backoff_ms', 100),
            ('grpc.max_reconnect_backoff_ms', 500),
        ]
        with grpc.insecure_channel(self.address, options=options) as channel:
            stub = link_pb2_grpc.LinkStub(  # type: ignore[no-untyped-call]
                channel,
            )
            while True:
                batch = self._next_batch()
                if batch is not None:
                    self._deliver(stub, batch)
                elif self._discard_if_idle(self):
                    return

    def _next_batch(self) -> link_pb2.Batch | None:
        try:
            parcels = [self._queue.get(timeout=_IDLE_TIMEOUT_S)]
        except queue.Empty:
            return None
        while len(parcels) < _MAX_BATCH and not self._queue.empty():
            parcels.append(self._queue.get_nowait())
        return link_pb2.Batch(
            sender_address=self._own,
            parcels=[
                link_pb2.Parcel(
                    sender=parcel.sender,
                    to=parcel.to,
                    message=encode(parcel.message),
                )
                for parcel in parcels
            ],
        )

    def _deliver(
        self,
        stub: link_pb2_grpc.LinkStub,
        batch: link_pb2.Batch,
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                stub.Deliver(batch, timeout=_CALL_TIMEOUT_S)
            except grpc.RpcError as exc:
                if _code(exc) == grpc.StatusCode.UNAVAILABLE:
                    self._on_down(self.address)
                    return
                continue
            return


def _code(exc: grpc.RpcError) -> grpc.StatusCode | None:
    # The error of a call is also a grpc.Call, which the type stubs omit.
    call: object = exc
    return call.code() if isinstance(call, grpc.Call) else None
