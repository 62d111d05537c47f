"""Wiring, startup and shutdown of one entry instance.

No request is handled here. All components are created once and updated from
the store. Shutdown is graceful: the instance first directs clients to other
instances, then finishes running requests, and then the process exits.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.fleet import FleetMembership
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.quota_limits import FleetView
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.exchange import RequestHandler
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.server import HttpServer
from tallyhall_edge.stopping import StopSchedule
from tallyhall_platform.call_counts import CallCounts
from tallyhall_platform.follower import Follower
from tallyhall_platform.outage import OutageTracker
from tallyhall_platform.registration import MIN_UNREACHABLE_S, Registration
from tallyhall_platform.store import StoreClient
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from .cluster_state import ClusterState
from .descriptors import DescriptorShares, Listener
from .endpoints import LOCATE_CACHE_S, Endpoints
from .from_options import (
    admits_s,
    freshness_s,
    new_gate,
    new_memory,
    new_origins,
    new_pipeline,
    own_entry,
)
from .guard import shared_guard
from .logs import BoundedStream, EventLog
from .metrics import Metrics
from .orders import LazyRollouts
from .paths import InstancePaths
from .peer_reports import PeerReports
from .reports import Reports
from .shared import SharedScheduler
from .store_changes import StoreChangeExchange
from .stored_use import StoredUseSource
from .supervision import TaskSupervisor
from .telemetry import RequestTelemetry
from .use_refresh import UseRefresher

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Clients may use a cached locate response for up to this many times its
# lifetime, and so still connect to this instance.
_MAX_LOCATE_LIFETIMES = 3
# Maximum time for a request to arrive that a client sends just before its
# cached locate response expires, 3 s after the signal.
_MAX_REQUEST_DELAY_S = 0.1
_MAINTENANCE_INTERVAL_S = 0.5
_TICK_S = 0.05
_STOP_POLL_S = 0.05
# Peer streams are useful only once there is a desired state. A responsive store
# delivers it within 10 ms. After this time peers may have it instead.
_STATE_TIMEOUT_S = 0.3
_STATE_POLL_S = 0.002
# Time reserved at the end of the grace period, before the process is killed.
_STOP_MARGIN_S = 0.4
# Part of that margin for the call that revokes the lease and so removes the
# store entry. If the call fails, the entry is removed when the lease expires.
_LEASE_REVOKE_TIMEOUT_S = 0.2
# Ownership key: the owner of this name writes the quota usage to the store.
_USAGE_WRITER_KEY = 'use of quotas'
# Limits of calls to the instance itself, which have no bodies.
_CALL_LIMITS = ServerLimits(max_body_bytes=1024)
# Settings that are applied without a restart.
_RELOADABLE_SETTINGS = frozenset(('store', 'bounds'))


class Instance:
    """An entry instance and all of its components."""

    def __init__(
        self,
        options: Options,
        stream: BoundedStream,
        rng: random.Random,
    ) -> None:
        """Create all components without opening any address."""
        self.options = options
        self._loop = asyncio.get_running_loop()
        self.log = EventLog(stream)
        self._metrics = Metrics(stream)
        self._shares = DescriptorShares.of(options.descriptors)
        self._entry = own_entry(options, rng)
        self._gate = new_gate(options, rng, self._loop.time())
        self._peer_streams = PeerStreams(
            options.instance,
            self._entry.incarnation,
            self._on_batch,
            self._fill_batch,
            self._on_peer_lost,
            self._on_peer_opened,
        )
        self._peer_streams.own_cores = self._entry.cores
        self._peer_streams.max_connections = self._shares.peer
        self._dispatcher = Dispatcher(rng, has_rollouts=options.has_rollouts)
        self._origins = new_origins(options, rng, self.log)
        self._scheduler = SharedScheduler(
            options.instance,
            self._dispatcher,
            self._peer_streams,
            self.log.event,
        )
        self.memory = new_memory(options, self.log, self._metrics)
        self._paths = InstancePaths(
            options,
            self._dispatcher,
            self._peer_streams,
            self.log,
            self._metrics,
            rng,
            self.memory.monitor,
        )
        self._calls = CallCounts()
        self._reports = Reports(
            self._entry.incarnation,
            self._calls,
            self.log,
            self._metrics,
        )
        self._guard_store = StoreClient(options.store.address, self._calls)
        self._guard = shared_guard(
            self._peer_streams,
            self._guard_store,
            self._entry.incarnation,
            self.log,
            rng,
            self._paths.refuses,
        )
        self._runner = new_pipeline(
            options,
            self._gate,
            self._scheduler,
            self._paths.conns,
            RequestTelemetry(self.log, self._metrics),
            self._guard,
            self._origins,
        )
        self._front = HttpServer(
            self._runner.handle,
            self._log_request_failure,
            ServerLimits(),
            self._shares.front,
            self.memory.monitor,
            self.memory.bodies,
        )
        self._front.workspace_of = self._runner.workspace_of
        self._membership = FleetMembership(
            options.instance,
            admits_s(options),
            MIN_UNREACHABLE_S,
        )
        self._cluster_state = ClusterState(
            self._membership,
            self._gate,
            self._dispatcher,
            self._paths,
            self._peer_streams,
            self._front,
            self.log,
            self._metrics,
        )
        self._cluster_state.listener = self._origins
        self._endpoints = Endpoints(
            str(options.front),
            self._gate,
            self._cluster_state,
            self._metrics,
            rng,
        )
        self._servers = {
            Listener.front: self._front,
            Listener.ready: self._call_server(
                self._endpoints.ready, self._shares.ready
            ),
            Listener.locate: self._call_server(
                self._endpoints.locate, self._shares.locate
            ),
            Listener.metrics: self._call_server(
                self._endpoints.metrics, self._shares.metrics
            ),
        }
        self.memory.limit_components(self._servers, self._runner)
        self._registration_store = StoreClient(
            options.store.address, self._calls
        )
        self._follower_store = StoreClient(options.store.address, self._calls)
        self._registration = Registration(
            self._registration_store,
            self._entry,
            self.log.event,
            rng,
            # Only one instance writes, as each write wakes every watch.
            StoredUseSource(
                self._gate.quotas, lambda: self._owns(_USAGE_WRITER_KEY)
            ),
            options.store.least_lease_s,
            self._cluster_state,
        )
        self._outages = OutageTracker(
            options.store.heartbeat_s,
            options.bounds.contact_s,
        )
        self._follower = Follower(
            self._follower_store,
            self._cluster_state,
            self.log.event,
            rng,
            self._outages,
            options.bounds.change_s,
        )
        self._follower.view.on_end_records = self._guard.take_stored
        self._orders = LazyRollouts(
            options,
            self._dispatcher,
            self._calls,
            self._entry.incarnation,
            self._owns,
            self.log,
        )
        self._follower.view.on_rollout = self._orders.take
        self._peer_reports = PeerReports(
            self._gate,
            self._peer_streams,
            self._follower.view.apply_raw_state,
            self.log,
        )
        self._store_changes = StoreChangeExchange(
            options.instance, self._peer_streams, self._follower
        )
        self._usage_exchange = UseRefresher(
            self._peer_streams,
            self._gate.quotas,
            self._update_peer_knowledge,
        )
        self._runner.refresh_quota_use = self._usage_exchange.refresh
        self._tasks = TaskSupervisor(self.log.failure)
        self._stopping = False

    # -- lifecycle

    async def start(self) -> None:
        """Listen on all addresses, start background tasks and serve.

        Raises OSError if an address is already in use.
        """
        options = self.options
        places = (
            options.front,
            options.ready,
            options.locate,
            options.metrics,
        )
        await asyncio.gather(
            self._paths.listen(),
            self._origins.listen(options.peer),
            *(
                server.listen(place.host, place.port)
                for server, place in zip(
                    self._servers.values(), places, strict=True
                )
            ),
        )
        self._tasks.start('follower', self._follower.run)
        self._tasks.start('registration', self._registration.run)
        self._tasks.start('guard', self._guard.run)
        self._tasks.start('chores', self._run_maintenance)
        self._tasks.start('paths', self._paths.run)
        self._tasks.start('tick', self._tick)
        self.log.event(
            Event.started,
            front=str(options.front),
            store=str(options.store.address),
            incarnation=self._entry.incarnation,
        )
        await self._wait_for_state()
        await self._peer_streams.listen(
            str(options.peer), self._follower.view.raw_state
        )
        self.memory.measure_idle()

    async def stop(self) -> None:
        """Direct clients to other instances and finish running requests."""
        if self._stopping:
            return
        began_at = self._loop.time()
        self._begin_leaving()
        grace_s = self.options.bounds.grace_s
        leaving = asyncio.create_task(self._registration.mark_leaving(grace_s))
        ends_at = began_at + grace_s - _STOP_MARGIN_S
        left_at = began_at + _MAX_LOCATE_LIFETIMES * LOCATE_CACHE_S
        self._runner.begin_stop(
            StopSchedule(left_at - _MAX_REQUEST_DELAY_S, ends_at)
        )
        await self._finish_requests(left_at, ends_at)
        leaving.cancel()
        self._front.close()
        self._front.close_idle()
        self._paths.close()
        self._origins.close()
        await self._peer_streams.close()
        # Last, so that no peer counts this instance without hearing from it.
        await self._registration.unregister(_LEASE_REVOKE_TIMEOUT_S)
        self._reports.log_calls()
        self.log.event(Event.stopped, unfinished=self._front.busy_connections)

    def reload(self, options: Options) -> None:
        """Apply those changed settings that need no restart."""
        old = self.options
        changed = [
            field.name
            for field in msgspec.structs.fields(Options)
            if getattr(old, field.name) != getattr(options, field.name)
        ]
        if not changed:
            return
        self.options = options
        self._follower_store.use_address(options.store.address)
        self._registration_store.use_address(options.store.address)
        self._guard_store.use_address(options.store.address)
        self._gate.freshness.bound_s = freshness_s(options)
        self._outages.heartbeat_s = options.store.heartbeat_s
        self._outages.contact_s = options.bounds.contact_s
        self._follower.view.change_s = options.bounds.change_s
        self._membership.admits_s = admits_s(options)
        self.log.event(
            Event.settings_read,
            changed=changed,
            after_restart=sorted(set(changed) - _RELOADABLE_SETTINGS),
        )

    async def close(self) -> None:
        """Close everything at once, as if the process had been killed."""
        self._tasks.cancel_all()
        self._orders.close()
        for server in self._servers.values():
            server.close()
            server.abort_all()
        self._paths.close()
        self._origins.close()
        await self._peer_streams.close()

    def stop_following_store(self) -> None:
        """Stop following the store, so that peers are the only source."""
        self._tasks.cancel('follower')

    # -- inspection

    @property
    def live_instances(self) -> frozenset[str]:
        """Return the live instances that may own services."""
        return self._scheduler.ownership.live

    @property
    def heard_count(self) -> int:
        """Return of how many instances, with itself, the usage is known."""
        return self._peer_streams.heard_count

    @property
    def counts(self) -> int:
        """Return how many instances share the quotas, including itself."""
        return self._gate.instances

    @property
    def state_version(self) -> int:
        """Return the active version of the desired state, -1 without one."""
        return self._gate.version

    @property
    def upstreams(self) -> frozenset[Upstream]:
        """Return all known upstreams."""
        return self._cluster_state.upstreams

    @property
    def usable_upstreams(self) -> int:
        """Return how many upstreams accept new requests."""
        return sum(not known.leaving for known in self.upstreams)

    def owner(self, service: str) -> str | None:
        """Return the instance that queues a service's jobs."""
        return self._scheduler.ownership.owner(service)

    # -- peer callbacks

    def _on_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        self._peer_reports.take(peer, batch)
        self._store_changes.take(peer, batch)
        self._usage_exchange.take(peer, batch)
        self._guard.take(peer, batch)
        self._scheduler.on_batch(peer, batch)
        # A store that responds to a peer is up, even if it is unreachable from
        # here.
        now = self._loop.time()
        age = self._gate.freshness.age(now)
        if age is not None:
            self._outages.record_store_alive(now - age)

    def _fill_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        self._peer_reports.fill(peer, batch)
        self._store_changes.fill(peer, batch)
        self._usage_exchange.fill(peer, batch)
        self._scheduler.loads.fill(peer, batch)
        batch.isolated = self._paths.is_isolated

    def _on_peer_lost(self, peer: Peer, exc: Exception) -> None:
        self.log.event(Event.peer_down, peer=peer.name, cause=repr(exc)[:100])

    def _on_peer_opened(self, peer: Peer) -> None:
        self._scheduler.on_opened(peer)

    # -- implementation

    async def _wait_for_state(self) -> None:
        """Wait for the first desired state, for a limited time.

        This leaves the CPU to the first responses of the store before the peer
        streams are opened.
        """
        ends_at = self._loop.time() + _STATE_TIMEOUT_S
        while self._gate.version < 0 and self._loop.time() < ends_at:
            await asyncio.sleep(_STATE_POLL_S)

    @property
    def _is_busy(self) -> bool:
        return bool(self._front.busy_connections or self._paths.open_tunnels)

    async def _finish_requests(self, left_at: float, ends_at: float) -> None:
        """Wait until all requests are answered; answer the rest at the end.

        left_at: until then, requests of new callers may come.
        """
        while self._loop.time() < ends_at:
            if self._loop.time() >= left_at and not self._is_busy:
                return
            await asyncio.sleep(_STOP_POLL_S)
        self._runner.end_unanswered()
        await asyncio.sleep(_STOP_POLL_S)

    def _begin_leaving(self) -> None:
        self._stopping = True
        self._paths.begin_leaving()
        self._scheduler.leaving = True
        self._peer_reports.leaving = True
        self._endpoints.leaving = True
        self.log.event(Event.stopping, busy=self._front.busy_connections)
        self._front.disable_keep_alive()
        self._tasks.cancel('registration')

    def _call_server(
        self, respond: RequestHandler, max_connections: int
    ) -> HttpServer:
        """Return a server of calls to the instance itself."""
        return HttpServer(
            respond,
            self._log_request_failure,
            _CALL_LIMITS,
            max_connections,
            bodies=self.memory.bodies,
        )

    def _log_request_failure(self, exc: Exception) -> None:
        self.log.failure('request', exc)

    async def _tick(self) -> None:
        steps = (
            ('scheduler', self._scheduler.tick),
            ('memory', self._poll_memory),
            ('store changes', self._poll_store_changes),
            ('quota use', self._poll_usage),
            ('membership', self._cluster_state.look),
            ('versions', self._dispatcher.check_versions),
            ('stream origins', self._origins.poll),
            ('fleet', self._update_fleet),
            ('fleet log', self._log_fleet),
            ('rollouts', self._orders.poll),
        )
        while True:
            await asyncio.sleep(_TICK_S)
            for name, step in steps:
                self._tasks.attempt(name, step)

    def _poll_memory(self) -> None:
        self.memory.poll(self._loop.time())

    def _poll_store_changes(self) -> None:
        self._store_changes.poll(self._scheduler.hubs)

    def _poll_usage(self) -> None:
        for hub in self._usage_exchange.poll(self._scheduler.hubs):
            self._peer_streams.next_batch(hub, urgent=True)

    def _log_fleet(self) -> None:
        self._reports.log_fleet(
            self._cluster_state.count, self._peer_streams.heard_count
        )

    def _owns(self, service: str) -> bool:
        return self.owner(service) == self.options.instance

    def _update_peer_knowledge(self) -> None:
        self._scheduler.poll()
        self._update_fleet()

    def _update_fleet(self) -> None:
        heard = self._peer_streams.heard_count
        instances = max(len(self._cluster_state.count.members), heard)
        self._gate.instances = instances
        self._gate.quotas.apply_fleet(
            FleetView(
                instances,
                heard / instances,
                self._scheduler.known.acknowledged_at,
                self._scheduler.known.propagated_at,
            ),
        )
        holders = max(len(self._cluster_state.count.slot_holders), heard)
        self._scheduler.take_share(heard / holders)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._paths.conns.close_expired()
            self._paths.update_metrics()
            self._reports.update(self._gate, self._front, self._dispatcher)
            self._reports.update_loads(self._dispatcher, self._scheduler.loads)
            self._reports.update_closed(self._servers)
