"""One entry instance: its parts, wired, and its start and stop.

Nothing here decides about requests. The parts are created once; the store
feeds them, callers use them, and a signal ends them in order: first callers
are told to go elsewhere, then what runs is finished, then the process ends.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Coroutine
from typing import Any

from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.options import Options
from tallyhall_dispatch.quota import Fleet, QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.runner import Runner
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_edge.server import (
    Exchange,
    HttpServer,
    Respond,
    ServerLimits,
)
from tallyhall_platform.dialect import PlatformDialect
from tallyhall_platform.follow import Follower
from tallyhall_platform.registry import InstanceEntry, Registration
from tallyhall_platform.store import StoreClient
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peers import Peer, PeerLinks

from .locate import front_addresses
from .logs import BoundedStream, EventLog
from .metrics import Metrics
from .shared import SharedScheduler

# Waiting longer for a connection than this costs a caller its objective.
_CONNECT_S = 0.3
# Taken off the bound on revoked keys: what a watch may miss while the store
# compacts its history, and the way of a request to its upstream.
_REVOKE_MARGIN_S = 1.3
# How long callers keep an answer about where to connect, seconds. Short, so
# that a stopped instance is left soon; some callers keep it three times as
# long.
_LOCATE_KEEP_S = 1
_KEEPS = 3
_CHORES_S = 0.5
_TICK_S = 0.05
_MILLI = 1000
_MICRO = 1_000_000
_STOP_LOOK_S = 0.05
# What is kept of the time between signal and end by force.
_STOP_MARGIN_S = 0.4
# Random bits that tell two runs of an instance apart.
_ID_BITS = 64
_OK = 200
_UNAVAILABLE = 503


class Instance:
    """An entry instance on the users' platform."""

    def __init__(
        self,
        options: Options,
        stream: BoundedStream,
        rng: random.Random,
    ) -> None:
        """Create all parts; nothing is opened yet."""
        bounds = options.bounds
        self._options = options
        self._stream = stream
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.log = EventLog(stream)
        self._metrics = Metrics()
        bound_s = max(0, bounds.revoke_s - _REVOKE_MARGIN_S)
        self._gate = Gate(
            Freshness(bound_s),
            RetryLimits(
                bounds.retry_ratio,
                bounds.retry_allowance,
                bounds.retry_window_s,
            ),
            QuotaBounds(
                bounds.quota_window_s,
                bounds.quota_overshoot,
                bounds.quota_slack,
            ),
            rng,
        )
        self._own_entry = self._describe()
        self._dispatcher = Dispatcher()
        self._links = PeerLinks(
            options.instance,
            self._own_entry.incarnation,
            self._on_batch,
            self._fill_batch,
            self._on_peer_lost,
            self._on_peer_opened,
        )
        self._scheduler = SharedScheduler(
            options.instance,
            self._dispatcher,
            self._links,
            self.log.event,
        )
        self._began_at = self._loop.time()
        self._spent_seen: dict[tuple[str, str, str], float] = {}
        dialect = PlatformDialect()
        self._conns = ConnectionPool(dialect.id_header, _CONNECT_S)
        runner = Runner(
            self._gate,
            self._scheduler,
            self._conns,
            dialect,
            self,
            options.instance,
        )
        self._front = HttpServer(runner.handle, self._failed, ServerLimits())
        self._ready = self._server(self._answer_ready)
        self._locate = self._server(self._answer_locate)
        self._scrape = self._server(self._answer_metrics)
        self._entries: tuple[InstanceEntry, ...] = ()
        self._upstreams: frozenset[Upstream] = frozenset()
        self._registration = Registration(
            StoreClient(options.store.address),
            self._own_entry,
            self.log.event,
            rng,
        )
        self._follower = Follower(
            StoreClient(options.store.address),
            self,
            self.log.event,
            rng,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    # -- life

    async def start(self) -> None:
        """Open all addresses and begin to follow the store."""
        options = self._options
        await asyncio.gather(
            self._front.listen(options.front.host, options.front.port),
            self._ready.listen(options.ready.host, options.ready.port),
            self._locate.listen(options.locate.host, options.locate.port),
            self._scrape.listen(options.metrics.host, options.metrics.port),
        )
        await self._links.listen(str(options.peer), self._follower.raw_state)
        self._spawn(self._follower.run())
        self._spawn(self._registration.run())
        self._spawn(self._chores())
        self._spawn(self._tick())
        self.log.event(
            Event.started,
            front=str(options.front),
            store=str(options.store.address),
        )

    async def stop(self) -> None:
        """Send callers elsewhere and finish what runs."""
        if self._stopping:
            return
        self._stopping = True
        self._scheduler.leaving = True
        began_at = self._loop.time()
        self.log.event(Event.stopping, busy=self._front.busy)
        self._front.stop_keeping()
        registration = self._tasks[1]
        registration.cancel()
        leaving = asyncio.create_task(self._registration.leave())
        ends_at = began_at + self._options.bounds.grace_s - _STOP_MARGIN_S
        left_at = began_at + _KEEPS * _LOCATE_KEEP_S
        while self._loop.time() < ends_at:
            now = self._loop.time()
            if now >= left_at and not self._front.busy:
                break
            await asyncio.sleep(_STOP_LOOK_S)
        leaving.cancel()
        self._front.close()
        self._front.close_idle()
        self.log.event(Event.stopped, unfinished=self._front.busy)

    # -- from the store

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
        self._metrics.state_version.set(state.version)
        self.log.event(
            Event.state_taken,
            version=state.version,
            routes=len(state.routes),
            keys=len(state.keys),
        )

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take all upstreams as they stand."""
        usable = {
            (upstream.host, upstream.port)
            for upstream in upstreams
            if not upstream.leaving
        }
        for upstream in self._upstreams:
            address = (upstream.host, upstream.port)
            if address not in usable:
                self._conns.drop(address)
        self._upstreams = frozenset(upstreams)
        self._dispatcher.take_upstreams(upstreams)
        self.log.event(
            Event.upstreams_changed,
            known=len(upstreams),
            usable=len(usable),
        )

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Take all registered instances."""
        self._entries = entries
        self._gate.instances = max(1, len(entries))
        own = self._options.instance
        self._links.take_peers(
            {
                entry.instance: entry.peer
                for entry in entries
                if entry.instance != own
            },
        )
        self.log.event(Event.instances_changed, known=len(entries))

    def on_confirmed(self, asked_at: float) -> None:
        """Take that the desired state was in force at this time."""
        self._gate.freshness.confirm(asked_at)

    def on_store(self, *, reachable: bool) -> None:
        """Take that the store was lost or is back."""
        self._metrics.store_up.set(int(reachable))
        event = Event.kv_up if reachable else Event.kv_down
        self.log.event(event, age=self._gate.freshness.age(self._loop.time()))

    # -- telemetry of requests

    def event(self, event: Event, **fields: object) -> None:
        """Log an event of a request."""
        if event is Event.refused:
            self._metrics.refusals.labels(fields['reason']).inc()
        if event is Event.send_ended:
            self._metrics.sends.labels(fields['ending']).inc()
        self.log.event(event, **fields)

    def ended(self, outcome: str, total_s: float, route_kind: str) -> None:
        """Count a request that has ended."""
        self._metrics.requests.labels(route_kind, outcome).inc()
        self._metrics.request_seconds.labels(route_kind).observe(total_s)

    # -- from other instances

    def _on_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        now = self._loop.time()
        for spent in batch.spent:
            seen_key = (batch.sender, batch.incarnation, spent.workspace)
            # An instance that this one did not hear before has reported to
            # the others; of its past only the last window counts here.
            before = spent.total - spent.within_window
            seen = self._spent_seen.get(seen_key, before)
            self._spent_seen[seen_key] = spent.total
            self._gate.quotas.reported(
                spent.workspace,
                spent.total - seen,
                now,
            )
        self._take_confirmation(batch, now)
        self._scheduler.on_batch(peer, batch)

    def _take_confirmation(self, batch: peers_pb2.Batch, now: float) -> None:
        # The sender saw our question before it said how old its own
        # confirmation was, so counting from the question is on the safe side.
        if batch.state_version != self._gate.version:
            return
        if batch.echo_us and batch.confirmed_ms_ago >= 0:
            asked_at = batch.echo_us / _MICRO
            if asked_at <= now:
                self._gate.freshness.confirm(
                    asked_at - batch.confirmed_ms_ago / _MILLI,
                )

    def _fill_batch(self, batch: peers_pb2.Batch) -> None:
        now = self._loop.time()
        age = self._gate.freshness.age(now)
        batch.state_version = self._gate.version
        batch.confirmed_ms_ago = -1
        if age is not None:
            batch.confirmed_ms_ago = int(age * _MILLI) + 1
        batch.leaving = self._stopping
        batch.uptime_ms = int((now - self._began_at) * _MILLI)
        for name, use in self._gate.quotas.report(now).items():
            batch.spent.add(
                workspace=name,
                total=use[0],
                within_window=use[1],
            )

    def _on_peer_lost(self, peer: Peer, exc: Exception) -> None:
        self.log.event(Event.peer_down, peer=peer.name, cause=str(exc)[:100])

    def _on_peer_opened(self, peer: Peer) -> None:
        self._scheduler.on_opened(peer)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._scheduler.tick()
            self._gate.quotas.take_fleet(self._fleet())

    def _fleet(self) -> Fleet:
        now = self._loop.time()
        window_s = self._options.bounds.quota_window_s
        started = [self._began_at]
        live = self._scheduler.ownership.live
        for peer in self._links.peers.values():
            if peer.name in live:
                started.append(peer.started_at)
        instances = max(self._gate.instances, len(started))
        forgotten = sum(
            max(0, 1 - (now - started_at) / window_s) for started_at in started
        )
        return Fleet(
            instances,
            len(started) / instances,
            forgotten / instances,
        )

    # -- small answers

    async def _answer_ready(self, exchange: Exchange) -> None:
        ready = self._gate.version >= 0 and not self._stopping
        if ready:
            exchange.answer(_OK, b'OK', (), b'')
            return
        exchange.answer(_UNAVAILABLE, b'Service Unavailable', (), b'')

    async def _answer_locate(self, exchange: Exchange) -> None:
        own = None if self._stopping else str(self._options.front)
        addresses = front_addresses(self._entries, own, self._rng)
        if self._stopping:
            addresses = [
                address
                for address in addresses
                if address != str(self._options.front)
            ]
        body = {'addresses': addresses, 'ttl-s': _LOCATE_KEEP_S}
        self._send_json(exchange, body)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        self._refresh_gauges()
        headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
        exchange.answer(_OK, b'OK', headers, self._metrics.text())

    def _send_json(self, exchange: Exchange, body: dict[str, Any]) -> None:
        headers = ((b'Content-Type', b'application/json'),)
        exchange.answer(_OK, b'OK', headers, json.dumps(body).encode())

    # -- inner steps

    def _server(self, respond: Respond) -> HttpServer:
        return HttpServer(respond, self._failed, ServerLimits())

    def _describe(self) -> InstanceEntry:
        options = self._options
        return InstanceEntry(
            instance=options.instance,
            incarnation=f'{self._rng.getrandbits(_ID_BITS):016x}',
            front=str(options.front),
            peer=str(options.peer),
            zone=options.zone,
            region=options.region,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self.log.failure('task', exc)

    def _failed(self, exc: Exception) -> None:
        self.log.failure('request', exc)

    def _refresh_gauges(self) -> None:
        self._metrics.connections.set(self._front.open_connections)
        age = self._gate.freshness.age(self._loop.time())
        if age is not None:
            self._metrics.confirmation_age_seconds.set(age)
        for cause, dropped in self._stream.dropped.items():
            self._metrics.log_lines_dropped.labels(cause).set(dropped)

    async def _chores(self) -> None:
        while True:
            await asyncio.sleep(_CHORES_S)
            self._conns.close_old()
            self.log.report_dropped()
