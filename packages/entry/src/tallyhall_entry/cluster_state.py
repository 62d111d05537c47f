"""Local copy of the cluster state that an instance reads from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.fleet import FleetCount, FleetMembership
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.quota import StoredUse
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.server import HttpServer
from tallyhall_platform.entries import InstanceEntry
from tallyhall_transport.peer import PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

from .logs import EventLog
from .metrics import Metrics
from .paths import InstancePaths


class RegistryListener(Protocol):
    """Follows which upstreams and instances are registered."""

    def on_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Handle the complete list of upstreams."""

    def on_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Handle the complete list of registered instances."""

    def on_confirmed(self, asked_at: float) -> None:
        """Handle that the store held nothing else at this time."""


class ClusterState:
    """Forwards store updates to the components that depend on them."""

    def __init__(
        self,
        membership: FleetMembership,
        gate: AdmissionGate,
        dispatcher: Dispatcher,
        paths: InstancePaths,
        peer_streams: PeerStreams,
        front: HttpServer,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Forward store updates to the given components."""
        self.entries: tuple[InstanceEntry, ...] = ()
        self.complete_as_of = float('-inf')
        self.count = FleetCount()
        self.upstreams: frozenset[Upstream] = frozenset()
        self.listener: RegistryListener = _NoListener()
        self._membership = membership
        self._known: dict[str, InstanceEntry] = {}
        self._gate = gate
        self._dispatcher = dispatcher
        self._paths = paths
        self._peer_streams = peer_streams
        self._front = front
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def on_state(self, state: DesiredState) -> None:
        """Apply a newer desired state."""
        self._gate.apply_state(state)
        self._dispatcher.apply_state(state)
        self._paths.on_state(state)
        limits = state.limits
        self._front.limits = ServerLimits(
            max_header_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_s,
            idle_timeout_s=limits.idle_s,
        )
        self._metrics.desired_state.version = state.version
        self._log.event(
            Event.state_taken,
            version=state.version,
            routes=len(state.routes),
            keys=len(state.keys),
        )

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Apply the complete list of upstreams."""
        self._close_connections(upstreams)
        self._log_upstream_changes(frozenset(upstreams))
        self.upstreams = frozenset(upstreams)
        self._dispatcher.apply_upstreams(upstreams)
        self._paths.on_upstreams(upstreams)
        self.listener.on_upstreams(upstreams)

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Apply the complete list of registered instances."""
        self.entries = entries
        self._known |= {entry.instance: entry for entry in entries}
        self._membership.update_entries(
            {entry.instance: entry.leaving for entry in entries},
            self._loop.time(),
        )
        self.count = self._count_fleet()
        self._update_peers()
        self._paths.on_instances(entries)
        self.listener.on_instances(entries)
        self._log.event(Event.instances_changed, known=len(entries))

    @property
    def advertised(self) -> tuple[InstanceEntry, ...]:
        """Return the entries of the instances advertised to clients."""
        return tuple(
            entry
            for entry in self.entries
            if not entry.leaving and not self._reports_leaving(entry)
        )

    def look(self) -> None:
        """Recount the fleet, as the reachable peers change over time."""
        counted = self._count_fleet()
        if counted != self.count:
            self.count = counted
            self._update_peers()

    def on_stored_use(self, use: StoredUse) -> None:
        """Apply the fleet's quota usage that was stored before this run."""
        self._gate.quotas.restore(use, self._loop.time())

    def on_state_confirmed(self, asked_at: float) -> None:
        """Record that the desired state was current at this time."""
        self.complete_as_of = asked_at
        self._gate.freshness.record_confirmation(asked_at)
        self.listener.on_confirmed(asked_at)

    def on_store_reachable(self, *, reachable: bool) -> None:
        """Record that the store became unreachable or reachable again."""
        self._metrics.desired_state.store_up = int(reachable)
        event = Event.kv_up if reachable else Event.kv_down
        self._log.event(event, age=self._gate.freshness.age(self._loop.time()))

    def _close_connections(self, upstreams: tuple[Upstream, ...]) -> None:
        usable = {one.incarnation for one in upstreams if not one.leaving}
        registered = {one.incarnation for one in upstreams}
        starts = {one.name: one.started_ms for one in upstreams}
        for known in self.upstreams:
            if starts.get(known.name, 0) > known.started_ms:
                self._paths.conns.fail_all(known.incarnation)
            elif known.incarnation not in usable:
                self._paths.conns.close_idle(known.incarnation)
                if known.incarnation not in registered:
                    self._paths.conns.unread.record_removed(known.incarnation)

    def _count_fleet(self) -> FleetCount:
        heard = {
            peer.name: peer.last_heard_at
            for peer in self._peer_streams.peers.values()
        }
        return self._membership.count(heard, self._loop.time())

    def _update_peers(self) -> None:
        """Keep streams to all fleet members, even to unregistered ones."""
        members = self.count.members
        self._gate.instances = len(members)
        for gone in self._known.keys() - members:
            self._known.pop(gone)
        self._peer_streams.update_peers(
            {
                name: PeerEndpoint(
                    entry.peer,
                    entry.cores,
                    name in self.count.registered,
                )
                for name, entry in self._known.items()
                if name != self._membership.name
            },
        )

    def _reports_leaving(self, entry: InstanceEntry) -> bool:
        # A peer's own batches report this earlier than the store does.
        peer = self._peer_streams.peers.get(entry.instance)
        if peer is None or peer.incarnation != entry.incarnation:
            return False
        return peer.leaving

    def _log_upstream_changes(self, upstreams: frozenset[Upstream]) -> None:
        added = upstreams - self.upstreams
        removed = {upstream.incarnation for upstream in self.upstreams}
        removed -= {upstream.incarnation for upstream in upstreams}
        self._log.event(
            Event.upstreams_changed,
            known=len(upstreams),
            changed=sorted(
                f'{upstream.incarnation}{"-" if upstream.leaving else "+"}'
                for upstream in added
            ),
            gone=sorted(removed),
            versions=_count_versions(upstreams),
        )


def _count_versions(upstreams: Iterable[Upstream]) -> dict[str, dict[str, int]]:
    """Return how many upstreams of each version accept requests, by service."""
    counts: dict[str, dict[str, int]] = {}
    for upstream in upstreams:
        if upstream.leaving:
            continue
        versions = counts.setdefault(upstream.service, {})
        versions[upstream.version] = versions.get(upstream.version, 0) + 1
    return counts


class _NoListener:
    """Follows nothing; a `RegistryListener`."""

    def on_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Ignore it."""

    def on_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Ignore it."""

    def on_confirmed(self, asked_at: float) -> None:
        """Ignore it."""
