"""Answers without a length through a tunnel between two endpoints."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.link_monitor import LinkFailure
from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.tunnel_peers import TunnelPeer
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import ConnectionFailedError
from tallyhall_edge.messages import ResponseHead
from tallyhall_edge.tunnel_client import open_tunnel
from tallyhall_edge.tunnel_messages import TunnelOutcome, TunnelRequest
from tallyhall_edge.tunnel_server import TunnelEnd, TunnelServer
from tallyhall_standins.early import (
    RESETS_AFTER_S,
    EarlyUpstream,
    answer_after_upload,
)

from tests.platform.harness import HOST

_UPLOADS = (5, 8_000, 60_000, 400_000, 3_000_000)
_BODY = b'the whole body'
_SAMPLES = 4


class _Access:
    """One upstream, which all instances may reach."""

    is_isolated = False

    def __init__(self, port: int) -> None:
        self._port = port

    def upstream(self, incarnation: str) -> Upstream | None:
        return Upstream(
            'u', 'svc', HOST, self._port, 'a', slots=1, leaving=False
        )

    def is_peer(self, host: str) -> bool:
        return True

    def record_not_connected(
        self, upstream: Upstream, failure: LinkFailure
    ) -> None:
        """Keep nothing."""

    def on_tunnel_replied(
        self, request: TunnelRequest, outcome: TunnelOutcome
    ) -> None:
        """Keep nothing."""

    def on_tunnel_ended(self, end: TunnelEnd) -> None:
        """Keep nothing."""


class _Sink:
    """Receives one answer."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[bool] = loop.create_future()
        self.body = b''

    def on_head(self, head: ResponseHead) -> None:
        """Keep nothing."""

    def on_data(self, payload: bytes) -> None:
        self.body += payload

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        self.ended.set_result(exc is None)


@contextlib.asynccontextmanager
async def _tunnels(port: int) -> AsyncIterator[TunnelPeer]:
    access = _Access(port)
    server = TunnelServer(access, access, 8)
    place = Listening(HOST, free_ports(1)[0])
    await server.listen(place.host, place.port)
    yield TunnelPeer('peer', place, 'a')
    server.close()
    server.abort_all()


async def _upload(
    peer: TunnelPeer, size: int, *, framed: bool = True
) -> tuple[bool, bytes]:
    """Send an upload; return whether its answer is whole, and its body."""
    conn = ClientConnection()
    conn.via = peer.name
    request = TunnelRequest('u', 'asker', 't1', framed=framed)
    await open_tunnel(peer, request, conn, 1)
    sink = _Sink()
    head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
    conn.send(head, sink, b'', (b'x' * size,))
    async with asyncio.timeout(5):
        is_whole = await sink.ended
    conn.close()
    return is_whole, sink.body


@pytest.mark.parametrize('size', _UPLOADS)
async def test_answer_to_an_upload_that_was_read_is_whole(size: int) -> None:
    port = free_ports(1)[0]
    serve = functools.partial(answer_after_upload, size)
    server = await asyncio.start_server(serve, HOST, port)
    async with server, _tunnels(port) as peer:
        assert await _upload(peer, size) == (True, _BODY)


@pytest.mark.parametrize('size', _UPLOADS[1:])
@pytest.mark.parametrize('reset_after_s', RESETS_AFTER_S)
async def test_part_of_an_answer_to_an_unread_upload_is_not_whole(
    size: int, reset_after_s: float | None
) -> None:
    port = free_ports(1)[0]
    early = EarlyUpstream(resets_after_s=(reset_after_s,))
    async with early.serving(HOST, port), _tunnels(port) as peer:
        for _ in range(_SAMPLES):
            is_whole, _ = await _upload(peer, size)
            assert not is_whole


async def test_an_instance_that_reads_no_frames_gets_the_bytes_alone() -> None:
    port = free_ports(1)[0]
    serve = functools.partial(answer_after_upload, 5)
    server = await asyncio.start_server(serve, HOST, port)
    async with server, _tunnels(port) as peer:
        assert await _upload(peer, 5, framed=False) == (False, _BODY)
