"""Connects upstreams, directly or through another instance.

What one instance sees of an upstream is not the state of the upstream: its own
link may be lost. If a direct connection fails at once, or if this instance
counts as isolated, another instance is asked for a tunnel. The request stays
here with its quota, retries and deadline.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
from typing import Protocol

from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.link_monitor import LinkFailure, LinkMonitor
from tallyhall_dispatch.tunnel_peers import TunnelPeer, TunnelPeers

from .client import ClientConnection
from .connection_memory import MemoryMonitor
from .errors import NoPathError, NotSentError
from .tunnel_client import open_tunnel
from .tunnel_messages import (
    PEER_FAILURES,
    VERDICTS,
    TunnelOutcome,
    TunnelRefusedError,
    TunnelRequest,
)
from .tunnel_server import CONNECT_TIMEOUT_S

# Timeout in seconds for a tunnel: to reach the other instance, and for that one
# to connect the upstream.
_PEER_TIMEOUT_S = 0.05
_TUNNEL_TIMEOUT_S = _PEER_TIMEOUT_S + CONNECT_TIMEOUT_S
# Maximum number of instances that are asked for one tunnel.
_MAX_PEERS = 3
# Instances that an isolated one asks before it takes an upstream for lost, as
# one that is asked may be isolated without knowing it.
_MIN_VERDICTS_ISOLATED = 2


class PathListener(Protocol):
    """Receives what this instance learns of its links."""

    def on_isolated(self, failed: frozenset[str], *, silent: bool) -> None:
        """Handle that this instance counts as isolated from now on.

        failed: the upstreams that show it. silent: whether any of them neither
        refused nor reset a connection.
        """

    def on_suspected(self) -> None:
        """Handle that the links must be checked."""

    def on_recovered(self) -> None:
        """Handle that an upstream answers directly again."""

    def on_tunnel_asked(self, outcome: TunnelOutcome) -> None:
        """Handle the outcome of a request for a tunnel."""


class UpstreamPaths:
    """The ways of one instance to its upstreams."""

    def __init__(
        self,
        instance: str,
        links: LinkMonitor,
        peers: TunnelPeers,
        listener: PathListener,
        id_header: bytes,
        connect_timeout_s: float,
        memory: MemoryMonitor | None = None,
    ) -> None:
        """Use tunnels through these peers where links fail.

        instance: name of this instance. id_header: lower-case name of the
        header in which upstreams echo request ids. memory: counts what the
        connections hold; None for no limit.
        """
        self._instance = instance
        self._links = links
        self._peers = peers
        self._listener = listener
        self._id_header = id_header
        self._connect_timeout_s = connect_timeout_s
        self._memory = memory
        self._tunnel_numbers = itertools.count()
        self._loop = asyncio.get_running_loop()

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance reaches no upstream itself."""
        return self._links.is_isolated

    def may_reuse(self, conn: ClientConnection) -> bool:
        """Return whether an idle connection may carry another request."""
        return not conn.via or self._peers.is_usable(conn.via)

    async def connect(self, upstream: Upstream) -> ClientConnection:
        """Return a new connection to an upstream.

        Raises NotSentError, or NoPathError if the failure says nothing about
        the upstream.
        """
        failure: NotSentError | None = None
        if self._links.is_direct(upstream.incarnation, self._loop.time()):
            try:
                return await self._connect_directly(upstream)
            except NotSentError as exc:
                if _is_timeout(exc) and not self.is_isolated:
                    # The request has waited long enough for this upstream.
                    raise
                failure = exc
        conn = await self._connect_through_peer(upstream)
        if conn is not None:
            return conn
        if failure is None:
            return await self._connect_directly(upstream)
        if self.is_isolated:
            raise NoPathError(str(failure)) from failure
        raise failure

    async def refuses(self, upstream: Upstream, timeout_s: float) -> bool:
        """Return whether nothing listens at the address of an upstream.

        Other instances are asked, too: none of them may connect it.
        """
        try:
            conn = await ClientConnection.open(
                upstream.host, upstream.port, timeout_s
            )
        except NotSentError as exc:
            if not isinstance(exc.__cause__, ConnectionRefusedError):
                return False
        else:
            conn.close()
            return False
        self.record_failure(upstream)
        return await self._is_refused_to_peers(upstream)

    def record_answer(self, upstream: Upstream) -> None:
        """Record that an upstream answers on a new direct connection."""
        if self._links.record_answer(upstream.incarnation):
            self._listener.on_recovered()

    def record_released(
        self, upstream: Upstream, conn: ClientConnection
    ) -> None:
        """Record how a connection fared when its request has ended."""
        if conn.was_lost and not conn.is_proven and not conn.via:
            self.record_failure(upstream)

    def record_silence(
        self, upstream: Upstream, conn: ClientConnection, asked_at: float
    ) -> None:
        """Record that a request that was sent at `asked_at` has no answer."""
        if conn.via:
            return
        if self._links.record_silence(upstream.incarnation, asked_at):
            self._listener.on_suspected()

    def record_failure(
        self,
        upstream: Upstream,
        failure: LinkFailure = LinkFailure.refused,
    ) -> None:
        """Record that a new direct connection failed before any answer."""
        now = self._loop.time()
        if self._links.record_failure(upstream.incarnation, failure, now):
            self._report_isolated()

    def confirm_isolated(self) -> None:
        """Record that none of the upstreams that were asked answers."""
        if self._links.confirm_isolated(self._loop.time()):
            self._report_isolated()

    # -- direct connections

    async def _connect_directly(self, upstream: Upstream) -> ClientConnection:
        try:
            conn = await ClientConnection.open(
                upstream.host,
                upstream.port,
                self._connect_timeout_s,
                self._id_header,
                self._memory,
            )
        except NotSentError as exc:
            failure = LinkFailure.refused
            if _is_timeout(exc):
                failure = LinkFailure.timed_out
                self._links.avoid(upstream.incarnation, self._loop.time())
            self.record_failure(upstream, failure)
            if self.is_isolated:
                raise NoPathError(str(exc)) from exc.__cause__
            raise
        conn.on_received = functools.partial(self._on_received, upstream)
        return conn

    def _on_received(self, upstream: Upstream, conn: ClientConnection) -> None:
        self._links.record_data(self._loop.time())
        if not conn.is_proven:
            self.record_answer(upstream)

    def _report_isolated(self) -> None:
        self._listener.on_isolated(
            self._links.failed, silent=self._links.is_silent
        )

    # -- tunnels

    async def _connect_through_peer(
        self, upstream: Upstream
    ) -> ClientConnection | None:
        """Return a tunnel to an upstream, None if no peer can tell.

        Raises NotSentError if other instances do not reach it either.
        """
        tried: set[str] = set()
        verdicts = 0
        while len(tried) < _MAX_PEERS:
            peer = self._choose_peer(upstream, tried)
            if peer is None:
                return None
            tried.add(peer.name)
            try:
                return await self._open_tunnel(peer, upstream)
            except TunnelRefusedError as exc:
                if exc.outcome not in VERDICTS:
                    continue
                verdicts += 1
                if verdicts >= self._needed_verdicts:
                    raise
        return None

    @property
    def _needed_verdicts(self) -> int:
        return _MIN_VERDICTS_ISOLATED if self.is_isolated else 1

    async def _is_refused_to_peers(self, upstream: Upstream) -> bool:
        tried: set[str] = set()
        while len(tried) < _MAX_PEERS:
            peer = self._choose_peer(upstream, tried)
            if peer is None:
                break
            tried.add(peer.name)
            try:
                conn = await self._open_tunnel(peer, upstream)
            except TunnelRefusedError as exc:
                if exc.outcome in VERDICTS and not self.is_isolated:
                    return True
                continue
            conn.close()
            return False
        return True

    def _choose_peer(
        self, upstream: Upstream, tried: set[str]
    ) -> TunnelPeer | None:
        return self._peers.choose(
            upstream.zone, frozenset(tried), self._loop.time()
        )

    async def _open_tunnel(
        self, peer: TunnelPeer, upstream: Upstream
    ) -> ClientConnection:
        conn = ClientConnection(self._id_header, self._memory)
        conn.via = peer.name
        conn.tunnel = f'{self._instance}/{next(self._tunnel_numbers)}'
        request = TunnelRequest(
            upstream.incarnation, self._instance, conn.tunnel, framed=True
        )
        try:
            await open_tunnel(peer, request, conn, _TUNNEL_TIMEOUT_S)
        except TunnelRefusedError as exc:
            self._listener.on_tunnel_asked(exc.outcome)
            if exc.outcome in PEER_FAILURES:
                self._peers.record_failed(peer.name, self._loop.time())
            raise
        now = self._loop.time()
        self._listener.on_tunnel_asked(TunnelOutcome.connected)
        self._peers.record_opened(peer.name, now)
        if not self.is_isolated:
            self._links.avoid(upstream.incarnation, now)
        return conn


def _is_timeout(exc: NotSentError) -> bool:
    return isinstance(exc.__cause__, TimeoutError)
