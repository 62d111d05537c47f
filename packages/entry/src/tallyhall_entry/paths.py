"""The ways of an instance to its upstreams, its own and through peers.

Combines what the instance learns of its links, the tunnels that it opens
through others and those that others open through it, and logs and counts them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Sequence

from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.link_monitor import LinkFailure, LinkMonitor
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.tunnel_peers import TunnelPeer, TunnelPeers
from tallyhall_edge.connection_memory import MemoryMonitor
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.link_probe import LinkProbe, ProbeTarget
from tallyhall_edge.tunnel_messages import TunnelOutcome, TunnelRequest
from tallyhall_edge.tunnel_server import TunnelEnd, TunnelServer
from tallyhall_edge.unread_sends import SendPath
from tallyhall_edge.upstream_paths import UpstreamPaths
from tallyhall_platform.addresses import parse_address
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.headers import PlatformHeaderCodec
from tallyhall_transport.peer_streams import PeerStreams

from .logs import EventLog
from .metrics import Metrics

# Timeout for connecting to an upstream. A longer wait would make the request
# miss its latency objective.
_CONNECT_TIMEOUT_S = 0.3
# Fraction of all file descriptors that tunnels of others may use; each needs
# two.
_TUNNEL_DESCRIPTOR_SHARE = 0.2
_DESCRIPTORS_PER_TUNNEL = 2
_MILLI = 1000


class InstancePaths:
    """The paths of one instance, and their logs and metrics.

    Implements `PathListener`, `SilenceListener`, `TunnelListener` and
    `UpstreamAccess`.
    """

    def __init__(
        self,
        options: Options,
        dispatcher: Dispatcher,
        peer_streams: PeerStreams,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        memory: MemoryMonitor | None,
    ) -> None:
        """Create all components without opening any address."""
        self._options = options
        self._dispatcher = dispatcher
        self._peer_streams = peer_streams
        self._log = log
        self._counts = metrics.paths
        self._loop = asyncio.get_running_loop()
        self._links = LinkMonitor()
        self._isolated_at: float = 0
        self._hosts: frozenset[str] = frozenset()
        self._upstreams: tuple[Upstream, ...] = ()
        # By service.
        self._health_paths: dict[str, str] = {}
        self._peers = TunnelPeers(options.zone, rng, self._may_use)
        self._connector = UpstreamPaths(
            options.instance,
            self._links,
            self._peers,
            self,
            PlatformHeaderCodec.id_header,
            _CONNECT_TIMEOUT_S,
            memory,
        )
        self.conns = ConnectionPool(self._connector, self)
        # Returns whether nothing listens at the address of an upstream.
        self.refuses = self._connector.refuses
        self._server = TunnelServer(
            self, self, _max_tunnels(options.descriptors), memory
        )
        self._probe = LinkProbe(
            self._links,
            self._probe_targets,
            self._connector.record_answer,
            self._connector.confirm_isolated,
            rng,
        )

    # -- lifecycle

    async def listen(self) -> None:
        """Accept tunnels; raise OSError if the address is in use."""
        address = self._options.tunnel
        await self._server.listen(address.host, address.port)

    async def run(self) -> None:
        """Look for links that work again while isolated, until cancelled."""
        await self._probe.run()

    @property
    def open_tunnels(self) -> int:
        """Return the number of tunnels through this instance."""
        return self._server.open_tunnels

    def begin_leaving(self) -> None:
        """Accept no further tunnels; open ones go on."""
        self._server.stopping = True

    def update_metrics(self) -> None:
        """Update the gauges of tunnels and unread sends."""
        self._counts.open = self.open_tunnels
        unread = self.conns.unread
        self._counts.silent = len(unread.silent)
        self._counts.unread = len(unread)
        self._counts.oldest_unread_s = unread.oldest_s

    def close(self) -> None:
        """Close all tunnels through this instance."""
        self._server.close()
        self._server.abort_all()

    # -- from the store

    def on_state(self, state: DesiredState) -> None:
        """Apply a newer desired state."""
        self._health_paths = {
            name: service.health_path
            for name, service in state.services.items()
        }

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Apply the complete list of upstreams."""
        self._upstreams = tuple(one for one in upstreams if not one.leaving)
        self._links.update_upstreams(
            frozenset(one.incarnation for one in self._upstreams)
        )

    def on_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Apply the complete list of registered instances."""
        peers = [
            TunnelPeer(entry.instance, parse_address(entry.tunnel), entry.zone)
            for entry in entries
            if entry.tunnel and entry.instance != self._options.instance
        ]
        self._hosts = frozenset(peer.address.host for peer in peers)
        self._peers.update(peers)

    # -- `UpstreamAccess`

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance reaches no upstream itself."""
        return self._links.is_isolated

    def upstream(self, incarnation: str) -> Upstream | None:
        """Return an upstream that takes requests, None for all others."""
        if not self._dispatcher.is_usable(incarnation):
            return None
        return self._dispatcher.upstream(incarnation)

    def is_peer(self, host: str) -> bool:
        """Return whether an instance is registered at this IP address."""
        return host in self._hosts

    def record_not_connected(
        self, upstream: Upstream, failure: LinkFailure
    ) -> None:
        """Record that an upstream was not connected for another instance."""
        self._connector.record_failure(upstream, failure)

    # -- `PathListener`

    def on_isolated(self, failed: frozenset[str], *, silent: bool) -> None:
        """Use other instances; open connections only if they may work."""
        self._isolated_at = self._loop.time()
        self._counts.isolated = 1
        self._log.event(Event.isolated, failed=sorted(failed), silent=silent)
        if silent:
            self.conns.close_idle_where(lambda conn: not conn.via)
        self._probe.start()

    def on_suspected(self) -> None:
        """Ask upstreams whether the links work."""
        self._probe.start()

    def on_recovered(self) -> None:
        """Use direct connections only."""
        self._counts.isolated = 0
        isolated_s = self._loop.time() - self._isolated_at
        self._log.event(
            Event.links_restored, isolated_ms=round(isolated_s * _MILLI)
        )
        self.conns.close_idle_where(lambda conn: bool(conn.via))

    def on_tunnel_asked(self, outcome: TunnelOutcome) -> None:
        """Count the outcome of a request for a tunnel."""
        self._counts.asked[outcome.value] += 1

    # -- `SilenceListener`

    def on_silent(self, path: SendPath, unread: int, *, is_heard: bool) -> None:
        """Log that an upstream does not answer any request."""
        self._log.event(
            Event.upstream_silent,
            upstream=path.incarnation,
            via=path.via,
            unread=unread,
            heard=is_heard,
        )

    def on_heard(self, path: SendPath, silent_s: float, unread: int) -> None:
        """Log that an upstream answers again."""
        self._log.event(
            Event.upstream_heard,
            upstream=path.incarnation,
            via=path.via,
            silent_ms=round(silent_s * _MILLI),
            unread=unread,
        )

    # -- `TunnelListener`

    def on_tunnel_replied(
        self, request: TunnelRequest, outcome: TunnelOutcome
    ) -> None:
        """Count and log the reply to a request of another instance."""
        self._counts.served[outcome.value] += 1
        self._log.event(
            Event.tunnel_asked,
            served=outcome is TunnelOutcome.connected,
            tunnel=request.tunnel,
            peer=request.instance,
            upstream=request.upstream,
            outcome=outcome.value,
        )

    def on_tunnel_ended(self, end: TunnelEnd) -> None:
        """Log the end of a tunnel of another instance."""
        self._log.event(
            Event.tunnel_ended,
            served=True,
            tunnel=end.request.tunnel,
            peer=end.request.instance,
            upstream=end.request.upstream,
            total_ms=round(end.total_s * _MILLI),
            sent=end.sent,
            received=end.received,
        )

    # -- internals

    def _may_use(self, name: str) -> bool:
        """Return whether a peer is alive and known to reach upstreams.

        A peer that this instance has no stream to may be both.
        """
        peer = self._peer_streams.peers.get(name)
        if peer is None or peer.stream_opened_at is None:
            return True
        if peer.leaving or peer.isolated:
            return False
        return self._peer_streams.is_connected(peer, self._loop.time())

    def _probe_targets(self) -> Sequence[ProbeTarget]:
        return [
            ProbeTarget(one, self._health_paths.get(one.service, ''))
            for one in self._upstreams
        ]


def _max_tunnels(descriptors: int) -> int:
    share = _TUNNEL_DESCRIPTOR_SHARE / _DESCRIPTORS_PER_TUNNEL
    return max(1, int(share * descriptors))
