"""Decision logic of one instance, composed of its roles.

Inputs are method calls with `now`, the runtime's monotonic clock in seconds;
outputs are actions. Nothing here blocks. The daemon calls the node from a
single actor, so calls never overlap.
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
    IncrementCounter,
    LogEvent,
    RefuseRequest,
    RequestSpec,
    Restart,
    RunResult,
)
from .duties import MemberRole
from .home import HomeRole
from .orders import ControllerRole, Order
from .owner import OwnerRole
from .settings import NodeSettings
from .takeover import TakeoverRole
from .view import View


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedEntry:
    """One instance in a locate response.

    prefix: the start of the request ids that callers generate for it.
    """

    instance: str
    http: str
    zone: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Result of submitting a request.

    is_duplicate: whether the id was known, so that the caller joins that
    request.
    """

    id: str
    is_duplicate: bool
    actions: list[Action]


class Node:
    """Runs all roles of one incarnation."""

    def __init__(
        self,
        own: MemberEntry,
        cfg: NodeSettings,
        now: float,
    ) -> None:
        """Initialize as a member without known peers."""
        self.view = View(own, cfg)
        self.home = HomeRole(self.view)
        self.owner = OwnerRole(self.view)
        self.takeovers = TakeoverRole(self.view, self.home)
        self.controller = ControllerRole(self.view)
        self.member = MemberRole(self.view, now)
        self.leaving = False
        self.fenced = False
        self._started_at = now
        self._last_input = now

    # -- calls from callers

    def submit(
        self,
        request_id: RequestId | None,
        spec: RequestSpec,
        now: float,
    ) -> Submission:
        """Submit a caller's request, new or repeated."""
        view = self.view
        self._suspend_after_pause(now)
        if not view.ready:
            return _refused(
                str(request_id or self._generate_id(now)),
                Reason.not_ready,
            )
        if request_id is None:
            rid = self._generate_id(now)
            return Submission(
                str(rid),
                is_duplicate=False,
                actions=self.home.submit(rid, spec, now),
            )
        text = str(request_id)
        if self.home.knows(text):
            return Submission(text, is_duplicate=True, actions=[])
        if request_id.home != view.home:
            actions = self.takeovers.start(request_id, spec, now)
            return Submission(text, is_duplicate=False, actions=actions)
        if self.fenced:
            return _refused(text, Reason.fenced)
        if request_id.window < self.window(now) - 1:
            # The request may have been answered and removed already.
            return _refused(text, Reason.takeover_unknown)
        window_has_begun = request_id.window <= self.window(now)
        if not window_has_begun or request_id.epoch > view.assignment.epoch:
            return _refused(text, Reason.bad_request_id)
        return Submission(
            text,
            is_duplicate=False,
            actions=self.home.submit(request_id, spec, now),
        )

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Cancel a request whose caller has disconnected for good."""
        return self.home.cancel(request_id, now)

    def locate(self, key: str, now: float) -> list[LocatedEntry]:
        """Return the instances that a caller may use, best first."""
        candidates = {
            name: entry
            for name, entry in self.view.candidates(now).items()
            if entry.table
        }
        loads = [entry.load for entry in candidates.values()]
        max_load = 2 * sum(loads) / max(len(loads), 1) + 8
        order = rendezvous.rank(key, candidates)
        order.sort(key=lambda name: candidates[name].load > max_load)
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

    # -- results of runs

    def on_result(self, run: RunResult, now: float) -> list[Action]:
        """Process the end of a run."""
        return self.home.on_result(run, now)

    def report_progress(
        self,
        reports: tuple[Progress, ...],
        now: float,
    ) -> list[Action]:
        """Forward the measured speeds of open streams to the owners."""
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
        """Handle a relay that could not connect to the instance."""
        return self.takeovers.on_relay_failed(rid, spec, instance, now)

    # -- events from the platform

    def on_value(self, offered: SharedValue, now: float) -> list[Action]:
        """Apply a shared value from the platform or a peer if it is newer."""
        if not self.view.accept(offered):
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
            return [log, *self.member.send_heartbeat(now)]
        return [
            log,
            *self._check_fenced(now),
            *self.owner.on_assignment(now),
            *self.takeovers.on_assignment(now),
            *self.home.tick(now, self.window(now)),
            *self.member.send_heartbeat(now),
        ]

    def on_edits_failed(self, now: float) -> list[Action]:
        """Handle a failure to apply proposed edits."""
        return self.takeovers.on_edits_failed(now)

    def on_kv_status(self, *, up: bool) -> None:
        """Record whether this instance can reach the KV."""
        if self.view.members.own.kv_up != up:
            self.view.members.beat(kv_up=up)

    def on_load_report(
        self,
        service: str,
        upstream: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Process the load that an upstream reports."""
        self.owner.on_load_report(service, upstream, requests, cache_tokens)

    def due_orders(self, now: float) -> tuple[Order, ...]:
        """Return the orders to engines that are due now."""
        return self.controller.due_orders(self.owner.services(), now)

    def on_peer_unreachable(self, address: str) -> list[Action]:
        """Suspect a peer whose address refuses connections."""
        self.view.members.suspect_address(address)
        return [IncrementCounter('peer_unreachable')]

    # -- messages from peers

    def on_message(  # noqa: WPS212, WPS231, C901
        self,
        sender: str,
        sender_address: str,
        message: Message,
        now: float,
    ) -> list[Action]:
        """Process a message; mypy checks that all types are handled."""
        self._suspend_after_pause(now)
        match message:  # noqa: WPS242
            case Ask():
                return self.owner.on_permit_request(sender, message, now)
            case Permit():
                return self.home.on_permit(sender, message, now)
            case AskRefused():
                return self.home.on_permit_refused(sender, message, now)
            case NotOwner():
                return self.home.on_not_owner(message, now)
            case Withdraw():
                return self.owner.on_permit_request_cancelled(message, now)
            case Done():
                return self.owner.on_permit_returned(message, now)
            case Progress():
                return self.owner.on_progress(message, now)
            case Revoke():
                return self.home.on_revoke(message, now)
            case Holding():
                return self.owner.on_running_report(message, now)
            case HoldingWanted():
                return self.home.on_running_report_request(sender, message, now)
            case Query():
                return self._on_takeover_query(sender, message, now)
            case QueryAnswer():
                return self.takeovers.on_query_response(message, now)
            case Digest():
                return self.member.on_digest(sender_address, message, now)
            case Want():
                return self.member.on_value_request(sender_address, message)
            case SharedValue():
                return self.on_value(message, now)

    # -- timers and shutdown

    def tick(self, now: float) -> list[Action]:
        """Run all timers; to be called a few times per second."""
        self._suspend_after_pause(now)
        window = self.window(now)
        return [
            *self.member.tick(now, window, self.home.load),
            *self.owner.tick(now),
            *self.takeovers.tick(now),
            *self.home.tick(now, window),
        ]

    def leave(self, now: float) -> list[Action]:
        """Start a graceful stop: no new callers, ownership is handed over."""
        self.leaving = True
        self.view.members.beat(state='leaving')
        return self.member.send_heartbeat(now)

    def announce_exit(self, now: float) -> list[Action]:
        """Announce the exit of the process to all peers."""
        self.view.members.beat(state='gone')
        return self.member.send_heartbeat(now)

    def is_drained(self, now: float) -> bool:
        """Return whether the process can exit without interrupting requests."""
        if self.home.load or self.takeovers.pending:
            return False
        others = self.view.candidates(now)
        if not others or self.view.kv_down(now):
            return True
        return not self.owner.services()

    def window(self, now: float) -> int:
        """Return the number of the current time window for new ids."""
        return int((now - self._started_at) / self.view.cfg.window_s)

    # -- internals

    def _suspend_after_pause(self, now: float) -> None:
        # A paused process may have been replaced as an owner, and its record
        # of the running requests is outdated. A process that is only busy
        # receives its inputs late but without such a gap.
        if now - self._last_input > self.view.cfg.max_pause_s:
            self.owner.suspend(now)
        self._last_input = now

    def _generate_id(self, now: float) -> RequestId:
        return RequestId.generate(
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

    def _on_takeover_query(
        self,
        sender: str,
        query: Query,
        now: float,
    ) -> list[Action]:
        try:
            received = assignments.decode(query.assignment)
        except assignments.BadAssignmentError:
            return [IncrementCounter('bad_message')]
        offered = SharedValue(ASSIGNMENT, received.epoch, query.assignment)
        out = self.on_value(offered, now)
        return [*out, *self.owner.on_takeover_query(sender, query, now)]


def _refused(request_id: str, reason: Reason) -> Submission:
    refusal = Refusal.of(reason, retry_after=1)
    return Submission(
        request_id,
        is_duplicate=False,
        actions=[
            IncrementCounter(f'refused.{reason}'),
            RefuseRequest(request_id, refusal),
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
