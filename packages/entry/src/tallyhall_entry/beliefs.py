"""What an instance believes about the world, as the store tells it."""

from __future__ import annotations

import asyncio

from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.fleet import FleetCount, Membership
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.quota import Written
from tallyhall_edge.caller_connection import ServerLimits
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_edge.server import HttpServer
from tallyhall_platform.entries import InstanceEntry
from tallyhall_transport.peer import PeerPlace
from tallyhall_transport.peers import PeerLinks

from .logs import EventLog
from .metrics import Metrics


class Beliefs:
    """Passes news from the store on to the parts that act on it."""

    def __init__(
        self,
        membership: Membership,
        gate: Gate,
        dispatcher: Dispatcher,
        conns: ConnectionPool,
        links: PeerLinks,
        front: HttpServer,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Feed these parts."""
        self.entries: tuple[InstanceEntry, ...] = ()
        self.confirmed_at = float('-inf')
        self.count = FleetCount()
        self.upstreams: frozenset[Upstream] = frozenset()
        self._membership = membership
        self._known: dict[str, InstanceEntry] = {}
        self._gate = gate
        self._dispatcher = dispatcher
        self._conns = conns
        self._links = links
        self._front = front
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def on_state(self, state: DesiredState) -> None:
        """Take a newer desired state."""
        self._gate.take_state(state)
        self._dispatcher.take_state(state)
        limits = state.limits
        self._front.limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_s=limits.header_s,
            idle_s=limits.idle_s,
        )
        self._metrics.state_version = state.version
        self._log.event(
            Event.state_taken,
            version=state.version,
            routes=len(state.routes),
            keys=len(state.keys),
        )

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take all upstreams as they stand."""
        self._end_connections(upstreams)
        self._log_changes(frozenset(upstreams))
        self.upstreams = frozenset(upstreams)
        self._dispatcher.take_upstreams(upstreams)

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Take all registered instances."""
        self.entries = entries
        self._known |= {entry.instance: entry for entry in entries}
        self._membership.take_entries(
            {entry.instance: entry.leaving for entry in entries},
            self._loop.time(),
        )
        self.count = self._counted()
        self._take_peers()
        self._log.event(Event.instances_changed, known=len(entries))

    @property
    def offered(self) -> tuple[InstanceEntry, ...]:
        """Return the entries of the instances that callers are sent to."""
        return tuple(
            entry
            for entry in self.entries
            if not entry.leaving and not self._says_leaving(entry)
        )

    def look(self) -> None:
        """Count the fleet anew; who is heard changes with time."""
        counted = self._counted()
        if counted != self.count:
            self.count = counted
            self._take_peers()

    def on_use(self, use: Written) -> None:
        """Take what was written of the use of all before this run."""
        self._gate.quotas.recall(use, self._loop.time())

    def on_confirmed(self, asked_at: float) -> None:
        """Take that the desired state was in force at this time."""
        self.confirmed_at = asked_at
        self._gate.freshness.confirm(asked_at)

    def on_store(self, *, reachable: bool) -> None:
        """Take that the store was lost or is back."""
        self._metrics.store_up = int(reachable)
        event = Event.kv_up if reachable else Event.kv_down
        self._log.event(event, age=self._gate.freshness.age(self._loop.time()))

    def _end_connections(self, upstreams: tuple[Upstream, ...]) -> None:
        usable = {one.incarnation for one in upstreams if not one.leaving}
        starts = {one.name: one.started_ms for one in upstreams}
        for known in self.upstreams:
            if starts.get(known.name, 0) > known.started_ms:
                self._conns.end(known.incarnation)
            elif known.incarnation not in usable:
                self._conns.drop(known.incarnation)

    def _counted(self) -> FleetCount:
        heard = {
            peer.name: peer.heard_at for peer in self._links.peers.values()
        }
        return self._membership.count(heard, self._loop.time())

    def _take_peers(self) -> None:
        """Keep streams to all that count, also to those not registered."""
        members = self.count.members
        self._gate.instances = len(members)
        for gone in self._known.keys() - members:
            self._known.pop(gone)
        self._links.take_peers(
            {
                name: PeerPlace(
                    entry.peer,
                    entry.cores,
                    name in self.count.registered,
                )
                for name, entry in self._known.items()
                if name != self._membership.name
            },
        )

    def _says_leaving(self, entry: InstanceEntry) -> bool:
        # Its own word comes sooner than the store's.
        peer = self._links.peers.get(entry.instance)
        if peer is None or peer.incarnation != entry.incarnation:
            return False
        return peer.leaving

    def _log_changes(self, upstreams: frozenset[Upstream]) -> None:
        came = upstreams - self.upstreams
        went = {upstream.incarnation for upstream in self.upstreams}
        went -= {upstream.incarnation for upstream in upstreams}
        self._log.event(
            Event.upstreams_changed,
            known=len(upstreams),
            changed=sorted(
                f'{upstream.incarnation}{"-" if upstream.leaving else "+"}'
                for upstream in came
            ),
            gone=sorted(went),
        )
