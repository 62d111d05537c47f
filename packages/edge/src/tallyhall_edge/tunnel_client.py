"""Opens a tunnel to an upstream through another instance."""

from __future__ import annotations

import asyncio

from tallyhall_dispatch.tunnel_peers import TunnelPeer

from .client import ClientConnection
from .errors import InvalidTunnelMessageError
from .tunnel_messages import (
    LineBuffer,
    TunnelOutcome,
    TunnelRefusedError,
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
            outcome = decode_reply(line).outcome
        except InvalidTunnelMessageError:
            outcome = TunnelOutcome.lost
        if self.replied.done() or self._transport is None:
            return
        if outcome is TunnelOutcome.connected:
            # At once, so that an end of the tunnel is not missed.
            self._transport.set_protocol(self._conn)
            self._conn.connection_made(self._transport)
        self.replied.set_result(outcome)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.replied.done():
            self.replied.set_result(TunnelOutcome.lost)
