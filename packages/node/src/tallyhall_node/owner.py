"""The owner role: one pool for each service assigned to this incarnation.

A new owner first requests a report of running requests from every live home,
and permits nothing until all have responded or a timeout has elapsed. After
shedding a tier, an owner starts no lower tiers for a while; a new owner assumes
that its predecessor has just returned so.
"""

from __future__ import annotations

import dataclasses

from tallyhall_admission import permit_records
from tallyhall_admission.outgoing import Outgoing, refusal_message
from tallyhall_admission.policy import make_policy
from tallyhall_admission.pool import Pool, PoolCounts
from tallyhall_core.events import Event
from tallyhall_core.ids import RequestId
from tallyhall_core.messages import (
    Ask,
    AskRefused,
    Done,
    Holding,
    HoldingWanted,
    NotOwner,
    Progress,
    Query,
    QueryAnswer,
    Withdraw,
)
from tallyhall_core.refusals import Reason

from .actions import Action, LogEvent
from .quarantine import Quarantine
from .view import View

_REPORT_INTERVAL_S = 0.3


@dataclasses.dataclass(slots=True)
class _OwnedService:
    pool: Pool
    since: int
    started_at: float
    is_deputy: bool = False
    reports_requested_at: float = 0
    suspended: bool = False
    reported_homes: set[str] = dataclasses.field(default_factory=set)


class OwnerRole:
    """Manages the pools of the services that this incarnation owns."""

    def __init__(self, view: View) -> None:
        """Initialize without owned services."""
        self._view = view
        self._owned: dict[str, _OwnedService] = {}
        self._absent_since: dict[str, float] = {}
        self._quarantine = Quarantine()

    def services(self) -> tuple[str, ...]:
        """Return the owned services, including those served as a deputy."""
        return tuple(sorted(self._owned))

    def counts(self) -> dict[str, PoolCounts]:
        """Return the counts of each service for `status`."""
        return {name: own.pool.counts() for name, own in self._owned.items()}

    def suspend(self, now: float) -> None:
        """Stop permitting and refusing until homes have reported again."""
        for owned in self._owned.values():
            owned.pool.ready = False
            owned.suspended = True
            owned.started_at = now
            owned.reports_requested_at = 0
            owned.reported_homes.clear()

    # -- changes of shared values

    def on_assignment(self, now: float) -> list[Action]:
        """Start and remove pools according to the assignment."""
        out: list[Action] = []
        view = self._view
        for name, owned in list(self._owned.items()):
            if not self._still_owns(name, owned):
                self._owned.pop(name)
        for service, tenure in view.assignment.owners.items():
            if tenure.owner == view.me and service not in self._owned:
                out += self._start_pool(service, tenure.since, now)
        fenced = view.assignment.fenced.keys()
        for owned in self._owned.values():
            owned.pool.remove_queued(fenced)
        return out

    def on_table(self, now: float) -> None:
        """Apply the new table to every pool."""
        for owned in self._owned.values():
            owned.pool.configure(self._view.table, now)

    def on_instances(self) -> None:
        """Apply the new instance list to every pool."""
        for service, owned in self._owned.items():
            owned.pool.apply_upstreams(
                self._view.instances.upstreams_of(service)
            )

    # -- messages

    def on_permit_request(
        self, sender: str, request: Ask, now: float
    ) -> list[Action]:
        """Queue a permit request; refuse it if its home has been fenced.

        The home is told if this incarnation does not own the service.
        """
        rid = RequestId.parse(request.id)
        out: list[Action] = []
        if request.service not in self._owned and not rid.takeover:
            out += self._start_deputy(request.service, now)
        owned = self._owned.get(request.service)
        if owned is None or (owned.is_deputy and rid.takeover):
            reply = NotOwner(
                request.id,
                request.service,
                request.attempt,
                self._view.assignment.epoch,
            )
            return self._view.send(sender, reply)
        holder = self._view.assignment.holder_of(str(rid.home))
        if holder != request.holder:
            refused = AskRefused(
                request.id,
                request.service,
                request.attempt,
                Reason.fenced,
                0,
            )
            return self._view.send(sender, refused)
        wait_s = self._quarantine.try_start(request, now)
        if wait_s:
            quarantined = refusal_message(request, Reason.quarantined, wait_s)
            return [*out, *self._to_actions([quarantined])]
        request = dataclasses.replace(
            request, ends=self._quarantine.termination_count(request, now)
        )
        return [*out, *self._to_actions(owned.pool.ask(request, now))]

    def on_permit_returned(self, returned: Done, now: float) -> list[Action]:
        """Process a permit that a home returns."""
        self._quarantine.record_result(returned, now)
        owned = self._owned.get(returned.service)
        return self._to_actions(owned.pool.done(returned, now)) if owned else []

    def on_permit_request_cancelled(
        self, msg: Withdraw, now: float
    ) -> list[Action]:
        """Cancel a permit request, or release a permit that is not used."""
        self._quarantine.remove_attempt(msg.id)
        owned = self._owned.get(msg.service)
        return (
            self._to_actions(owned.pool.withdraw(msg.id, now)) if owned else []
        )

    def on_progress(self, report: Progress, now: float) -> list[Action]:
        """Process a home's report of open streams."""
        owned = self._owned.get(report.service)
        return (
            self._to_actions(owned.pool.progress(report, now)) if owned else []
        )

    def on_running_report(self, report: Holding, now: float) -> list[Action]:
        """Record the running requests of a home; permit once all reported."""
        owned = self._owned.get(report.service)
        if owned is None or owned.since != report.since:
            return []
        if report.home not in owned.reported_homes:
            owned.reported_homes.add(report.home)
            for seen in report.seen:
                self._quarantine.record_observed(seen, now)
            owned.pool.holding(report, now)
        return self._check_ready(report.service, owned, now)

    def on_takeover_query(
        self, sender: str, query: Query, now: float
    ) -> list[Action]:
        """Answer a takeover query, whose assignment the node has applied."""
        verdict = QueryAnswer(query.id, query.service, 'unknown')
        rid = RequestId.parse(query.id)
        owned = self._owned.get(query.service)
        holder = self._view.assignment.holder_of(str(rid.home))
        if owned is None or owned.is_deputy or holder != query.taker:
            return self._view.send(sender, verdict)
        lookup = owned.pool.state.permit_records.look_up(rid)
        if lookup.state == permit_records.PERMITTED:
            verdict = QueryAnswer(
                query.id,
                query.service,
                'permitted',
                lookup.upstream,
                owned.pool.state.address_of(lookup.upstream),
            )
        elif (
            lookup.state == permit_records.NEVER
            and self.has_all_permits_since(
                query.service,
                rid.epoch,
            )
        ):
            verdict = QueryAnswer(query.id, query.service, 'never')
        return self._view.send(sender, verdict)

    def has_all_permits_since(self, service: str, epoch: int) -> bool:
        """Return whether no other owner can have permitted ids since `epoch`.

        If this owner was assigned after an id was generated, its predecessor
        may have permitted that id.
        """
        owned = self._owned.get(service)
        return owned is not None and owned.since <= epoch

    def on_load_report(
        self,
        service: str,
        upstream: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Process the load that an upstream reports."""
        owned = self._owned.get(service)
        if owned is not None:
            owned.pool.state.record_load(upstream, requests, cache_tokens)

    # -- timers

    def tick(self, now: float) -> list[Action]:
        """Run the timers of all pools; request missing reports from homes."""
        out: list[Action] = []
        for service, owned in list(self._owned.items()):
            if not owned.pool.ready:
                out += self._check_ready(service, owned, now)
            out += self._request_reports(service, owned, now)
            owned.pool.set_unreported_work(
                exists=self._has_unreported_homes(owned, now)
            )
            if owned.is_deputy and not self._view.kv_down(now):
                self._owned.pop(service)
                continue
            out += self._to_actions(owned.pool.tick(now))
        self._remove_absent_homes(now)
        return out

    # -- internals

    def _start_pool(
        self,
        service: str,
        since: int,
        now: float,
        *,
        deputy: bool = False,
    ) -> list[Action]:
        cfg = self._view.cfg
        pool = Pool(service, make_policy(cfg.policy), cfg.pool)
        pool.configure(self._view.table, now)
        pool.apply_upstreams(self._view.instances.upstreams_of(service))
        pool.inherit_holds(now)
        owned = _OwnedService(pool, since, now, deputy)
        self._owned[service] = owned
        event = Event.deputy_started if deputy else Event.owner_started
        return [
            LogEvent(event, {'service': service, 'since': since}),
            *self._request_reports(service, owned, now),
        ]

    def _still_owns(self, service: str, owned: _OwnedService) -> bool:
        same_tenure = self._view.owner_since(service) == owned.since
        if owned.is_deputy:
            return same_tenure
        return same_tenure and self._view.owner_of(service) == self._view.me

    def _start_deputy(self, service: str, now: float) -> list[Action]:
        view = self._view
        owner = view.owner_of(service)
        if not view.kv_down(now) or view.is_home_live(owner, now):
            return []
        if view.deputy_of(service, now) != view.me:
            return []
        return self._start_pool(
            service, view.owner_since(service), now, deputy=True
        )

    def _request_reports(
        self,
        service: str,
        owned: _OwnedService,
        now: float,
    ) -> list[Action]:
        if now - owned.reports_requested_at < _REPORT_INTERVAL_S:
            return []
        owned.reports_requested_at = now
        out: list[Action] = []
        request = HoldingWanted(service, owned.since)
        for home in sorted(self._live_homes(now) - owned.reported_homes):
            out.extend(self._view.send(home, request))
        return out

    def _check_ready(
        self,
        service: str,
        owned: _OwnedService,
        now: float,
    ) -> list[Action]:
        if owned.pool.ready:
            return []
        homes = self._live_homes(now)
        timed_out = now - owned.started_at >= self._view.cfg.report_timeout_s
        # After a pause the list of live homes and the assignment may be
        # outdated, so a resumed owner always waits for the whole timeout.
        complete = homes <= owned.reported_homes and not owned.suspended
        if not timed_out and not complete:
            return []
        owned.suspended = False
        owned.pool.ready = True
        owned.pool.set_unreported_work(
            exists=self._has_unreported_homes(owned, now)
        )
        log = LogEvent(
            Event.owner_ready,
            {'service': service, 'complete': complete},
        )
        return [log, *self._to_actions(owned.pool.tick(now))]

    def _has_unreported_homes(self, owned: _OwnedService, now: float) -> bool:
        # A home without a report may run requests that an earlier owner
        # permitted, even if it is silent now or was so until recently.
        homes = self._live_homes(now)
        if now - owned.started_at <= self._view.cfg.silent_home_timeout_s:
            homes |= self._view.members.silent(now)
        return not homes <= owned.reported_homes

    def _live_homes(self, now: float) -> set[str]:
        live = self._view.members.live(now)
        return {f'{name}.{entry.incarnation}' for name, entry in live.items()}

    def _remove_absent_homes(self, now: float) -> None:
        # Homes that are absent for longer than any deadline are removed. Their
        # ids stay blocked, so this never allows a second dispatch.
        homes = self._live_homes(now)
        for owned in self._owned.values():
            for home in owned.pool.state.permit_records.homes() - homes:
                since = self._absent_since.setdefault(home, now)
                if now - since > self._permit_retention_s(home, now):
                    owned.pool.remove_homes({home}, now)
                    owned.reported_homes.discard(home)
                if now - since > self._view.cfg.absent_home_expiry_s:
                    owned.pool.state.permit_records.forget_home(home)
        for home in homes & self._absent_since.keys():
            self._absent_since.pop(home)

    def _permit_retention_s(self, home: str, now: float) -> float:
        # The requests of a silent home may still be running, so its permits
        # are kept for longer than those of a home that is known to be dead.
        cfg = self._view.cfg
        instance, _, incarnation = home.partition('.')
        known = self._view.members.known(instance)
        same_incarnation = (
            known is not None and known.incarnation == incarnation
        )
        if same_incarnation and self._view.members.is_silent(instance, now):
            return cfg.silent_home_timeout_s
        return cfg.members.dead_after

    def _to_actions(self, messages: list[Outgoing]) -> list[Action]:
        out: list[Action] = []
        for outgoing in messages:
            out.extend(self._view.send(outgoing.to, outgoing.message))
        return out
