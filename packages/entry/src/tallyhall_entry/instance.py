"""One entry instance: its parts, wired, and its start and stop.

Nothing here decides about requests. The parts are created once; the store
feeds them, callers use them, and a signal ends them in order: first callers
are told to go elsewhere, then what runs is finished, then the process ends.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.fleet import Membership
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.quota_limits import Fleet
from tallyhall_edge.caller_connection import ServerLimits
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.runner import Runner
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_edge.server import HttpServer
from tallyhall_edge.stopping import Stop
from tallyhall_platform.absence import Absence
from tallyhall_platform.calls import CallCounts
from tallyhall_platform.dialect import PlatformDialect
from tallyhall_platform.follow import Follower
from tallyhall_platform.registry import LEAST_UNSEEN_S, Registration
from tallyhall_platform.store import StoreClient
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

from .answers import LOCATE_KEEP_S, Answers
from .beliefs import Beliefs
from .from_options import admits_s, freshness_s, new_gate, own_entry
from .guard import shared_guard
from .logs import BoundedStream, EventLog
from .metrics import Metrics
from .news import NewsTalk
from .orders import Orders
from .reports import Reports
from .shared import SharedScheduler
from .talk import Talk
from .telemetry import RequestTelemetry
from .use_news import UseNews
from .uses import WrittenUse

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Waiting longer for a connection than this costs a caller its objective.
_CONNECT_S = 0.3
# Callers that know this instance may come for this many times the time for
# which they were told to keep the answer.
_KEEPS = 3
# What a caller sends 3 s after the signal takes at most this long to arrive.
_WAY_S = 0.1
_CHORES_S = 0.5
_TICK_S = 0.05
_STOP_LOOK_S = 0.05
# Others are of use once there is a desired state to serve by, which a store
# that answers brings within 10 ms; without it they may have it.
_STATE_S = 0.3
_STATE_LOOK_S = 0.002
# What is kept of the time between signal and end by force.
_STOP_MARGIN_S = 0.4
# Of that, for the call that removes the entry; the lease does it else.
_END_LEASE_S = 0.2
# Part of all descriptors that callers may take; a request in hand needs one
# more for its upstream, and files, peers and the store take 200.
_CALLERS_PART = 0.6
# What the writer of the use of quotas is the owner of.
_USE = 'use of quotas'
# Settings that a running process takes over.
_APPLIED = frozenset(('store', 'bounds'))


class Instance:
    """An entry instance on the users' platform."""

    def __init__(
        self,
        options: Options,
        stream: BoundedStream,
        rng: random.Random,
    ) -> None:
        """Create all parts; nothing is opened yet."""
        self.options = options
        self._loop = asyncio.get_running_loop()
        self.log = EventLog(stream)
        self._metrics = Metrics(stream)
        self._entry = own_entry(options, rng)
        self._gate = new_gate(options, rng, self._loop.time())
        self._links = PeerLinks(
            options.instance,
            self._entry.incarnation,
            self._on_batch,
            self._fill_batch,
            self._on_peer_lost,
            self._on_peer_opened,
        )
        self._links.own_cores = self._entry.cores
        self._dispatcher = Dispatcher(rng)
        self._scheduler = SharedScheduler(
            options.instance,
            self._dispatcher,
            self._links,
            self.log.event,
        )
        self._conns = ConnectionPool(PlatformDialect.id_header, _CONNECT_S)
        self._calls = CallCounts()
        self._reports = Reports(
            self._entry.incarnation,
            self._calls,
            self.log,
            self._metrics,
        )
        self._store_ends = StoreClient(options.store.address, self._calls)
        self._guard = shared_guard(
            self._links,
            self._store_ends,
            self._entry.incarnation,
            self.log,
            rng,
        )
        self._runner = self._new_runner()
        self._front = HttpServer(
            self._runner.handle,
            self._failed,
            ServerLimits(),
            int(options.descriptors * _CALLERS_PART),
        )
        self._membership = Membership(
            options.instance,
            admits_s(options),
            LEAST_UNSEEN_S,
        )
        self._beliefs = Beliefs(
            self._membership,
            self._gate,
            self._dispatcher,
            self._conns,
            self._links,
            self._front,
            self.log,
            self._metrics,
        )
        self._answers = Answers(
            str(options.front),
            self._gate,
            self._beliefs,
            self._metrics,
            rng,
        )
        self._servers = (
            self._front,
            *(
                HttpServer(respond, self._failed, ServerLimits())
                for respond in (
                    self._answers.ready,
                    self._answers.locate,
                    self._answers.metrics,
                )
            ),
        )
        self._store_registers = StoreClient(options.store.address, self._calls)
        self._store_follows = StoreClient(options.store.address, self._calls)
        self._registration = Registration(
            self._store_registers,
            self._entry,
            self.log.event,
            rng,
            # One instance writes for all: each write wakes every watch.
            WrittenUse(self._gate.quotas, lambda: self._owns(_USE)),
            options.store.least_lease_s,
            self._beliefs,
        )
        self._absence = Absence(
            options.store.heartbeat_s,
            options.bounds.contact_s,
        )
        self._follower = Follower(
            self._store_follows,
            self._beliefs,
            self.log.event,
            rng,
            self._absence,
            options.bounds.change_s,
        )
        self._follower.view.on_ends = self._guard.take_stored
        self._orders = Orders(
            options,
            self._dispatcher,
            self._calls,
            self._entry.incarnation,
            self._owns,
            self.log,
        )
        self._follower.view.on_rollout = self._orders.take
        self._talk = Talk(
            self._gate,
            self._links,
            self._follower.view.take_raw_state,
            self.log,
        )
        self._news = NewsTalk(options.instance, self._links, self._follower)
        self._use_news = UseNews(
            self._links,
            self._gate.quotas,
            self._take_known,
        )
        self._runner.ask_use = self._use_news.ask
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    # -- life

    async def start(self) -> None:
        """Open all addresses and follow the store; serve from then on.

        Raises OSError where an address is taken.
        """
        options = self.options
        places = (
            options.front,
            options.ready,
            options.locate,
            options.metrics,
        )
        await asyncio.gather(
            *(
                server.listen(place.host, place.port)
                for server, place in zip(self._servers, places, strict=True)
            ),
        )
        self._spawn('follower', self._follower.run())
        self._spawn('registration', self._registration.run())
        self._spawn('guard', self._guard.run())
        self._spawn('chores', self._chores())
        self._spawn('tick', self._tick())
        self.log.event(
            Event.started,
            front=str(options.front),
            store=str(options.store.address),
            incarnation=self._entry.incarnation,
        )
        await self._until_state()
        await self._links.listen(
            str(options.peer), self._follower.view.raw_state
        )

    async def stop(self) -> None:
        """Send callers elsewhere and finish what runs."""
        if self._stopping:
            return
        began_at = self._loop.time()
        self._leave()
        grace_s = self.options.bounds.grace_s
        leaving = asyncio.create_task(self._registration.leave(grace_s))
        ends_at = began_at + grace_s - _STOP_MARGIN_S
        left_at = began_at + _KEEPS * LOCATE_KEEP_S
        self._runner.begin_stop(Stop(left_at - _WAY_S, ends_at))
        while self._loop.time() < ends_at:
            if self._loop.time() >= left_at and not self._front.busy:
                break
            await asyncio.sleep(_STOP_LOOK_S)
        leaving.cancel()
        self._front.close()
        self._front.close_idle()
        await self._links.close()
        # Last, so that nobody counts this one without hearing it.
        await self._registration.end(_END_LEASE_S)
        self._reports.log_calls()
        self.log.event(Event.stopped, unfinished=self._front.busy)

    def reload(self, options: Options) -> None:
        """Take changed settings as far as a running process can."""
        old = self.options
        changed = [
            field.name
            for field in msgspec.structs.fields(Options)
            if getattr(old, field.name) != getattr(options, field.name)
        ]
        if not changed:
            return
        self.options = options
        self._store_follows.move(options.store.address)
        self._store_registers.move(options.store.address)
        self._store_ends.move(options.store.address)
        self._gate.freshness.bound_s = freshness_s(options)
        self._absence.heartbeat_s = options.store.heartbeat_s
        self._absence.contact_s = options.bounds.contact_s
        self._follower.view.change_s = options.bounds.change_s
        self._membership.admits_s = admits_s(options)
        self.log.event(
            Event.settings_read,
            changed=changed,
            after_restart=sorted(set(changed) - _APPLIED),
        )

    async def close(self) -> None:
        """Close everything at once, as a lost process would."""
        for task in self._tasks.values():
            task.cancel()
        self._orders.close()
        for server in self._servers:
            server.close()
            server.abort_all()
        await self._links.close()

    def lose_store(self) -> None:
        """Stop to follow the store; peers are the only source left."""
        self._tasks['follower'].cancel()

    # -- what it knows

    @property
    def live_instances(self) -> frozenset[str]:
        """Return the instances that this one hears, with itself."""
        return self._scheduler.ownership.live

    @property
    def hears(self) -> int:
        """Return how many instances' use is known here, with its own."""
        return self._links.hears

    @property
    def counts(self) -> int:
        """Return of how many instances' use it reckons, with its own."""
        return self._gate.instances

    @property
    def state_version(self) -> int:
        """Return the version in force, -1 before the first."""
        return self._gate.version

    @property
    def upstreams(self) -> frozenset[Upstream]:
        """Return the upstreams that it knows."""
        return self._beliefs.upstreams

    @property
    def usable_upstreams(self) -> int:
        """Return how many upstreams take new requests."""
        return sum(not known.leaving for known in self.upstreams)

    def owner(self, service: str) -> str | None:
        """Return the instance that queues a service's jobs."""
        return self._scheduler.ownership.owner(service)

    # -- from other instances

    def _on_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        self._talk.take(peer, batch)
        self._news.take(peer, batch)
        self._use_news.take(peer, batch)
        self._guard.take(peer, batch)
        self._scheduler.on_batch(peer, batch)
        # A store that answers others is not away, whatever this one's way is.
        now = self._loop.time()
        age = self._gate.freshness.age(now)
        if age is not None:
            self._absence.alive(now - age)

    def _fill_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        self._talk.fill(peer, batch)
        self._news.fill(peer, batch)
        self._use_news.fill(peer, batch)

    def _on_peer_lost(self, peer: Peer, exc: Exception) -> None:
        self.log.event(Event.peer_down, peer=peer.name, cause=repr(exc)[:100])

    def _on_peer_opened(self, peer: Peer) -> None:
        self._scheduler.on_opened(peer)

    # -- inner steps

    async def _until_state(self) -> None:
        """Leave the processor to the first answers, unless there are none."""
        ends_at = self._loop.time() + _STATE_S
        while self._gate.version < 0 and self._loop.time() < ends_at:
            await asyncio.sleep(_STATE_LOOK_S)

    def _leave(self) -> None:
        self._stopping = True
        self._scheduler.leaving = True
        self._talk.leaving = True
        self._answers.leaving = True
        self.log.event(Event.stopping, busy=self._front.busy)
        self._front.stop_keeping()
        self._tasks['registration'].cancel()

    def _new_runner(self) -> Runner:
        return Runner(
            self._gate,
            self._scheduler,
            self._conns,
            PlatformDialect(),
            RequestTelemetry(self.log, self._metrics),
            self.options.instance,
            self.options.zone,
            self._guard,
        )

    def _spawn(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._task_ended)
        self._tasks[name] = task

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self.log.failure(task.get_name(), exc)

    def _failed(self, exc: Exception) -> None:
        self.log.failure('request', exc)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._scheduler.tick()
            hubs = self._scheduler.hubs
            self._news.look(hubs)
            for hub in self._use_news.look(hubs):
                self._links.outgoing(hub, urgent=True)
            self._beliefs.look()
            self._take_fleet()
            self._reports.log_fleet(self._beliefs.count, self._links.hears)
            self._orders.look()

    def _owns(self, service: str) -> bool:
        return self.owner(service) == self.options.instance

    def _take_known(self) -> None:
        self._scheduler.look()
        self._take_fleet()

    def _take_fleet(self) -> None:
        heard = self._links.hears
        instances = max(len(self._beliefs.count.members), heard)
        self._gate.instances = instances
        self._gate.quotas.take_fleet(
            Fleet(
                instances,
                heard / instances,
                self._scheduler.known.known_at,
                self._scheduler.known.counted_at,
            ),
        )
        holders = max(len(self._beliefs.count.holders), heard)
        self._scheduler.take_share(heard / holders)

    async def _chores(self) -> None:
        while True:
            await asyncio.sleep(_CHORES_S)
            self._conns.close_old()
            self._reports.look(self._gate, self._front, self._dispatcher)
