"""Schedules jobs through one queue per service, with a local fallback.

A request to a model service asks the owner of the service for an upstream. If
the owner does not respond at once, or is lost while the request waits, the next
candidate is asked. If no candidate responds, the pools of this instance decide
alone. They know only the jobs of this instance, and fill only its share of the
upstream slots. In any case the request is sent by this instance alone, so a
wrong, late or duplicate owner only affects the order of the queue.

Every instance that granted a job or was informed of it is told when it ends, so
that the slot is released wherever it is counted.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.group import UpstreamGroup
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport, SlotGrant
from tallyhall_dispatch.pool import GrantDecision
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_edge.scheduling import JobRejectedError
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_codec import (
    decode_done,
    decode_give_up,
    decode_job,
    decode_slowdown,
)
from tallyhall_transport.peer_streams import PeerStreams

from .job_messages import JobMessages, PeerOrigin
from .knowledge import PeerKnowledge, peer_knowledge
from .load_sharing import LoadSharing
from .owners import Owners
from .peer_tracker import PeerTracker
from .upstream_announcements import UpstreamAnnouncements

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Time after which the jobs of a lost instance are no longer counted.
_DROP_JOBS_AFTER_S = 1.5
# Timeout for the response of an owner, after which the next one is asked. A
# response normally takes 3 ms.
_OWNER_TIMEOUT_S = 0.06
# A held request is decided at the latest this long before it is given up. Held
# requests are checked at each tick, every 50 ms.
_HELD_MARGIN_S = 0.15
_MILLI = 1000


class _Ticket(msgspec.Struct):
    """A job of this instance; `owner` is None while it is decided locally."""

    job: Job
    fut: asyncio.Future[Upstream]
    owner: str | None = None
    timer: asyncio.TimerHandle | None = None
    # Time at which the owner was asked.
    asked_at: float = 0
    # Number of owners that did not respond.
    unanswered: int = 0
    upstream: Upstream | None = None
    forecast_s: float = 0
    # The slowdown of the upstream that was known when it was granted.
    slowdown: float = 1
    begun: bool = False
    # Queued nowhere until this instance's share of the slots allows it.
    held: bool = False
    informed: set[str] = msgspec.field(default_factory=set)


class SharedScheduler:
    """Obtains upstreams from service owners; a `Scheduler`."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        peer_streams: PeerStreams,
        log: Callable[..., None],
    ) -> None:
        """Use this dispatcher for decisions that no owner makes."""
        self.leaving = False
        self._owners = Owners(name, dispatcher, peer_streams)
        self.ownership = self._owners.ownership
        # Instances that hear from all others, as seen by this one.
        self.hubs: frozenset[str] = frozenset()
        self._name = name
        self._dispatcher = dispatcher
        self._peer_streams = peer_streams
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tickets: dict[str, _Ticket] = {}
        self._origins: dict[str, PeerOrigin] = {}
        self._dropped: set[str] = set()
        # Jobs that wait or run without any responsive owner, by service.
        self._alone: dict[str, set[str]] = collections.defaultdict(set)
        self._peer_tracker = PeerTracker(name, peer_streams)
        self._messages = JobMessages(peer_streams)
        self.loads = LoadSharing(
            dispatcher, peer_streams, self._owners.usable, log
        )
        self.upstream_listener = UpstreamAnnouncements(
            dispatcher, peer_streams, log, self.loads
        )
        self._known = PeerKnowledge()

    @property
    def known(self) -> PeerKnowledge:
        """Return up to what time peers know what was admitted here."""
        return self._known

    # -- Scheduler

    async def acquire(self, job: Job) -> SlotGrant:
        """Return an upstream for one send, or raise RefusedError."""
        fut: asyncio.Future[Upstream] = self._loop.create_future()
        ticket = _Ticket(job, fut)
        self._tickets[job.key] = ticket
        self._ask(ticket, self._owners.usable(job.service))
        try:
            upstream = await fut
        except BaseException:
            self._withdraw(ticket)
            raise
        waited_s = self._loop.time() - job.asked_at
        return SlotGrant(
            upstream,
            ticket.owner or self._name,
            waited_s,
            ticket.forecast_s,
        )

    def upstreams(self, service: str) -> UpstreamGroup | None:
        """Return the upstreams of a service, None if it is unknown."""
        pool = self._dispatcher.pools.get(service)
        return None if pool is None else pool.upstreams

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream still accepts new requests."""
        return self._dispatcher.is_usable(upstream.incarnation)

    def record_first_byte(self, job: Job) -> None:
        """Record that the response to a job has begun."""
        ticket = self._tickets.get(job.key)
        if ticket is None:
            return
        ticket.begun = True
        self._dispatcher.record_first_byte(job.key, job.service)
        for peer in ticket.informed:
            self._messages.begun(peer, job.key)

    def known_slowdown(self, job: Job) -> float:
        """Return the slowdown that was known when a job was granted."""
        ticket = self._tickets.get(job.key)
        return 1 if ticket is None else ticket.slowdown

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Record that a send has ended."""
        ticket = self._tickets.pop(job.key, None)
        self._alone[job.service].discard(job.key)
        incarnation = upstream.incarnation
        self._dispatcher.finish(job.key, job.service, incarnation, report)
        if ticket is None:
            return
        for peer in ticket.informed:
            self._messages.done(peer, job.key, job.service, incarnation, report)

    def backoff_ends_in_s(
        self, service: str, backoffs: Mapping[str, float]
    ) -> float:
        """Return how long all upstreams are paused, 0 if one is not."""
        return self._dispatcher.backoff_ends_in_s(service, backoffs)

    # -- peer callbacks

    def on_opened(self, peer: Peer) -> None:
        """Tell a peer again what the last stream to it may have lost."""
        for ticket in self._tickets.values():
            ticket.informed.discard(peer.name)
            self._ask_again(ticket, peer.name)
        self._messages.held(peer.name, self._dispatcher.pools.values())
        self.upstream_listener.on_opened(peer)

    def on_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Process the job messages of a peer."""
        name = peer.name
        restarted = peer.incarnation != batch.incarnation
        peer.incarnation = batch.incarnation
        if restarted or batch.opened:
            self._dispatcher.drop_jobs(f'{name}/')
        self._dropped.discard(name)
        self.upstream_listener.take(peer, batch)
        now = self._loop.time()
        for running in batch.running:
            job = decode_job(running.job, now)
            self._dispatcher.add_running(job, running.upstream)
            if running.begun:
                self._dispatcher.record_first_byte(job.key, job.service)
        for key in batch.begun:
            self._dispatcher.record_first_byte_of(key)
        for done in batch.done:
            self._dispatcher.finish(
                done.key,
                done.service,
                done.upstream,
                decode_done(done),
            )
        # Processed before the asks: if a job is asked for again, the batch may
        # also hold the withdrawal of its earlier ask, or the refusal of a grant
        # that crossed that withdrawal.
        for key in batch.withdrawn:
            self._dispatcher.cancel(key)
        for ask in batch.asks:
            self._handle_ask(name, decode_job(ask, now))
        self._handle_answers(name, batch)

    # -- a `JobListener`, for jobs that this instance decides itself

    def on_granted(self, granted: GrantDecision) -> None:
        """Complete a job's wait with an upstream and a response forecast."""
        ticket = self._tickets.get(granted.key)
        upstream = granted.upstream
        if ticket is None or ticket.fut.done():
            report = RunReport(AttemptOutcome.left, 0)
            self._dispatcher.finish(
                granted.key,
                upstream.service,
                upstream.incarnation,
                report,
            )
            return
        _stop_timer(ticket)
        ticket.upstream = upstream
        ticket.forecast_s = granted.forecast_s
        ticket.slowdown = self.loads.slowdown(upstream.incarnation)
        ticket.fut.set_result(upstream)

    def on_rejected(self, given_up: RejectDecision) -> None:
        """Fail a job's wait as it cannot meet its deadline."""
        ticket = self._tickets.get(given_up.key)
        if ticket is not None and not ticket.fut.done():
            _stop_timer(ticket)
            ticket.fut.set_exception(JobRejectedError(given_up))

    def tick(self) -> None:
        """Update the live peers, and move jobs to the current owners."""
        self._drop_lost()
        self.poll()
        self._dispatcher.apply_limit_shares(
            {
                service: self._owners.limit_share(service)
                for service in self._dispatcher.limited_services
            },
        )
        for ticket in tuple(self._tickets.values()):
            self._reassign(ticket)

    def take_share(self, share: float) -> None:
        """Use at most this fraction of the slots of model engines."""
        self._owners.share = share
        self._dispatcher.apply_slot_share(share)

    def poll(self) -> None:
        """Update which peers are live and know what was admitted here."""
        now = self._loop.time()
        seen = self._peer_tracker.update(now, leaving=self.leaving)
        self._peer_streams.heard_count = seen.heard_count
        self._peer_streams.directly_heard_count = seen.directly_heard_count
        self.hubs = seen.hubs
        self._peer_streams.is_hub = self._name in seen.hubs
        self._known = peer_knowledge(
            self._peer_streams, self._name, seen.hubs, now
        )
        # If all instances are stopping, the hubs continue to own services.
        # Without an owner each instance would fill all slots.
        owners = seen.owners or seen.hubs
        if self.ownership.take_live(owners):
            self._log(
                Event.instances_changed,
                live=sorted(owners),
                hears=seen.heard_count,
            )

    # -- implementation

    def _drop_lost(self) -> None:
        """Drop the jobs of peers that are no longer heard from."""
        now = self._loop.time()
        drop_s = max(_DROP_JOBS_AFTER_S, self._peer_streams.peer_timeout_s)
        for peer in self._peer_streams.peers.values():
            heard_s = now - peer.last_heard_at
            if heard_s > drop_s and peer.name not in self._dropped:
                self._dropped.add(peer.name)
                self._dispatcher.drop_jobs(f'{peer.name}/')

    def _handle_ask(self, peer: str, job: Job) -> None:
        origin = self._origins.setdefault(
            peer,
            PeerOrigin(self._peer_streams, peer, self.loads),
        )
        self._dispatcher.submit(job, origin)
        if self._dispatcher.is_waiting(job.key):
            self._messages.queued(peer, job.key)

    def _handle_answers(self, peer: str, batch: peers_pb2.Batch) -> None:
        for key in batch.queued:
            ticket = self._tickets.get(key)
            if ticket is not None and ticket.owner == peer:
                _stop_timer(ticket)
        for grant in batch.grants:
            self._handle_grant(peer, grant)
        for give_up in batch.give_ups:
            ticket = self._tickets.get(give_up.key)
            if ticket is not None and ticket.owner == peer:
                self.on_rejected(decode_give_up(give_up))
        # After the grants, as one of them may be among these.
        for held in batch.held:
            self._compare_held(peer, held.key, held.upstream)

    def _compare_held(self, peer: str, key: str, incarnation: str) -> None:
        """Release a slot that a peer counts for a job which does not run there.

        Its grant was lost with a stream. A job that still waits asks again.
        """
        ticket = self._tickets.get(key)
        if ticket is not None and ticket.upstream is not None:
            if ticket.upstream.incarnation == incarnation:
                ticket.informed.add(peer)
                return
            ticket.informed.discard(peer)
        self._refuse_grant(peer, key, incarnation)
        if ticket is not None:
            self._ask_again(ticket, peer)

    def _ask_again(self, ticket: _Ticket, owner: str) -> None:
        """Repeat the ask of a job that waits for this owner."""
        if ticket.owner != owner or ticket.fut.done():
            return
        _stop_timer(ticket)
        self._send_withdrawal(ticket)
        self._ask(ticket, owner)

    def _handle_grant(self, peer: str, grant: peers_pb2.Grant) -> None:
        key = grant.key
        incarnation = grant.upstream
        ticket = self._tickets.get(key)
        upstream = self._dispatcher.upstream(incarnation)
        waits = ticket is not None and ticket.owner == peer
        if ticket is None or not waits or ticket.fut.done():
            self._refuse_grant(peer, key, incarnation)
            return
        if upstream is None or not (
            _has_version(ticket.job, upstream) and self.is_usable(upstream)
        ):
            self._refuse_grant(peer, key, incarnation)
            self._decide_locally(ticket)
            return
        ticket.informed.add(peer)
        self._dispatcher.add_running(ticket.job, incarnation)
        self.on_granted(
            GrantDecision(key, upstream, grant.forecast_ms / _MILLI)
        )
        # The owner decided with its own reports; replaces the local value.
        ticket.slowdown = decode_slowdown(grant.slowdown_percent)

    def _refuse_grant(self, peer: str, key: str, incarnation: str) -> None:
        service = self._dispatcher.service_of(incarnation)
        report = RunReport(AttemptOutcome.left, 0)
        self._messages.done(peer, key, service, incarnation, report)
        # An earlier notice may have been lost with its stream.
        self.upstream_listener.resend_leaving(peer, incarnation)

    def _ask(self, ticket: _Ticket, owner: str | None) -> None:
        service = ticket.job.service
        self._alone[service].discard(ticket.job.key)
        if owner is None:
            if self._owners.has_only_remote_owners(service):
                self._decide_without_owner(ticket)
                return
            self._decide_locally(ticket)
            return
        if not self._messages.ask(owner, ticket.job):
            self._decide_locally(ticket)
            return
        ticket.held = False
        ticket.owner = owner
        ticket.asked_at = self._loop.time()
        ticket.timer = self._loop.call_later(
            _OWNER_TIMEOUT_S,
            self._on_ask_timeout,
            ticket,
        )

    def _next_owner(self, ticket: _Ticket) -> str | None:
        job = ticket.job
        left_s = job.due_at - self._loop.time()
        return self._owners.next_owner(
            job.service,
            ticket.unanswered,
            left_s,
            _OWNER_TIMEOUT_S,
        )

    def _decide_without_owner(self, ticket: _Ticket) -> None:
        """Decide locally without an owner, using only a share of the slots.

        Other instances do the same. Without the share, each could send a
        request to the same slot, and the upstream would reject the excess.
        Held jobs are checked at every tick, so that all instances are served
        in turn even if there are fewer slots than instances.
        """
        job = ticket.job
        alone = self._alone[job.service]
        ticket.owner = None
        ticket.held = not self._dispatcher.may_use_slot(
            job.service,
            len(alone),
            self._peer_streams.instances,
        )
        late = self._loop.time() >= job.reject_at - _HELD_MARGIN_S
        if late or not ticket.held:
            alone.add(job.key)
            self._decide_locally(ticket)

    def _decide_locally(self, ticket: _Ticket) -> None:
        _stop_timer(ticket)
        ticket.held = False
        ticket.owner = None
        self._dispatcher.submit(ticket.job, self)

    def _on_ask_timeout(self, ticket: _Ticket) -> None:
        owner = ticket.owner
        if owner is None or ticket.fut.done():
            return
        self._owners.unanswered(owner, ticket.asked_at)
        self._log(Event.peer_down, peer=owner, cause='asks unanswered')
        ticket.unanswered += 1
        self._send_withdrawal(ticket)
        # The next owner counts the jobs of all instances that ask it, whereas
        # an instance that decides alone counts only its own.
        self._ask(ticket, self._next_owner(ticket))

    def _withdraw(self, ticket: _Ticket) -> None:
        _stop_timer(ticket)
        if ticket.upstream is not None:
            report = RunReport(AttemptOutcome.left, 0)
            self.finish(ticket.job, ticket.upstream, report)
            return
        self._tickets.pop(ticket.job.key, None)
        self._alone[ticket.job.service].discard(ticket.job.key)
        self._dispatcher.cancel(ticket.job.key)
        self._send_withdrawal(ticket)

    def _reassign(self, ticket: _Ticket) -> None:
        owner = self._owners.usable(ticket.job.service)
        if ticket.upstream is not None:
            if owner is not None and owner not in ticket.informed:
                self._send_running(owner, ticket)
            return
        if ticket.fut.done():
            return
        if ticket.owner is None:
            owner = self._next_owner(ticket)
        if ticket.owner == owner and not ticket.held:
            return
        if ticket.owner is None:
            self._dispatcher.cancel(ticket.job.key)
        else:
            self._send_withdrawal(ticket)
        _stop_timer(ticket)
        self._ask(ticket, owner)

    def _send_running(self, owner: str, ticket: _Ticket) -> None:
        upstream = ticket.upstream
        if upstream is None:
            return
        begun = ticket.begun
        if self._messages.running(owner, ticket.job, upstream, begun=begun):
            ticket.informed.add(owner)

    def _send_withdrawal(self, ticket: _Ticket) -> None:
        if ticket.owner is not None:
            self._messages.withdrawn(ticket.owner, ticket.job.key)


def _has_version(job: Job, upstream: Upstream) -> bool:
    """Return whether an upstream has the version that a job may need."""
    return job.version in {None, upstream.version}


def _stop_timer(ticket: _Ticket) -> None:
    if ticket.timer is not None:
        ticket.timer.cancel()
        ticket.timer = None
