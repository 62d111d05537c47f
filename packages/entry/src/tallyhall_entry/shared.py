"""One queue a service, at its owner, with a queue here as the way out.

A request of a model service asks the service's owner for an upstream. If
the owner does not answer at once, or is lost while the request waits, it asks
the candidate after it. If none of them answers, the pools of this instance
decide alone, from what this instance runs, and fill its part of the places.
Either way the request is sent from here and nowhere else, so an owner that is
wrong, late or doubled costs order in the queue and nothing more.

Whoever granted a job or was told of it hears of its end, so that places of
upstreams are free again wherever they are counted.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Ending, Grant, Job, RunReport
from tallyhall_dispatch.pool import Granted
from tallyhall_dispatch.refusing import GivenUp
from tallyhall_edge.scheduling import Dispatcher, GivenUpError
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_codec import (
    decode_done,
    decode_give_up,
    decode_job,
)
from tallyhall_transport.peers import PeerLinks

from .job_talk import JobTalk, PeerOrigin
from .knowledge import Known, known
from .neighbours import Neighbours
from .owners import Owners
from .upstream_news import UpstreamNews

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# What a lost instance runs is no longer counted after this long.
_DROP_S = 1.5
# An owner that has not answered within this time is passed by; its answer
# normally takes 3 ms.
_ANSWER_S = 0.06
# A request that is held must be decided this long before it is given up; a
# tick, at which held ones are looked at, takes 50 ms.
_HELD_MARGIN_S = 0.15
_MILLI = 1000


class _Ticket(msgspec.Struct):
    """A job of this instance; `owner` None while it is decided here."""

    job: Job
    fut: asyncio.Future[Upstream]
    owner: str | None = None
    timer: asyncio.TimerHandle | None = None
    # When the owner was asked.
    asked_at: float = 0
    # Owners that have not answered it.
    unanswered: int = 0
    upstream: Upstream | None = None
    forecast_s: float = 0
    begun: bool = False
    # Decided nowhere until this instance's part of the places allows it.
    held: bool = False
    told: set[str] = msgspec.field(default_factory=set)


class SharedScheduler:
    """Asks owners for upstreams; a `Scheduler`."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        links: PeerLinks,
        log: Callable[..., None],
    ) -> None:
        """Decide with this dispatcher where no owner does."""
        self.leaving = False
        self._owners = Owners(name, dispatcher, links)
        self.ownership = self._owners.ownership
        # Instances that hear all, as seen from here.
        self.hubs: frozenset[str] = frozenset()
        self._name = name
        self._dispatcher = dispatcher
        self._links = links
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tickets: dict[str, _Ticket] = {}
        self._origins: dict[str, PeerOrigin] = {}
        self._dropped: set[str] = set()
        # Jobs that wait or run by a decision made alone, by service.
        self._alone: dict[str, set[str]] = collections.defaultdict(set)
        self._neighbours = Neighbours(name, links)
        self._talk = JobTalk(links)
        self.upstream_news = UpstreamNews(dispatcher, links, log)
        self._known = Known()

    @property
    def known(self) -> Known:
        """Return until when others know what was admitted here."""
        return self._known

    # -- Scheduler

    async def acquire(self, job: Job) -> Grant:
        """Return an upstream for one send; raise RefusedError."""
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
        return Grant(
            upstream,
            ticket.owner or self._name,
            waited_s,
            ticket.forecast_s,
        )

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream still takes new requests."""
        return self._dispatcher.is_usable(upstream.incarnation)

    def first_byte(self, job: Job) -> None:
        """Take that the answer of a job has begun."""
        ticket = self._tickets.get(job.key)
        if ticket is None:
            return
        ticket.begun = True
        self._dispatcher.first_byte(job.key, job.service)
        for peer in ticket.told:
            self._talk.begun(peer, job.key)

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Take that a send has ended."""
        ticket = self._tickets.pop(job.key, None)
        self._alone[job.service].discard(job.key)
        incarnation = upstream.incarnation
        self._dispatcher.finish(job.key, job.service, incarnation, report)
        if ticket is None:
            return
        for peer in ticket.told:
            self._talk.done(peer, job.key, job.service, incarnation, report)

    def opens_in_s(self, service: str, resting: Mapping[str, float]) -> float:
        """Return how long all upstreams rest, 0 if one does not."""
        return self._dispatcher.opens_in_s(service, resting)

    # -- from the links

    def on_opened(self, peer: Peer) -> None:
        """Take that a new stream to a peer begins: it knows nothing."""
        for ticket in self._tickets.values():
            ticket.told.discard(peer.name)
        self.upstream_news.on_opened(peer)

    def on_batch(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Take what another instance says about jobs."""
        name = peer.name
        restarted = peer.incarnation != batch.incarnation
        peer.incarnation = batch.incarnation
        if restarted or batch.opened:
            self._dispatcher.drop_jobs(f'{name}/')
        self._dropped.discard(name)
        self.upstream_news.take(peer, batch)
        now = self._loop.time()
        for running in batch.running:
            job = decode_job(running.job, now)
            self._dispatcher.note_running(job, running.upstream)
            if running.begun:
                self._dispatcher.first_byte(job.key, job.service)
        for key in batch.begun:
            self._dispatcher.first_byte_of(key)
        for done in batch.done:
            self._dispatcher.finish(
                done.key,
                done.service,
                done.upstream,
                decode_done(done),
            )
        # Before the asks: a job that is asked again may still have its old
        # withdrawal, or the refusal of a crossed grant, in the same batch.
        for key in batch.withdrawn:
            self._dispatcher.withdraw(key)
        for ask in batch.asks:
            self._take_ask(name, decode_job(ask, now))
        self._take_answers(name, batch)

    # -- an `Origin`, for jobs that this instance decides itself

    def granted(self, granted: Granted) -> None:
        """Hear that a job may be sent, and when an answer is expected."""
        ticket = self._tickets.get(granted.key)
        upstream = granted.upstream
        if ticket is None or ticket.fut.done():
            report = RunReport(Ending.left, 0)
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
        ticket.fut.set_result(upstream)

    def given_up(self, given_up: GivenUp) -> None:
        """Hear that a job cannot be answered in time."""
        ticket = self._tickets.get(given_up.key)
        if ticket is not None and not ticket.fut.done():
            _stop_timer(ticket)
            ticket.fut.set_exception(GivenUpError(given_up))

    def tick(self) -> None:
        """Look who is live, and move jobs to the owners of now."""
        self._drop_lost()
        self.look()
        self._take_limit_parts()
        for ticket in tuple(self._tickets.values()):
            self._move(ticket)

    def take_share(self, share: float) -> None:
        """Fill at most this part of the places of model engines."""
        self._owners.share = share
        self._dispatcher.take_share(share)

    def look(self) -> None:
        """Look who is live and knows what was admitted here."""
        now = self._loop.time()
        seen = self._neighbours.look(now, leaving=self.leaving)
        self._links.hears = seen.hears
        self._links.hears_directly = seen.hears_directly
        self.hubs = seen.hubs
        self._links.is_hub = self._name in seen.hubs
        self._known = known(self._links, self._name, seen.hubs, now)
        # Where all stop, those that hear all go on to own the services:
        # without an owner each would fill all places.
        owners = seen.owners or seen.hubs
        if self.ownership.take_live(owners):
            self._log(
                Event.instances_changed,
                live=sorted(owners),
                hears=seen.hears,
            )

    # -- inner steps

    def _take_limit_parts(self) -> None:
        self._dispatcher.take_limit_parts(
            {
                service: self._owners.limit_part(service)
                for service in self._dispatcher.limited_services
            },
        )

    def _drop_lost(self) -> None:
        """Forget the jobs of those that are not heard any more."""
        now = self._loop.time()
        drop_s = max(_DROP_S, self._links.lost_s)
        for peer in self._links.peers.values():
            heard_s = now - peer.heard_at
            if heard_s > drop_s and peer.name not in self._dropped:
                self._dropped.add(peer.name)
                self._dispatcher.drop_jobs(f'{peer.name}/')

    def _take_ask(self, peer: str, job: Job) -> None:
        origin = self._origins.setdefault(
            peer,
            PeerOrigin(self._links, peer),
        )
        self._dispatcher.ask(job, origin)
        if self._dispatcher.is_waiting(job.key):
            self._talk.queued(peer, job.key)

    def _take_answers(self, peer: str, batch: peers_pb2.Batch) -> None:
        for key in batch.queued:
            ticket = self._tickets.get(key)
            if ticket is not None and ticket.owner == peer:
                _stop_timer(ticket)
        for grant in batch.grants:
            self._take_grant(peer, grant)
        for give_up in batch.give_ups:
            ticket = self._tickets.get(give_up.key)
            if ticket is not None and ticket.owner == peer:
                self.given_up(decode_give_up(give_up))

    def _take_grant(self, peer: str, grant: peers_pb2.Grant) -> None:
        key = grant.key
        incarnation = grant.upstream
        ticket = self._tickets.get(key)
        upstream = self._dispatcher.upstream(incarnation)
        waits = ticket is not None and ticket.owner == peer
        if ticket is None or not waits or ticket.fut.done():
            self._refuse_grant(peer, key, incarnation)
            return
        if upstream is None or not self.is_usable(upstream):
            self._refuse_grant(peer, key, incarnation)
            self._decide_here(ticket)
            return
        ticket.told.add(peer)
        self._dispatcher.note_running(ticket.job, incarnation)
        self.granted(Granted(key, upstream, grant.forecast_ms / _MILLI))

    def _refuse_grant(self, peer: str, key: str, incarnation: str) -> None:
        service = self._dispatcher.service_of(incarnation)
        report = RunReport(Ending.left, 0)
        self._talk.done(peer, key, service, incarnation, report)
        # What was told before may have been lost with a stream.
        self.upstream_news.tell_again(peer, incarnation)

    def _ask(self, ticket: _Ticket, owner: str | None) -> None:
        service = ticket.job.service
        self._alone[service].discard(ticket.job.key)
        if owner is None:
            if self._owners.is_alone(service):
                self._decide_alone(ticket)
                return
            self._decide_here(ticket)
            return
        if not self._talk.ask(owner, ticket.job):
            self._decide_here(ticket)
            return
        ticket.held = False
        ticket.owner = owner
        ticket.asked_at = self._loop.time()
        ticket.timer = self._loop.call_later(
            _ANSWER_S,
            self._unanswered,
            ticket,
        )

    def _next_owner(self, ticket: _Ticket) -> str | None:
        job = ticket.job
        left_s = job.due_at - self._loop.time()
        return self._owners.next_for(
            job.service,
            ticket.unanswered,
            left_s,
            _ANSWER_S,
        )

    def _decide_alone(self, ticket: _Ticket) -> None:
        """Decide beside instances that do the same: fill a part only.

        Otherwise as many requests reach an upstream as instances have one,
        and it rejects what is above its places. What is held is looked at
        at every tick, so that fewer places than instances serve all in turn.
        """
        job = ticket.job
        alone = self._alone[job.service]
        ticket.owner = None
        ticket.held = not self._dispatcher.may_fill(
            job.service,
            len(alone),
            self._links.instances,
        )
        late = self._loop.time() >= job.give_up_at - _HELD_MARGIN_S
        if late or not ticket.held:
            alone.add(job.key)
            self._decide_here(ticket)

    def _decide_here(self, ticket: _Ticket) -> None:
        _stop_timer(ticket)
        ticket.held = False
        ticket.owner = None
        self._dispatcher.ask(ticket.job, self)

    def _unanswered(self, ticket: _Ticket) -> None:
        owner = ticket.owner
        if owner is None or ticket.fut.done():
            return
        self._owners.unanswered(owner, ticket.asked_at)
        self._log(Event.peer_down, peer=owner, cause='asks unanswered')
        ticket.unanswered += 1
        self._tell_withdrawn(ticket)
        # The next one counts for all who ask it; alone each counts its own.
        self._ask(ticket, self._next_owner(ticket))

    def _withdraw(self, ticket: _Ticket) -> None:
        _stop_timer(ticket)
        if ticket.upstream is not None:
            report = RunReport(Ending.left, 0)
            self.finish(ticket.job, ticket.upstream, report)
            return
        self._tickets.pop(ticket.job.key, None)
        self._alone[ticket.job.service].discard(ticket.job.key)
        self._dispatcher.withdraw(ticket.job.key)
        self._tell_withdrawn(ticket)

    def _move(self, ticket: _Ticket) -> None:
        owner = self._owners.usable(ticket.job.service)
        if ticket.upstream is not None:
            if owner is not None and owner not in ticket.told:
                self._tell_running(owner, ticket)
            return
        if ticket.fut.done():
            return
        if ticket.owner is None:
            owner = self._next_owner(ticket)
        if ticket.owner == owner and not ticket.held:
            return
        if ticket.owner is None:
            self._dispatcher.withdraw(ticket.job.key)
        else:
            self._tell_withdrawn(ticket)
        _stop_timer(ticket)
        self._ask(ticket, owner)

    def _tell_running(self, owner: str, ticket: _Ticket) -> None:
        upstream = ticket.upstream
        if upstream is None:
            return
        begun = ticket.begun
        if self._talk.running(owner, ticket.job, upstream, begun=begun):
            ticket.told.add(owner)

    def _tell_withdrawn(self, ticket: _Ticket) -> None:
        if ticket.owner is not None:
            self._talk.withdrawn(ticket.owner, ticket.job.key)


def _stop_timer(ticket: _Ticket) -> None:
    if ticket.timer is not None:
        ticket.timer.cancel()
        ticket.timer = None
