"""A cluster of real nodes with fake surroundings, driven step by step.

A random source chooses each step: messages are delivered in any order, twice or
never; nodes receive changes late, crash, or are suspected while alive; answers
of the key-value store (KV) are lost; runs are delayed between permit and
dispatch. The cluster counts the dispatches that would reach an engine.
"""

import collections
import dataclasses
import random
from collections.abc import Callable

from tallyhall_admission.settings import PoolSettings
from tallyhall_core.ids import RequestId, new_incarnation
from tallyhall_core.messages import MemberEntry, Message, SharedValue
from tallyhall_core.refusals import Refusal
from tallyhall_membership import assignment as assignments
from tallyhall_membership.members import MemberSettings
from tallyhall_membership.shared import ASSIGNMENT, INSTANCES, NAMES, TABLE
from tallyhall_node import actions as acts
from tallyhall_node import instances as instance_lists
from tallyhall_node.node import Node
from tallyhall_node.settings import NodeSettings

from tests.unit import admission as build

NODE_NAMES = ('entry-1', 'entry-2', 'entry-3')
MODEL_CALL = acts.RequestSpec(
    'foundry',
    build.SERVICE,
    'desk',
    idempotent=True,
    left_s=30,
    prompt_tokens=100,
    max_tokens=100,
)
NON_IDEMPOTENT_CALL = dataclasses.replace(
    MODEL_CALL,
    idempotent=False,
    prompt_tokens=0,
    max_tokens=0,
)
_CFG = NodeSettings(
    window_s=8,
    query_interval_s=1,
    # Each step ticks a single node. With the default of 1.25 s all owners
    # would be suspended most of the time, and few requests dispatched.
    max_pause_s=8,
    pool=PoolSettings(windows_kept=2),
    members=MemberSettings(dead_after=2.5),
)


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message that has been sent and not yet delivered."""

    sender: str
    sender_address: str
    address: str
    to: str
    message: Message


@dataclasses.dataclass(slots=True)
class FakeRun:
    """A run started by a node; `sent` once it has reached the engine."""

    home: str
    start: acts.StartRun
    sent: bool = False


class Cluster:
    """Three nodes with a simulated KV, engines and callers."""

    def __init__(
        self,
        rng: random.Random,
        spec: acts.RequestSpec = MODEL_CALL,
    ) -> None:
        """Start the nodes; one of them owns the single service."""
        self.rng = rng
        self.spec = spec
        self.now = 100.0
        self.nodes: dict[str, Node] = {}
        self.fenced: list[Node] = []
        self.in_flight: list[Envelope] = []
        self.runs: list[FakeRun] = []
        self.proposals: list[tuple[str, tuple[assignments.Edit, ...]]] = []
        self.assignment = assignments.Assignment()
        self.kv_up = True
        self.ids: list[str] = []
        self.dispatches: collections.Counter[str] = collections.Counter()
        self.refused_as_not_executed: set[str] = set()
        self.submissions: collections.Counter[str] = collections.Counter()
        self.taken_over: set[str] = set()
        self.hold_permit_requests = False
        self.unreachable_address = ''
        self.held_requests: list[Envelope] = []
        for name in NODE_NAMES:
            self._start_node(name)
        owner = self.nodes[rng.choice(NODE_NAMES)]
        edit = assignments.OwnerEdit(build.SERVICE, '', owner.view.me)
        self._write_assignment((edit,))
        for node in self.nodes.values():
            self._deliver_assignment(node)
        self._merge_members()

    def step(self) -> None:
        """Execute one random step."""
        steps = self._steps()
        chosen = self.rng.choices(
            [step for _, step in steps],
            [weight for weight, _ in steps],
        )[0]
        chosen()

    def double_dispatches(self) -> list[str]:
        """Return the ids that were dispatched to an engine more than once."""
        return [rid for rid, count in self.dispatches.items() if count > 1]

    def false_refusals(self) -> list[str]:
        """Return dispatched ids that were refused as not executed."""
        return [
            rid
            for rid in self.refused_as_not_executed
            if self.dispatches[rid] and self.submissions[rid] == 1
        ]

    # -- scripted schedules

    def submit_new(self, name: str) -> str:
        """Submit a new request at its home and return its id."""
        node = self.nodes[name]
        prefix = next(
            entry.prefix
            for entry in node.locate('key', self.now)
            if entry.instance == name
        )
        rid = f'{prefix}.{self.rng.getrandbits(32):08x}'
        self._submit_at(node, rid)
        return rid

    def submit_again(self, name: str, rid: str) -> None:
        """Submit the same request at another node."""
        self._submit_at(self.nodes[name], rid)

    def end_run(
        self,
        rid: str,
        outcome: acts.Outcome,
        *,
        ended: bool,
    ) -> bool:
        """End the sent run of an id; return whether there was one.

        ended: whether its engine has terminated as well.
        """
        for run in self.runs:
            node = self._node_of(run.home)
            if run.start.id != rid or not run.sent or node is None:
                continue
            self.runs.remove(run)
            result = acts.RunResult(
                rid, run.start.upstream, outcome, ended=ended
            )
            self._execute_all(node, node.on_result(result, self.now))
            self.settle(advance_time=False)
            return True
        return False

    def hold(self, kind: str) -> Envelope:
        """Remove an undelivered message, to be released later."""
        found = next(one for one in self.in_flight if one.message.kind == kind)
        self.in_flight.remove(found)
        return found

    def release(self, envelope: Envelope) -> None:
        """Deliver a held message."""
        self._deliver_message(envelope)

    def kill(self, name: str) -> None:
        """Replace a node by a new incarnation without state."""
        self._start_node(name)
        self._merge_members()

    def move_owner(self) -> None:
        """Assign the service to another node, which has no state of it."""
        old = self.assignment.owners[build.SERVICE].owner
        new = next(
            node.view.me for node in self.nodes.values() if node.view.me != old
        )
        self.change((assignments.OwnerEdit(build.SERVICE, old, new),))

    def change(self, edits: tuple[assignments.Edit, ...]) -> None:
        """Edit the assignment and send it to every node."""
        self._write_assignment(edits)
        for node in tuple(self.nodes.values()):
            self._deliver_assignment(node)

    def settle(self, *, advance_time: bool) -> None:
        """Deliver messages, apply proposals and dispatch runs until idle.

        advance_time: also advance the time, by 6 seconds in steps.
        """
        for _ in range(20 if advance_time else 1):
            self._merge_members()
            if advance_time:
                self.now += 0.3
                for node in self.nodes.values():
                    self._execute_all(node, node.tick(self.now))
            self._drain()

    def _drain(self) -> None:
        for _ in range(500):
            if self.in_flight:
                envelope = self.in_flight.pop(0)
                kind = envelope.message.kind
                if (
                    envelope.address == self.unreachable_address
                    and kind != 'permit'
                ):
                    continue
                if kind == 'ask' and self.hold_permit_requests:
                    self.held_requests.append(envelope)
                else:
                    self._deliver_message(envelope)
            elif self.proposals:
                home, edits = self.proposals.pop(0)
                self._write_assignment(edits)
                node = self._node_of(home)
                if node is not None:
                    self._deliver_assignment(node)
            else:
                break
        for run in self.runs:
            if self._node_of(run.home) is not None and not run.sent:
                run.sent = True
                self.dispatches[run.start.id] += 1

    # -- random steps

    def _steps(self) -> list[tuple[float, Callable[[], None]]]:
        steps: list[tuple[float, Callable[[], None]]] = [
            (4, self._tick),
            (0.3, self._skip_time),
            (1, self._submit),
            (1.5, self._deliver_assignment_to_any),
            (0.25, self._kill),
            (0.3, self._suspect),
            (0.08, self._toggle_kv),
        ]
        if self.in_flight:
            steps += [
                (14, self._deliver_any),
                (0.5, self._drop),
                (0.5, self._duplicate),
            ]
        if self.ids:
            steps.append((1.5, self._resubmit))
        if self.proposals:
            steps.append((3, self._apply_proposal))
        if self.runs:
            steps.append((2.5, self._advance_run))
        return steps

    def _tick(self) -> None:
        self.now += self.rng.choice((0.05, 0.3, 0.6))
        node = self._any_node()
        self._execute_all(node, node.tick(self.now))
        for old in self.fenced:
            self._execute_all(old, old.home.tick(self.now, 0))

    def _skip_time(self) -> None:
        self.now += self.rng.choice((2, 3, 9))

    def _submit(self) -> None:
        home = self._any_node()
        entries = self._any_node().locate('key', self.now)
        prefixes = [
            entry.prefix
            for entry in entries
            if entry.instance == home.view.home.instance
        ]
        if not prefixes:
            return
        nonce = f'{self.rng.getrandbits(32):08x}'
        rid = f'{prefixes[0]}.{nonce}'
        self.ids.append(rid)
        self._submit_at(home, rid)

    def _resubmit(self) -> None:
        rid = self.rng.choice(self.ids[-4:])
        self._submit_at(self._any_node(), rid)

    def _submit_at(self, node: Node, rid: str) -> None:
        self.submissions[rid] += 1
        known = [old for old in self.fenced if old.home.knows(rid)]
        target = (known or [node])[0]
        submission = target.submit(RequestId.parse(rid), self.spec, self.now)
        self._execute_all(target, submission.actions)

    def _deliver_any(self) -> None:
        index = self.rng.randrange(len(self.in_flight))
        self._deliver_message(self.in_flight.pop(index))

    def _drop(self) -> None:
        self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def _duplicate(self) -> None:
        self._deliver_message(self.rng.choice(self.in_flight))

    def _deliver_assignment_to_any(self) -> None:
        if self.kv_up:
            self._deliver_assignment(self._any_node())

    def _toggle_kv(self) -> None:
        self.kv_up = not self.kv_up
        for node in self.nodes.values():
            node.on_kv_status(up=self.kv_up)
        self._merge_members()

    def _apply_proposal(self) -> None:
        index = self.rng.randrange(len(self.proposals))
        home, edits = self.proposals.pop(index)
        node = self._node_of(home)
        if self.kv_up:
            self._write_assignment(edits)
        if node is None:
            return
        if not self.kv_up or self.rng.random() < 0.2:
            self._execute_all(node, node.on_edits_failed(self.now))
            return
        self._deliver_assignment(node)

    def _advance_run(self) -> None:
        run = self.rng.choice(self.runs)
        node = self._node_of(run.home)
        if node is None:
            # The process has crashed, so an unsent run is never dispatched.
            self.runs.remove(run)
            return
        if not run.sent and not run.start.resume and self.rng.random() < 0.7:
            run.sent = True
            self.dispatches[run.start.id] += 1
            return
        self.runs.remove(run)
        outcome = acts.Outcome.not_sent
        if run.sent or run.start.resume:
            outcome = self.rng.choice(
                (acts.Outcome.complete, acts.Outcome.broken)
            )
        result = acts.RunResult(run.start.id, run.start.upstream, outcome)
        self._execute_all(node, node.on_result(result, self.now))

    def _kill(self) -> None:
        name = self.rng.choice(NODE_NAMES)
        self._start_node(name)
        node = self.nodes[name]
        if self.kv_up:
            self._deliver_assignment(node)
        self._merge_members()

    def _suspect(self) -> None:
        node = self._any_node()
        node.view.members.suspect(self.rng.choice(NODE_NAMES))

    # -- execution of actions

    def _execute_all(self, node: Node, actions: list[acts.Action]) -> None:
        for action in actions:
            self._execute(node, action)

    def _execute(self, node: Node, action: acts.Action) -> None:
        match action:
            case acts.Send():
                self.in_flight.append(
                    Envelope(
                        node.view.me,
                        node.view.members.own.rpc,
                        action.address,
                        action.to,
                        action.message,
                    ),
                )
            case acts.StartRun():
                self.runs.append(FakeRun(node.view.me, action))
            case acts.RefuseRequest():
                self._record_refusal(action.id, action.refusal)
            case acts.RelayTo():
                self._relay(node, action)
            case acts.ProposeEdits():
                self.proposals.append((node.view.me, action.edits))
            case acts.Restart():
                self._restart(node)
            case acts.LogEvent():
                if action.fields.get('verdict') == 'never':
                    self.taken_over.add(str(action.fields['id']))
            case acts.CancelRun() | acts.IncrementCounter():
                return

    def _relay(self, node: Node, action: acts.RelayTo) -> None:
        target = self.nodes[action.instance]
        if target.view.members.own.http == action.http:
            self._submit_at(target, action.id)
            return
        rid = RequestId.parse(action.id)
        actions = node.on_relay_failed(
            rid,
            self.spec,
            action.instance,
            self.now,
        )
        self._execute_all(node, actions)

    def _restart(self, node: Node) -> None:
        name = node.view.home.instance
        if self.nodes[name] is not node:
            return
        self.fenced.append(node)
        self._start_node(name)
        for shared in node.view.shared.select(NAMES):
            fresh = self.nodes[name]
            self._execute_all(fresh, fresh.on_value(shared, self.now))

    def _record_refusal(self, rid: str, refusal: Refusal) -> None:
        if refusal.executed == 'no':
            self.refused_as_not_executed.add(rid)

    def _deliver_message(self, envelope: Envelope) -> None:
        for node in (*self.nodes.values(), *self.fenced):
            own = node.view.members.own
            if own.rpc == envelope.address and envelope.to in {
                '',
                node.view.me,
            }:
                actions = node.on_message(
                    envelope.sender,
                    envelope.sender_address,
                    envelope.message,
                    self.now,
                )
                self._execute_all(node, actions)
                return

    # -- simulated environment

    def _start_node(self, name: str) -> None:
        incarnation = new_incarnation()
        number = NODE_NAMES.index(name)
        entry = MemberEntry(
            instance=name,
            incarnation=incarnation,
            counter=int(self.now * 1000),
            state='live',
            rpc=f'10.0.0.{number}:1',
            http=f'{incarnation}:1',
            zone='a',
            epoch=0,
            window=0,
        )
        node = Node(entry, _CFG, self.now)
        self.nodes[name] = node
        node.on_kv_status(up=self.kv_up)
        listed = instance_lists.InstanceList(
            tuple(
                instance_lists.ListedUpstream(
                    build.SERVICE, up, f'{up}:1', False
                )
                for up in ('engine-0', 'engine-1')
            ),
        )
        texts = {
            TABLE: build.table().model_dump_json(),
            INSTANCES: instance_lists.encode(listed),
        }
        for shared, text in texts.items():
            value = SharedValue(shared, 1, text)
            self._execute_all(node, node.on_value(value, self.now))

    def _merge_members(self) -> None:
        entries = tuple(node.view.members.own for node in self.nodes.values())
        for node in self.nodes.values():
            node.view.members.merge(entries, self.now)

    def _deliver_assignment(self, node: Node) -> None:
        text = assignments.encode(self.assignment)
        value = SharedValue(ASSIGNMENT, self.assignment.epoch, text)
        self._execute_all(node, node.on_value(value, self.now))

    def _write_assignment(self, edits: tuple[assignments.Edit, ...]) -> None:
        self.assignment = assignments.apply_edits(self.assignment, edits, 'x')

    def _any_node(self) -> Node:
        return self.nodes[self.rng.choice(NODE_NAMES)]

    def _node_of(self, home: str) -> Node | None:
        for node in (*self.nodes.values(), *self.fenced):
            if node.view.me == home:
                return node
        return None
