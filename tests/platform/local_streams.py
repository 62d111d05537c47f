"""Streams between the instances of one process, without gRPC.

gRPC works in threads of its own, which a paused clock does not wait for. These
streams deliver encoded batches in the event loop instead; tests of gRPC itself
are in test_peer_streams.py and tests/processes.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any
from unittest import mock

from tallyhall_transport import peer_streams
from tallyhall_transport.errors import TransportError
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, ReadState
from tallyhall_transport.streams import GrpcStreams, Outbox, Servicer

_servicers: dict[str, Servicer] = {}


class LocalStreams(GrpcStreams):
    """The streams of one instance to others in this process."""

    async def listen(
        self,
        address: str,
        take: Callable[[peers_pb2.Batch], None],
        read_state: ReadState,
    ) -> None:
        """Accept streams to this address."""
        self._address = address
        self._servicer = Servicer(take, read_state)
        _servicers[address] = self._servicer

    def open(self, peer: Peer, address: str) -> Outbox:
        """Open a stream to a peer; return its outbox."""
        return _LocalOutbox(self._owner, peer, address)

    async def close(self) -> None:
        """End the incoming streams and accept no others."""
        _servicers.pop(self._address, None)
        await super().close()


class _LocalOutbox(Outbox):
    async def fetch_state(self) -> bytes | None:
        servicer = _servicers.get(self.address)
        if servicer is None:
            return None
        context: Any = None
        reply = await servicer.FetchState(peers_pb2.StateRequest(), context)
        return bytes(reply.state)

    async def _run_stream(self) -> None:
        servicer = _servicers.get(self.address)
        if servicer is None:
            raise TransportError(f'{self.address}: nothing listens')
        call: Any = _LocalCall(servicer)
        try:
            await self._send_batches(call)
        finally:
            call.cancel()


class _LocalCall:
    """A call of Exchange, with the errors of the library."""

    def __init__(self, servicer: Servicer) -> None:
        self._raw: asyncio.Queue[bytes] = asyncio.Queue()
        context: Any = None
        self._task = asyncio.ensure_future(
            servicer.Exchange(self._batches(), context)
        )

    async def write(self, batch: peers_pb2.Batch) -> None:
        if self._task.done():
            raise asyncio.InvalidStateError
        self._raw.put_nowait(batch.SerializeToString())

    def cancel(self) -> None:
        self._task.cancel()

    async def _batches(self) -> AsyncIterator[peers_pb2.Batch]:
        while True:
            yield peers_pb2.Batch.FromString(await self._raw.get())


@contextlib.contextmanager
def local_streams() -> Iterator[None]:
    """Let instances that are started inside the context use these streams."""
    with mock.patch.object(peer_streams, 'load_streams', _load):
        yield


async def _load() -> type[LocalStreams]:
    return LocalStreams
