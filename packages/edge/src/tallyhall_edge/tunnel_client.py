"""Opens a tunnel to an upstream through another instance."""

from __future__ import annotations

import asyncio

from tallyhall_dispatch.tunnel_peers import TunnelPeer

from .client import ClientConnection
from .errors import InvalidTunnelMessageError
from .tunnel_frames import FrameDecoder
from .tunnel_messages import (
    LineBuffer,
    TunnelOutcome,
    TunnelRefusedError,
    TunnelReply,
    TunnelRequest,
    decode_reply,
    encode_line,
)


async def open_tunnel(
    peer: TunnelPeer,
    request: TunnelRequest,
    conn: ClientConnection,
    timeout_s: float,
) -> None:
    """Connect `conn` to an upstream through a peer.

    Raises TunnelRefusedError. Until this returns, nothing was sent to the
    upstream.
    """
    loop = asyncio.get_running_loop()
    opening = _Opening(request, conn)
    transport: asyncio.Transport | None = None
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(
                lambda: opening, peer.address.host, peer.address.port
            )
            outcome = await opening.replied
    except (OSError, TimeoutError):
        outcome = TunnelOutcome.lost
    except asyncio.CancelledError:
        _abort(transport)
        raise
    if outcome is not TunnelOutcome.connected:
        _abort(transport)
        raise TunnelRefusedError(peer.name, outcome)


def _abort(transport: asyncio.Transport | None) -> None:
    if transport is not None:
        transport.abort()


class _Opening(asyncio.Protocol):
    """Sends the request and hands the transport over with the reply."""

    def __init__(self, request: TunnelRequest, conn: ClientConnection) -> None:
        loop = asyncio.get_running_loop()
        self.replied: asyncio.Future[TunnelOutcome] = loop.create_future()
        self._request = request
        self._conn = conn
        self._line = LineBuffer()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        transport.write(encode_line(self._request))

    def data_received(self, data: bytes) -> None:
        try:
            line = self._line.feed(data)
            if line is None:
                return
            reply = decode_reply(line)
        except InvalidTunnelMessageError:
            reply = TunnelReply(TunnelOutcome.lost)
        if self.replied.done() or self._transport is None:
            return
        if reply.outcome is TunnelOutcome.connected:
            # At once, so that an end of the tunnel is not missed.
            self._hand_over(self._transport, is_framed=reply.framed)
        self.replied.set_result(reply.outcome)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.replied.done():
            self.replied.set_result(TunnelOutcome.lost)

    def _hand_over(
        self, transport: asyncio.Transport, *, is_framed: bool
    ) -> None:
        conn = self._conn
        transport.set_protocol(_FramedTunnel(conn) if is_framed else conn)
        conn.connection_made(transport)


class _FramedTunnel(asyncio.Protocol):
    """Passes what comes in frames on to a connection."""

    def __init__(self, conn: ClientConnection) -> None:
        self._conn = conn
        self._frames = FrameDecoder()

    def data_received(self, data: bytes) -> None:
        for payload in self._frames.feed(data):
            self._conn.data_received(payload)
        received = self._frames.received_at_end
        if received is not None:
            self._conn.end_through_peer(received)

    def eof_received(self) -> bool:
        return self._conn.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._conn.connection_lost(exc)

    def pause_writing(self) -> None:
        self._conn.pause_writing()

    def resume_writing(self) -> None:
        self._conn.resume_writing()
