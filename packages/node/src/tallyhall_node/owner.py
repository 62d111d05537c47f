"""The owner role: one pool for each service that the assignment gives us.

A new owner first asks every live home what it has running, and permits
nothing until all have answered or a short time has passed. It starts no
lower tier for the promise that its predecessor may have given.
"""

from __future__ import annotations

import dataclasses

from tallyhall_admission import memory
from tallyhall_admission.outgoing import Outgoing, refuse
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

_ASK_HOMES_S = 0.3


@dataclasses.dataclass(slots=True)
class _Owned:
    pool: Pool
    since: int
    started: float
    deputy: bool = False
    wanted: float = 0
    suspended: bool = False
    reported: set[str] = dataclasses.field(default_factory=set)


class OwnerRole:
    """The pools of this incarnation."""

    def __init__(self, view: View) -> None:
        """Start owning nothing."""
        self._view = view
        self._owned: dict[str, _Owned] = {}
        self._absent: dict[str, float] = {}
        self._quarantine = Quarantine()

    def services(self) -> tuple[str, ...]:
        """Return the services owned, deputies' included."""
        return tuple(sorted(self._owned))

    def counts(self) -> dict[str, PoolCounts]:
        """Return numbers for `status` by service."""
        return {name: own.pool.counts() for name, own in self._owned.items()}

    def suspend(self, now: float) -> None:
        """Ask all homes anew before permitting or refusing any more."""
        for owned in self._owned.values():
            owned.pool.ready = False
            owned.suspended = True
            owned.started = now
            owned.wanted = 0
            owned.reported.clear()

    # -- changes of the view

    def on_assignment(self, now: float) -> list[Action]:
        """Start and drop pools as the assignment says."""
        out: list[Action] = []
        view = self._view
        for held, owned in list(self._owned.items()):
            if not self._still_owns(held, owned):
                self._owned.pop(held)
        for service, tenure in view.assignment.owners.items():
            if tenure.owner == view.me and service not in self._owned:
                out += self._start(service, tenure.since, now)
        fenced = view.assignment.fenced.keys()
        for mine in self._owned.values():
            mine.pool.drop_waiting(fenced)
        return out

    def on_table(self, now: float) -> None:
        """Hand a new table to every pool."""
        for owned in self._owned.values():
            owned.pool.configure(self._view.table, now)

    def on_instances(self) -> None:
        """Hand a new instance list to every pool."""
        for service, owned in self._owned.items():
            owned.pool.take_instances(self._view.instances.of(service))

    # -- messages

    def on_ask(self, sender: str, ask: Ask, now: float) -> list[Action]:
        """Take an ask; refuse what is not ours or from a fenced home."""
        rid = RequestId.parse(ask.id)
        out: list[Action] = []
        if ask.service not in self._owned and not rid.takeover:
            out += self._deputise(ask.service, now)
        owned = self._owned.get(ask.service)
        if owned is None or (owned.deputy and rid.takeover):
            reply = NotOwner(
                ask.id,
                ask.service,
                ask.attempt,
                self._view.assignment.epoch,
            )
            return self._view.send(sender, reply)
        holder = self._view.assignment.holder_of(str(rid.home))
        if holder != ask.holder:
            refused = AskRefused(
                ask.id,
                ask.service,
                ask.attempt,
                Reason.fenced,
                0,
            )
            return self._view.send(sender, refused)
        wait_s = self._quarantine.wait_s(ask, now)
        if wait_s:
            given_up = refuse(ask, Reason.quarantined, wait_s)
            return [*out, *self._out([given_up])]
        known = dataclasses.replace(ask, ends=self._quarantine.ends(ask, now))
        return [*out, *self._out(owned.pool.ask(known, now))]

    def on_done(self, done: Done, now: float) -> list[Action]:
        """Take a permit back."""
        self._quarantine.done(done, now)
        owned = self._owned.get(done.service)
        return self._out(owned.pool.done(done, now)) if owned else []

    def on_withdraw(self, msg: Withdraw, now: float) -> list[Action]:
        """Take that a home no longer wants a permit."""
        self._quarantine.drop(msg.id)
        owned = self._owned.get(msg.service)
        return self._out(owned.pool.withdraw(msg.id, now)) if owned else []

    def on_progress(self, report: Progress, now: float) -> list[Action]:
        """Take a home's report of open streams."""
        owned = self._owned.get(report.service)
        return self._out(owned.pool.progress(report, now)) if owned else []

    def on_holding(self, holding: Holding, now: float) -> list[Action]:
        """Take a home's running requests; permit once all have reported."""
        owned = self._owned.get(holding.service)
        if owned is None or owned.since != holding.since:
            return []
        if holding.home not in owned.reported:
            owned.reported.add(holding.home)
            for seen in holding.seen:
                self._quarantine.seen(seen, now)
            owned.pool.holding(holding, now)
        return self._check_ready(holding.service, owned, now)

    def on_query(self, sender: str, query: Query, now: float) -> list[Action]:
        """Answer a taker; the node has applied the query's assignment."""
        verdict = QueryAnswer(query.id, query.service, 'unknown')
        rid = RequestId.parse(query.id)
        owned = self._owned.get(query.service)
        holder = self._view.assignment.holder_of(str(rid.home))
        if owned is None or owned.deputy or holder != query.taker:
            return self._view.send(sender, verdict)
        recall = owned.pool.roster.memory.recall(rid)
        if recall.state == memory.PERMITTED:
            verdict = QueryAnswer(
                query.id,
                query.service,
                'permitted',
                recall.upstream,
                owned.pool.roster.address_of(recall.upstream),
            )
        elif recall.state == memory.NEVER and self.knows_all_since(
            query.service,
            rid.epoch,
        ):
            verdict = QueryAnswer(query.id, query.service, 'never')
        return self._view.send(sender, verdict)

    def knows_all_since(self, service: str, epoch: int) -> bool:
        """Return whether every permit of ids minted from `epoch` on is ours.

        An owner whose tenure began after an id was minted may have had a
        predecessor that permitted it.
        """
        owned = self._owned.get(service)
        return owned is not None and owned.since <= epoch

    def on_load(
        self,
        service: str,
        upstream: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Take an upstream's own load report."""
        owned = self._owned.get(service)
        if owned is not None:
            owned.pool.roster.load_report(upstream, requests, cache_tokens)

    # -- time

    def tick(self, now: float) -> list[Action]:
        """Run every pool's clock; ask homes that have not reported."""
        out: list[Action] = []
        for service, owned in list(self._owned.items()):
            if not owned.pool.ready:
                out += self._check_ready(service, owned, now)
            out += self._ask_homes(service, owned, now)
            owned.pool.set_blind(blind=self._is_blind(owned, now))
            if owned.deputy and not self._view.kv_down(now):
                self._owned.pop(service)
                continue
            out += self._out(owned.pool.tick(now))
        self._drop_absent(now)
        return out

    # -- internals

    def _start(
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
        pool.take_instances(self._view.instances.of(service))
        pool.inherit_promises(now)
        owned = _Owned(pool, since, now, deputy)
        self._owned[service] = owned
        event = Event.deputy_started if deputy else Event.owner_started
        return [
            LogEvent(event, {'service': service, 'since': since}),
            *self._ask_homes(service, owned, now),
        ]

    def _still_owns(self, service: str, owned: _Owned) -> bool:
        same = self._view.since(service) == owned.since
        if owned.deputy:
            return same
        return same and self._view.owner_of(service) == self._view.me

    def _deputise(self, service: str, now: float) -> list[Action]:
        view = self._view
        owner = view.owner_of(service)
        if not view.kv_down(now) or view.is_home_live(owner, now):
            return []
        if view.deputy_of(service, now) != view.me:
            return []
        return self._start(service, view.since(service), now, deputy=True)

    def _ask_homes(
        self,
        service: str,
        owned: _Owned,
        now: float,
    ) -> list[Action]:
        if now - owned.wanted < _ASK_HOMES_S:
            return []
        owned.wanted = now
        out: list[Action] = []
        wanted = HoldingWanted(service, owned.since)
        for home in sorted(self._live_homes(now) - owned.reported):
            out.extend(self._view.send(home, wanted))
        return out

    def _check_ready(
        self,
        service: str,
        owned: _Owned,
        now: float,
    ) -> list[Action]:
        if owned.pool.ready:
            return []
        homes = self._live_homes(now)
        late = now - owned.started >= self._view.cfg.rebuild_s
        # One that stood still has yet to hear who is alive, and whether it
        # still owns anything, so it waits the whole time.
        complete = homes <= owned.reported and not owned.suspended
        if not late and not complete:
            return []
        owned.suspended = False
        owned.pool.ready = True
        owned.pool.set_blind(blind=self._is_blind(owned, now))
        log = LogEvent(
            Event.owner_ready,
            {'service': service, 'complete': complete},
        )
        return [log, *self._out(owned.pool.tick(now))]

    def _is_blind(self, owned: _Owned, now: float) -> bool:
        # A home that has not reported may run what an earlier owner
        # permitted, also one that is silent now or was until a moment ago.
        homes = self._live_homes(now)
        if now - owned.started <= self._view.cfg.silent_s:
            homes |= self._view.members.silent(now)
        return not homes <= owned.reported

    def _live_homes(self, now: float) -> set[str]:
        live = self._view.members.live(now)
        return {f'{name}.{entry.incarnation}' for name, entry in live.items()}

    def _drop_absent(self, now: float) -> None:
        # Homes gone for longer than any deadline are forgotten; their ids
        # stay barred, so this never allows a second dispatch.
        homes = self._live_homes(now)
        for owned in self._owned.values():
            for home in owned.pool.roster.memory.homes() - homes:
                since = self._absent.setdefault(home, now)
                if now - since > self._patience(home, now):
                    owned.pool.homes_gone({home}, now)
                    owned.reported.discard(home)
                if now - since > self._view.cfg.forget_home_s:
                    owned.pool.roster.memory.drop(home)
        for back in homes & self._absent.keys():
            self._absent.pop(back)

    def _patience(self, home: str, now: float) -> float:
        # What a silent home runs may go on running, so its permits count for
        # longer than those of one that is surely gone.
        cfg = self._view.cfg
        instance, _, incarnation = home.partition('.')
        known = self._view.members.known(instance)
        same = known is not None and known.incarnation == incarnation
        if same and self._view.members.is_silent(instance, now):
            return cfg.silent_s
        return cfg.members.dead_after

    def _out(self, messages: list[Outgoing]) -> list[Action]:
        out: list[Action] = []
        for outgoing in messages:
            out.extend(self._view.send(outgoing.to, outgoing.message))
        return out
