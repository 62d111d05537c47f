"""The actor that owns the instance's decisions.

Every input runs in the actor's one thread, so the plain node classes need no
locks. Actions go to `Effects`, none of which blocks. A fenced incarnation is
kept beside its successor for as long as requests that it had dispatched run.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import time
from collections.abc import Callable, Iterable
from typing import Any, ParamSpec, Protocol

import pykka
from tallyhall_core.events import Event
from tallyhall_core.ids import new_incarnation
from tallyhall_core.messages import MemberEntry, Message, Progress, SharedValue
from tallyhall_core.refusals import Refusal
from tallyhall_gateway.calls import Call
from tallyhall_gateway.ticket import Ticket
from tallyhall_membership.assignment import Edit
from tallyhall_membership.shared import INSTANCES, NAMES
from tallyhall_node.actions import (
    Action,
    CancelRun,
    IncrementCounter,
    LogEvent,
    ProposeEdits,
    RefuseRequest,
    RelayTo,
    Restart,
    RunResult,
    Send,
    StartRun,
)
from tallyhall_node.node import LocatedEntry, Node
from tallyhall_node.orders import Order
from tallyhall_table.model import Table

from .settings import Settings

_MILLI = 1000

_Told = ParamSpec('_Told')


def _told(
    method: Callable[_Told, None],
) -> Callable[_Told, None]:
    """Log what a told method raises; pykka would stop the whole actor."""

    @functools.wraps(method)
    def guarded(  # noqa: WPS430  (a decorator)
        *args: _Told.args, **kwargs: _Told.kwargs
    ) -> None:
        try:
            method(*args, **kwargs)
        except Exception:
            owner: Any = args[0]
            owner.effects.failure(method.__name__)

    return guarded


class Effects(Protocol):
    """Carries actions out; no method blocks."""

    def send(self, sender: str, action: Send) -> None:
        """Send a message to a peer."""

    def open(
        self, request_id: str, call: Call, *, is_duplicate: bool
    ) -> Ticket:
        """Return the ticket of a submitted request."""

    def start_run(self, action: StartRun) -> None:
        """Dispatch in a thread of its own."""

    def cancel_run(self, request_id: str, refusal: Refusal) -> None:
        """Answer the caller and stop the run."""

    def finish(self, request_id: str, refusal: Refusal) -> None:
        """Answer the caller."""

    def relay(self, action: RelayTo) -> None:
        """Tell the caller's thread to relay."""

    def propose(self, edits: tuple[Edit, ...]) -> None:
        """Change the assignment in the KV."""

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""

    def event(self, event: Event, fields: dict[str, Any]) -> None:
        """Write a numbered event."""

    def failure(self, where: str) -> None:
        """Log the exception being handled, and count it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream's metrics say; empty where they say nothing."""

    requests: float = 0
    cache_tokens: int = 0
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PollPlan:
    """What the pollers should do now: watch the platform, read loads."""

    platform: bool
    loads: tuple[tuple[str, str, str], ...]


class InstanceActor(pykka.ThreadingActor):
    """One instance: the current incarnation and its fenced ones."""

    def __init__(self, cfg: Settings, effects: Effects) -> None:
        """Start a first incarnation."""
        super().__init__()
        self._cfg = cfg
        self.effects = effects
        self._fenced: list[Node] = []
        self._node = self._new_node()

    # -- callers

    def submit(self, call: Call) -> Ticket:
        """Take a caller's request and return its ticket."""
        now = time.monotonic()
        node = self._node
        if call.request_id is not None:
            node = self._knowing(str(call.request_id))
        submission = node.submit(call.request_id, call.spec, now)
        ticket = self.effects.open(
            submission.id,
            call,
            is_duplicate=submission.is_duplicate,
        )
        self._perform(node, submission.actions)
        return ticket

    @_told
    def cancel(self, request_id: str) -> None:
        """Take that a request's caller is gone."""
        node = self._knowing(request_id)
        self._perform(node, node.cancel(request_id, time.monotonic()))

    def relay_failed(self, call: Call, request_id: str, instance: str) -> None:
        """Take that a relay could not connect."""
        if call.request_id is None:
            return
        actions = self._node.on_relay_failed(
            call.request_id,
            call.spec,
            instance,
            time.monotonic(),
        )
        self._perform(self._node, actions)

    def locate(self, key: str) -> list[LocatedEntry]:
        """Return the entries that a caller may use, best first."""
        return self._node.locate(key, time.monotonic())

    def table(self) -> Table:
        """Return the table in force."""
        return self._node.view.table

    # -- runs

    @_told
    def result(self, run: RunResult) -> None:
        """Take the end of a run."""
        node = self._knowing(run.id)
        self._perform(node, node.on_result(run, time.monotonic()))

    @_told
    def progress(self, reports: tuple[Progress, ...]) -> None:
        """Take reports of open streams."""
        actions = self._node.report_progress(reports, time.monotonic())
        self._perform(self._node, actions)

    # -- peers and platform

    @_told
    def message(
        self,
        sender: str,
        sender_address: str,
        to: str,
        message: Message,
    ) -> None:
        """Take a message; one for an incarnation that is gone is dropped."""
        now = time.monotonic()
        for node in (self._node, *self._fenced):
            if to not in {'', node.view.me}:
                continue
            actions = node.on_message(sender, sender_address, message, now)
            self._perform(node, actions)
            return

    def value(self, offered: SharedValue) -> None:  # noqa: WPS110
        """Take a shared value from the platform."""
        actions = self._node.on_value(offered, time.monotonic())
        self._perform(self._node, actions)

    def edits_failed(self) -> None:
        """Take that the assignment could not be changed."""
        actions = self._node.on_edits_failed(time.monotonic())
        self._perform(self._node, actions)

    def kv(self, *, up: bool) -> None:
        """Take whether the KV answers."""
        if self._node.view.members.own.kv_up != up:
            event = Event.kv_up if up else Event.kv_down
            self.effects.event(event, {})
        self._node.on_kv_status(up=up)

    @_told
    def load(
        self,
        service: str,
        upstream: str,
        report: LoadReport,
    ) -> None:
        """Take an upstream's load report."""
        node = self._node
        node.on_load_report(
            service, upstream, report.requests, report.cache_tokens
        )
        if report.model:
            node.controller.on_model_report(upstream, report.model)

    def due_orders(self) -> tuple[Order, ...]:
        """Return the orders to engines that are due."""
        return self._node.due_orders(time.monotonic())

    @_told
    def peer_down(self, address: str) -> None:
        """Take that nothing listens at a peer's address."""
        self._perform(self._node, self._node.on_peer_unreachable(address))

    def poll_plan(self) -> PollPlan:
        """Return what the pollers should do now."""
        view = self._node.view
        owned = self._node.owner.services()
        loads = tuple(
            (up.service, up.name, up.address)
            for up in view.instances.upstreams
            if up.service in owned
        )
        platform = not view.ready or view.polls(time.monotonic())
        return PollPlan(platform, loads)

    # -- time

    def tick(self) -> None:
        """Run all clocks."""
        now = time.monotonic()
        self._perform(self._node, self._node.tick(now))
        for node in list(self._fenced):
            actions = node.home.tick(now, node.window(now))
            self._perform(node, actions)
            if not node.home.load:
                self._fenced.remove(node)

    def leave(self) -> None:
        """Start a graceful stop."""
        self._perform(self._node, self._node.leave(time.monotonic()))

    def announce_exit(self) -> None:
        """Say the last word."""
        self._perform(self._node, self._node.announce_exit(time.monotonic()))

    def is_drained(self) -> bool:
        """Return whether an exit would cut nothing off."""
        return not self._fenced and self._node.is_drained(time.monotonic())

    def status(self) -> dict[str, Any]:
        """Return the state for operators."""
        now = time.monotonic()
        view = self._node.view
        owned = {
            service: dataclasses.asdict(counts)
            for service, counts in self._node.owner.counts().items()
        }
        members = {
            name: {'state': entry.state, 'table': entry.table}
            for name, entry in view.members.live(now).items()
        }
        return {
            'instance': view.home.instance,
            'incarnation': view.home.incarnation,
            'zone': self._cfg.instance.zone,
            'ready': view.ready and not self._node.leaving,
            'leaving': self._node.leaving,
            'table_revision': view.table.revision,
            'assignment_epoch': view.assignment.epoch,
            'list_revision': view.shared.revision(INSTANCES),
            'owners': {
                name: tenure.owner
                for name, tenure in view.assignment.owners.items()
            },
            'kv_down': view.kv_down(now),
            'requests': self._node.home.load,
            'owned': owned,
            'members': members,
        }

    # -- internals

    def _new_node(self) -> Node:
        own = self._cfg.instance
        entry = MemberEntry(
            instance=own.name,
            incarnation=new_incarnation(),
            counter=int(time.time() * _MILLI),
            state='live',
            rpc=own.rpc,
            http=own.http,
            zone=own.zone,
            epoch=0,
            window=0,
        )
        return Node(entry, self._cfg.node(), time.monotonic())

    def _knowing(self, request_id: str) -> Node:
        for node in self._fenced:
            if node.home.knows(request_id):
                return node
        return self._node

    def _restart(self, old: Node) -> None:
        if old is not self._node:
            return
        now = time.monotonic()
        fresh = self._new_node()
        fresh.view.members.merge(
            tuple(old.view.members.live(now).values()),
            now,
        )
        self._fenced.append(old)
        self._node = fresh
        for held in old.view.shared.select(NAMES):
            self._perform(fresh, fresh.on_value(held, now))

    def _perform(self, node: Node, actions: Iterable[Action]) -> None:
        """Carry actions out; messages to ourselves are taken at once."""
        pending = collections.deque((node, action) for action in actions)
        while pending:
            source, action = pending.popleft()
            if (
                isinstance(action, Send)
                and action.address == source.view.members.own.rpc
            ):
                pending.extend(self._take_own(source, action))
                continue
            if isinstance(action, Restart):
                self._restart(source)
                continue
            self._carry_out(source, action)

    def _take_own(
        self,
        source: Node,
        action: Send,
    ) -> list[tuple[Node, Action]]:
        now = time.monotonic()
        for node in (self._node, *self._fenced):
            if action.to in {'', node.view.me}:
                taken = node.on_message(
                    source.view.me,
                    action.address,
                    action.message,
                    now,
                )
                return [(node, follow) for follow in taken]
        return []

    def _carry_out(self, source: Node, action: Action) -> None:
        effects = self.effects
        match action:  # noqa: WPS242  (one case a kind)
            case Send():
                effects.send(source.view.me, action)
            case StartRun():
                effects.start_run(action)
            case CancelRun():
                effects.cancel_run(action.id, action.refusal)
            case RefuseRequest():
                effects.finish(action.id, action.refusal)
            case RelayTo():
                effects.relay(action)
            case ProposeEdits():
                effects.propose(action.edits)
            case LogEvent():
                effects.event(action.event, action.fields)
            case IncrementCounter():
                effects.count(action.name, action.amount)
