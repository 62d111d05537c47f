"""One instance's decisions, composed of its roles.

Inputs are method calls with `now`, the runtime's monotonic clock in seconds;
outputs are actions. Nothing here blocks. The daemon calls it from a single
actor, so no two calls overlap.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.events import Event
from tallyhall_core.ids import RequestId
from tallyhall_core.messages import (
    Ask,
    AskRefused,
    Digest,
    Done,
    Holding,
    HoldingWanted,
    MemberEntry,
    Message,
    NotOwner,
    Permit,
    Progress,
    Query,
    QueryAnswer,
    Revoke,
    SharedValue,
    Want,
    Withdraw,
)
from tallyhall_core.refusals import Reason, Refusal
from tallyhall_membership import assignment as assignments
from tallyhall_membership import rendezvous
from tallyhall_membership.shared import ASSIGNMENT, INSTANCES, TABLE

from .actions import (
    Action,
    Count,
    Finish,
    LogEvent,
    RequestSpec,
    Restart,
    RunResult,
)
from .duties import MemberRole
from .home import HomeRole
from .orders import ControllerRole, Order
from .owner import OwnerRole
from .settings import NodeSettings
from .takeover import TakerRole
from .view import View


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedEntry:
    """One entry of a locate answer."""

    instance: str
    http: str
    zone: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """What became of a submitted request: its id and the actions."""

    id: str
    attached: bool
    actions: list[Action]


class Node:
    """All roles of one incarnation."""

    def __init__(
        self,
        own: MemberEntry,
        cfg: NodeSettings,
        now: float,
    ) -> None:
        """Start as a member that knows nobody."""
        self.view = View(own, cfg)
        self.home = HomeRole(self.view)
        self.owner = OwnerRole(self.view)
        self.taker = TakerRole(self.view, self.home)
        self.controller = ControllerRole(self.view)
        self.member = MemberRole(self.view, now)
        self.leaving = False
        self.fenced = False
        self._born = now
        self._last_input = now

    # -- from callers

    def submit(
        self,
        request_id: RequestId | None,
        spec: RequestSpec,
        now: float,
    ) -> Submission:
        """Take a caller's request, new or sent again."""
        view = self.view
        self._note_time(now)
        if not view.ready:
            return _refused(
                str(request_id or self._mint(now)),
                Reason.not_ready,
            )
        if request_id is None:
            rid = self._mint(now)
            return Submission(
                str(rid),
                attached=False,
                actions=self.home.submit(rid, spec, now),
            )
        text = str(request_id)
        if self.home.knows(text):
            return Submission(text, attached=True, actions=[])
        if request_id.home != view.home:
            actions = self.taker.start(request_id, spec, now)
            return Submission(text, attached=False, actions=actions)
        if self.fenced:
            return _refused(text, Reason.fenced)
        if request_id.window < self.window(now) - 1:
            # Old enough to have been answered and forgotten.
            return _refused(text, Reason.takeover_unknown)
        fresh = request_id.window <= self.window(now)
        if not fresh or request_id.epoch > view.assignment.epoch:
            return _refused(text, Reason.bad_request_id)
        return Submission(
            text,
            attached=False,
            actions=self.home.submit(request_id, spec, now),
        )

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Take that the caller is gone for good."""
        return self.home.cancel(request_id, now)

    def locate(self, key: str, now: float) -> list[LocatedEntry]:
        """Return the entries that a caller may use, best first."""
        candidates = {
            name: entry
            for name, entry in self.view.candidates(now).items()
            if entry.table
        }
        loads = [entry.load for entry in candidates.values()]
        busy = 2 * sum(loads) / max(len(loads), 1) + 8
        order = rendezvous.rank(key, candidates)
        order.sort(key=lambda name: candidates[name].load > busy)
        down = self.view.kv_down(now)
        return [
            LocatedEntry(
                name,
                candidates[name].http,
                candidates[name].zone,
                _prefix(candidates[name], takeover=not down),
            )
            for name in order
        ]

    # -- from runs

    def on_result(self, run: RunResult, now: float) -> list[Action]:
        """Take the end of a run."""
        return self.home.on_result(run, now)

    def report_progress(
        self,
        reports: tuple[Progress, ...],
        now: float,
    ) -> list[Action]:
        """Pass on to the owners how fast the open streams go."""
        out: list[Action] = []
        for report in reports:
            owner = self.view.owner_of(report.service)
            out += self.view.send(owner, report)
        return out

    def on_relay_failed(
        self,
        rid: RequestId,
        spec: RequestSpec,
        instance: str,
        now: float,
    ) -> list[Action]:
        """Take that a relay could not connect."""
        return self.taker.on_relay_failed(rid, spec, instance, now)

    # -- from the platform

    def on_value(self, offered: SharedValue, now: float) -> list[Action]:
        """Take a shared value from the platform or a peer."""
        if not self.view.take(offered):
            return []
        log = LogEvent(
            Event.value_taken,
            {'shared': offered.name, 'revision': offered.revision},
        )
        if offered.name == TABLE:
            self.owner.on_table(now)
        if offered.name == INSTANCES:
            self.owner.on_instances()
        if offered.name != ASSIGNMENT:
            return [log, *self.member.beat_now(now)]
        return [
            log,
            *self._check_fenced(now),
            *self.owner.on_assignment(now),
            *self.taker.on_assignment(now),
            *self.home.tick(now, self.window(now)),
            *self.member.beat_now(now),
        ]

    def on_edits_failed(self, now: float) -> list[Action]:
        """Take that a change of the assignment could not be made."""
        return self.taker.on_edits_failed(now)

    def on_kv(self, *, up: bool) -> None:
        """Take whether the KV answers this instance."""
        if self.view.members.own.kv_up != up:
            self.view.members.beat(kv_up=up)

    def on_load(
        self,
        service: str,
        upstream: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Take an upstream's own load report."""
        self.owner.on_load(service, upstream, requests, cache_tokens)

    def orders_due(self, now: float) -> tuple[Order, ...]:
        """Return the orders to engines that are due."""
        return self.controller.due(self.owner.services(), now)

    def on_peer_down(self, address: str) -> list[Action]:
        """Take that nothing listens at a peer's address."""
        self.view.members.suspect_address(address)
        return [Count('peer_unreachable')]

    # -- from peers

    def on_message(  # noqa: WPS212, WPS231, C901
        self,
        sender: str,
        sender_address: str,
        message: Message,
        now: float,
    ) -> list[Action]:
        """Take a message; one branch a kind, so that mypy sees them all."""
        self._note_time(now)
        match message:  # noqa: WPS242
            case Ask():
                return self.owner.on_ask(sender, message, now)
            case Permit():
                return self.home.on_permit(sender, message, now)
            case AskRefused():
                return self.home.on_refused(sender, message, now)
            case NotOwner():
                return self.home.on_not_owner(message, now)
            case Withdraw():
                return self.owner.on_withdraw(message, now)
            case Done():
                return self.owner.on_done(message, now)
            case Progress():
                return self.owner.on_progress(message, now)
            case Revoke():
                return self.home.on_revoke(message, now)
            case Holding():
                return self.owner.on_holding(message, now)
            case HoldingWanted():
                return self.home.on_holding_wanted(sender, message, now)
            case Query():
                return self._on_query(sender, message, now)
            case QueryAnswer():
                return self.taker.on_answer(message, now)
            case Digest():
                return self.member.on_digest(sender_address, message, now)
            case Want():
                return self.member.on_want(sender_address, message)
            case SharedValue():
                return self.on_value(message, now)

    # -- time and leaving

    def tick(self, now: float) -> list[Action]:
        """Run all clocks; call it a few times a second."""
        self._note_time(now)
        window = self.window(now)
        return [
            *self.member.tick(now, window, self.home.load),
            *self.owner.tick(now),
            *self.taker.tick(now),
            *self.home.tick(now, window),
        ]

    def leave(self, now: float) -> list[Action]:
        """Start a graceful stop: no new callers, ownership to others."""
        self.leaving = True
        self.view.members.beat(state='leaving')
        return self.member.beat_now(now)

    def gone(self, now: float) -> list[Action]:
        """Say the last word before the process exits."""
        self.view.members.beat(state='gone')
        return self.member.beat_now(now)

    def is_drained(self, now: float) -> bool:
        """Return whether nothing here would be cut off by an exit."""
        if self.home.load or self.taker.load:
            return False
        others = self.view.candidates(now)
        if not others or self.view.kv_down(now):
            return True
        return not self.owner.services()

    def window(self, now: float) -> int:
        """Return the number of the present minting window."""
        return int((now - self._born) / self.view.cfg.window_s)

    # -- internals

    def _note_time(self, now: float) -> None:
        # A process that stood still for a while may have been replaced as an
        # owner, and what it knows of the running work is old. One that is
        # only busy gets its inputs late but without such a gap.
        if now - self._last_input > self.view.cfg.pause_s:
            self.owner.suspend(now)
        self._last_input = now

    def _mint(self, now: float) -> RequestId:
        return RequestId.mint(
            self.view.home,
            self.view.assignment.epoch,
            self.window(now),
            takeover=not self.view.kv_down(now),
        )

    def _check_fenced(self, now: float) -> list[Action]:
        if self.fenced or self.view.me not in self.view.assignment.fenced:
            return []
        self.fenced = True
        return [
            LogEvent(Event.fenced, {'home': self.view.me}),
            *self.home.fence(now),
            Restart(),
        ]

    def _on_query(
        self,
        sender: str,
        query: Query,
        now: float,
    ) -> list[Action]:
        try:
            carried = assignments.decode(query.assignment)
        except assignments.BadAssignmentError:
            return [Count('bad_message')]
        offered = SharedValue(ASSIGNMENT, carried.epoch, query.assignment)
        out = self.on_value(offered, now)
        return [*out, *self.owner.on_query(sender, query, now)]


def _refused(request_id: str, reason: Reason) -> Submission:
    refusal = Refusal.of(reason, retry_after=1)
    return Submission(
        request_id,
        attached=False,
        actions=[
            Count(f'refused.{reason}'),
            Finish(request_id, refusal),
        ],
    )


def _prefix(entry: MemberEntry, *, takeover: bool) -> str:
    home = RequestId.parse(
        f'{entry.instance}.{entry.incarnation}.0.0.t.{"0" * 8}',
    ).home
    return RequestId(
        home,
        entry.epoch,
        entry.window,
        takeover,
        '',
    ).prefix
