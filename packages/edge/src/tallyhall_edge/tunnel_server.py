"""Takes tunnels of other instances to upstreams that they do not reach.

A tunnel is a pair of connections whose bytes are passed on unchanged, those of
the upstream in frames. The other instance keeps the request with its quota,
retries and deadline; this one never passes a tunnel on to a third instance.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.link_monitor import LinkFailure

from .connection_memory import ConnectionMemory, MemoryMonitor
from .errors import InvalidTunnelMessageError
from .listening import listen
from .sockets import (
    pending_error,
    reset_delay_s,
    set_keepalive,
    unacknowledged_bytes,
)
from .tunnel_frames import encode_end, encode_frame
from .tunnel_messages import (
    LineBuffer,
    TunnelOutcome,
    TunnelReply,
    TunnelRequest,
    decode_request,
    encode_line,
)

# Timeout in seconds to connect to an upstream; the other instance waits for it.
CONNECT_TIMEOUT_S = 0.2
# Maximum time in seconds from the connection to the request for a tunnel.
_REQUEST_TIMEOUT_S = 0.5
# Unsent bytes from which on the other side of a tunnel is not read.
_MAX_UNSENT_BYTES = 65_536
# Connections for each tunnel that is allowed; those beyond the allowed ones are
# told so.
_CONNECTIONS_PER_TUNNEL = 2


class TunnelEnd(msgspec.Struct, frozen=True):
    """What is known of a tunnel that has ended.

    sent and received: bytes to and from the upstream.
    """

    request: TunnelRequest
    total_s: float
    sent: int
    received: int


class TunnelListener(Protocol):
    """Receives what becomes of the tunnels through this instance."""

    def on_tunnel_replied(
        self, request: TunnelRequest, outcome: TunnelOutcome
    ) -> None:
        """Handle the reply to a request."""

    def on_tunnel_ended(self, end: TunnelEnd) -> None:
        """Handle the end of an open tunnel."""


class UpstreamAccess(Protocol):
    """What this instance knows of upstreams and other instances."""

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance reaches no upstream itself."""

    def upstream(self, incarnation: str) -> Upstream | None:
        """Return an upstream that takes requests, None for all others."""

    def is_peer(self, host: str) -> bool:
        """Return whether an instance is registered at this IP address."""

    def record_not_connected(
        self, upstream: Upstream, failure: LinkFailure
    ) -> None:
        """Record that an upstream was not connected for another instance."""


class TunnelServer:
    """Accepts tunnels on one address."""

    def __init__(
        self,
        access: UpstreamAccess,
        listener: TunnelListener,
        max_tunnels: int,
        memory: MemoryMonitor | None = None,
    ) -> None:
        """Accept up to `max_tunnels` at a time.

        memory: counts what the connections hold; None for no limit.
        """
        self.memory = memory
        self.access = access
        self.listener = listener
        # Refuse all further tunnels.
        self.stopping = False
        self._max_tunnels = max_tunnels
        self._tunnels: set[_PeerSide] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if it is in use."""
        self._server = await listen(lambda: _PeerSide(self), host, port)

    @property
    def open_tunnels(self) -> int:
        """Return the number of connections of other instances."""
        return len(self._tunnels)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def abort_all(self) -> None:
        """Reset all tunnels."""
        for side in tuple(self._tunnels):
            side.abort()

    @property
    def is_full(self) -> bool:
        """Return whether further connections are reset without a reply."""
        limit = _CONNECTIONS_PER_TUNNEL * self._max_tunnels
        return len(self._tunnels) >= limit

    def add(self, side: _PeerSide) -> bool:
        """Register a connection; return False if it is not accepted."""
        self._tunnels.add(side)
        return not self.stopping and len(self._tunnels) <= self._max_tunnels

    def discard(self, side: _PeerSide) -> None:
        """Unregister a connection."""
        self._tunnels.discard(side)

    async def connect(
        self, request: TunnelRequest, side: _PeerSide
    ) -> TunnelOutcome:
        """Connect the upstream for a request."""
        upstream = self.access.upstream(request.upstream)
        if upstream is None:
            return TunnelOutcome.unknown_upstream
        if self.access.is_isolated:
            return TunnelOutcome.isolated
        upstream_side = _UpstreamSide(
            side, self.memory, is_framed=request.framed
        )
        outcome = await _connect(upstream, upstream_side)
        if outcome is not TunnelOutcome.connected:
            failure = LinkFailure.timed_out
            if outcome is TunnelOutcome.refused:
                failure = LinkFailure.refused
            self.access.record_not_connected(upstream, failure)
        return outcome


async def _connect(upstream: Upstream, side: _UpstreamSide) -> TunnelOutcome:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.create_connection(
                lambda: side, upstream.host, upstream.port
            )
    except ConnectionRefusedError:
        return TunnelOutcome.refused
    except (OSError, TimeoutError):
        return TunnelOutcome.unreachable
    return TunnelOutcome.connected


class _Side(asyncio.Protocol):
    """One of the two connections of a tunnel."""

    def __init__(self, memory: MemoryMonitor | None) -> None:
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.received = 0
        self._monitor = memory
        self._memory: ConnectionMemory | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self.transport = transport
        set_keepalive(transport)
        transport.set_write_buffer_limits(_MAX_UNSENT_BYTES)
        if self._monitor is not None:
            self._memory = ConnectionMemory(
                self._monitor, transport, self.abort
            )

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        if self.other is not None:
            self.other.write(self.encode(data))

    def encode(self, payload: bytes) -> bytes:
        """Return received bytes as they are passed on."""
        return payload

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other side: after its unsent bytes, unless it was reset."""
        self.transport = None
        if self._memory is not None:
            self._memory.release()
            self._memory = None
        other = self.other
        if other is None or other.transport is None:
            return
        self.other = None
        if exc is None:
            other.transport.close()
        else:
            other.abort()

    def pause_writing(self) -> None:
        if self._memory is not None:
            self._memory.begin_unread(self._loop.time())
        if self.other is not None:
            self.other.pause()

    def resume_writing(self) -> None:
        if self._memory is not None:
            self._memory.end_unread()
        if self.other is not None:
            self.other.resume()

    def write(self, payload: bytes) -> None:
        if self.transport is not None:
            self.transport.write(payload)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()
        if self._memory is not None:
            self._memory.reading_paused()

    def resume(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()
        if self._memory is not None:
            self._memory.reading_resumed()


class _UpstreamSide(_Side):
    """The connection to the upstream; `is_framed` if the peer reads frames."""

    def __init__(
        self, side: _PeerSide, memory: MemoryMonitor | None, *, is_framed: bool
    ) -> None:
        super().__init__(memory)
        self.other = side
        self._is_framed = is_framed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peer_side = self.other
        if peer_side is None or peer_side.transport is None:
            # The other instance did not wait for it.
            self.abort()
            return
        peer_side.other = self

    def encode(self, payload: bytes) -> bytes:
        return encode_frame(payload) if self._is_framed else payload

    def eof_received(self) -> bool:
        """Tell of an end in order, if need be once no reset can follow."""
        if self.other is None or not self._has_received_all():
            return False
        delay_s = reset_delay_s(self.other.received)
        if delay_s:
            self._loop.call_later(delay_s, self._end_unless_reset)
            return True
        self._tell_end()
        return False

    def _has_received_all(self) -> bool:
        """Return whether the upstream got all that came for it so far."""
        transport = self.transport
        if transport is None or pending_error(transport):
            return False
        return not unacknowledged_bytes(transport)

    def _end_unless_reset(self) -> None:
        if self._has_received_all():
            self._tell_end()
        if self.transport is not None:
            self.transport.close()

    def _tell_end(self) -> None:
        if self.other is not None and self._is_framed:
            self.other.write(encode_end(self.other.received))


class _PeerSide(_Side):
    """The connection of the other instance, which asks for the tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__(server.memory)
        self._server = server
        self._line = LineBuffer()
        self._request: TunnelRequest | None = None
        self._opening: asyncio.Task[None] | None = None
        self._opened_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_accepted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peername = transport.get_extra_info('peername')
        is_peer = peername and self._server.access.is_peer(peername[0])
        if self._server.is_full or not is_peer:
            self.abort()
            return
        self._is_accepted = self._server.add(self)
        self._timer = self._loop.call_later(_REQUEST_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        if self._opened_at is not None:
            super().data_received(data)
            return
        try:
            line = self._line.feed(data)
            if line is None:
                return
            self._request = decode_request(line)
        except InvalidTunnelMessageError:
            self.abort()
            return
        self._stop_timer()
        if self._opening is None:
            self._opening = asyncio.create_task(self._open(self._request))

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.discard(self)
        self._stop_timer()
        if self._opening is not None:
            self._opening.cancel()
        upstream_side = self.other
        super().connection_lost(exc)
        request = self._request
        if request is None or self._opened_at is None:
            return
        self._server.listener.on_tunnel_ended(
            TunnelEnd(
                request,
                self._loop.time() - self._opened_at,
                self.received,
                0 if upstream_side is None else upstream_side.received,
            )
        )

    async def _open(self, request: TunnelRequest) -> None:
        outcome = TunnelOutcome.busy
        if self._is_accepted:
            outcome = await self._server.connect(request, self)
        if self.transport is None:
            return
        self._server.listener.on_tunnel_replied(request, outcome)
        self.write(encode_line(TunnelReply(outcome, request.framed)))
        if outcome is TunnelOutcome.connected:
            self._opened_at = self._loop.time()
            self._pass_on_end()
        else:
            self.transport.close()

    def _pass_on_end(self) -> None:
        """End the tunnel if the upstream closed it before the reply."""
        if self.other is None or self.other.transport is None:
            self.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
