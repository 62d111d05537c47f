"""Whole nodes, fakes around them, and every kind of fault, step by step.

A schedule is drawn step by step from a random source: messages arrive in any
order, twice or never; nodes learn of changes late, die, are suspected while
alive; answers of the KV are lost; runs stand still between permit and
dispatch. The cluster counts what would reach an engine.
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
from tallyhall_node import instances as lists
from tallyhall_node.node import Node
from tallyhall_node.settings import NodeSettings

from tests.unit import admission as build

NAMES_OF_NODES = ('entry-1', 'entry-2', 'entry-3')
MODEL_CALL = acts.RequestSpec(
    'foundry',
    build.SERVICE,
    'desk',
    idempotent=True,
    left_s=30,
    prompt_tokens=100,
    max_tokens=100,
)
LOT_TAG = dataclasses.replace(
    MODEL_CALL,
    idempotent=False,
    prompt_tokens=0,
    max_tokens=0,
)
_CFG = NodeSettings(
    window_s=8,
    query_s=1,
    # Steps go to one node at a time; the usual 1.25 would suspend all owners
    # all the time, and hardly any request would be dispatched.
    pause_s=8,
    pool=PoolSettings(windows_kept=2),
    members=MemberSettings(dead_after=2.5),
)


@dataclasses.dataclass(slots=True)
class Flight:
    """A message under way."""

    sender: str
    sender_address: str
    address: str
    to: str
    message: Message


@dataclasses.dataclass(slots=True)
class FakeRun:
    """A run of a node; `sent` once it has reached the engine."""

    home: str
    start: acts.StartRun
    sent: bool = False


class Cluster:
    """Three nodes, a key-value service, engines and callers."""

    def __init__(
        self,
        rng: random.Random,
        spec: acts.RequestSpec = MODEL_CALL,
    ) -> None:
        """Start with one owner for the one service, known to all."""
        self.rng = rng
        self.spec = spec
        self.now = 100.0
        self.nodes: dict[str, Node] = {}
        self.fenced: list[Node] = []
        self.flights: list[Flight] = []
        self.runs: list[FakeRun] = []
        self.proposals: list[tuple[str, tuple[assignments.Edit, ...]]] = []
        self.assignment = assignments.Assignment()
        self.kv_up = True
        self.ids: list[str] = []
        self.dispatches: collections.Counter[str] = collections.Counter()
        self.said_no: set[str] = set()
        self.submissions: collections.Counter[str] = collections.Counter()
        self.taken_over: set[str] = set()
        self.stop_asks = False
        self.cut_off = ''
        self.stopped: list[Flight] = []
        for name in NAMES_OF_NODES:
            self._boot(name)
        owner = self.nodes[rng.choice(NAMES_OF_NODES)]
        edit = assignments.OwnerEdit(build.SERVICE, '', owner.view.me)
        self._write((edit,))
        for node in self.nodes.values():
            self._learn(node)
        self._meet()

    def step(self) -> None:
        """Do one random step."""
        steps = self._steps()
        chosen = self.rng.choices(
            [step for _, step in steps],
            [weight for weight, _ in steps],
        )[0]
        chosen()

    def doubled(self) -> list[str]:
        """Return the ids that reached an engine more than once."""
        return [rid for rid, count in self.dispatches.items() if count > 1]

    def untrue(self) -> list[str]:
        """Return ids refused as not run that did reach an engine."""
        return [
            rid
            for rid in self.said_no
            if self.dispatches[rid] and self.submissions[rid] == 1
        ]

    # -- directed schedules

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
        """End a run that was sent; return whether there was one.

        ended: whether its engine has ended with it.
        """
        for run in self.runs:
            node = self._by_home(run.home)
            if run.start.id != rid or not run.sent or node is None:
                continue
            self.runs.remove(run)
            result = acts.RunResult(
                rid, run.start.upstream, outcome, ended=ended
            )
            self._perform(node, node.on_result(result, self.now))
            self.settle(now_and_then=False)
            return True
        return False

    def hold(self, kind: str) -> Flight:
        """Take a message under way out, to be released later."""
        found = next(one for one in self.flights if one.message.kind == kind)
        self.flights.remove(found)
        return found

    def release(self, flight: Flight) -> None:
        """Let a held message arrive."""
        self._arrive(flight)

    def kill(self, name: str) -> None:
        """End a node and start it anew; it remembers nothing."""
        self._boot(name)
        self._meet()

    def move_owner(self) -> None:
        """Give the service to another node, which has to be told all."""
        old = self.assignment.owners[build.SERVICE].owner
        new = next(
            node.view.me for node in self.nodes.values() if node.view.me != old
        )
        self.change((assignments.OwnerEdit(build.SERVICE, old, new),))

    def change(self, edits: tuple[assignments.Edit, ...]) -> None:
        """Change the assignment and tell every node."""
        self._write(edits)
        for node in tuple(self.nodes.values()):
            self._learn(node)

    def settle(self, *, now_and_then: bool) -> None:
        """Deliver, propose and dispatch until nothing is left to do.

        now_and_then: let time pass as well, for a few seconds.
        """
        for _ in range(20 if now_and_then else 1):
            self._meet()
            if now_and_then:
                self.now += 0.3
                for node in self.nodes.values():
                    self._perform(node, node.tick(self.now))
            self._drain()

    def _drain(self) -> None:
        for _ in range(500):
            if self.flights:
                flight = self.flights.pop(0)
                kind = flight.message.kind
                if flight.address == self.cut_off and kind != 'permit':
                    continue
                if kind == 'ask' and self.stop_asks:
                    self.stopped.append(flight)
                else:
                    self._arrive(flight)
            elif self.proposals:
                home, edits = self.proposals.pop(0)
                self._write(edits)
                node = self._by_home(home)
                if node is not None:
                    self._learn(node)
            else:
                break
        for run in self.runs:
            if self._by_home(run.home) is not None and not run.sent:
                run.sent = True
                self.dispatches[run.start.id] += 1

    # -- what may happen

    def _steps(self) -> list[tuple[float, Callable[[], None]]]:
        steps: list[tuple[float, Callable[[], None]]] = [
            (4, self._tick),
            (0.3, self._leap),
            (1, self._submit),
            (1.5, self._learn_some),
            (0.25, self._kill),
            (0.3, self._suspect),
            (0.08, self._toggle_kv),
        ]
        if self.flights:
            steps += [
                (14, self._deliver),
                (0.5, self._drop),
                (0.5, self._duplicate),
            ]
        if self.ids:
            steps.append((1.5, self._retry))
        if self.proposals:
            steps.append((3, self._propose))
        if self.runs:
            steps.append((2.5, self._run))
        return steps

    def _tick(self) -> None:
        self.now += self.rng.choice((0.05, 0.3, 0.6))
        node = self._any_node()
        self._perform(node, node.tick(self.now))
        for old in self.fenced:
            self._perform(old, old.home.tick(self.now, 0))

    def _leap(self) -> None:
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

    def _retry(self) -> None:
        rid = self.rng.choice(self.ids[-4:])
        self._submit_at(self._any_node(), rid)

    def _submit_at(self, node: Node, rid: str) -> None:
        self.submissions[rid] += 1
        known = [old for old in self.fenced if old.home.knows(rid)]
        target = (known or [node])[0]
        submission = target.submit(RequestId.parse(rid), self.spec, self.now)
        self._perform(target, submission.actions)

    def _deliver(self) -> None:
        place = self.rng.randrange(len(self.flights))
        self._arrive(self.flights.pop(place))

    def _drop(self) -> None:
        self.flights.pop(self.rng.randrange(len(self.flights)))

    def _duplicate(self) -> None:
        self._arrive(self.rng.choice(self.flights))

    def _learn_some(self) -> None:
        if self.kv_up:
            self._learn(self._any_node())

    def _toggle_kv(self) -> None:
        self.kv_up = not self.kv_up
        for node in self.nodes.values():
            node.on_kv(up=self.kv_up)
        self._meet()

    def _propose(self) -> None:
        place = self.rng.randrange(len(self.proposals))
        home, edits = self.proposals.pop(place)
        node = self._by_home(home)
        if self.kv_up:
            self._write(edits)
        if node is None:
            return
        if not self.kv_up or self.rng.random() < 0.2:
            self._perform(node, node.on_edits_failed(self.now))
            return
        self._learn(node)

    def _run(self) -> None:
        run = self.rng.choice(self.runs)
        node = self._by_home(run.home)
        if node is None:
            # The process is gone; what it had not written never goes out.
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
        self._perform(node, node.on_result(result, self.now))

    def _kill(self) -> None:
        name = self.rng.choice(NAMES_OF_NODES)
        self._boot(name)
        node = self.nodes[name]
        if self.kv_up:
            self._learn(node)
        self._meet()

    def _suspect(self) -> None:
        node = self._any_node()
        node.view.members.suspect(self.rng.choice(NAMES_OF_NODES))

    # -- carrying out

    def _perform(self, node: Node, actions: list[acts.Action]) -> None:
        for action in actions:
            self._carry_out(node, action)

    def _carry_out(self, node: Node, action: acts.Action) -> None:
        match action:
            case acts.Send():
                self.flights.append(
                    Flight(
                        node.view.me,
                        node.view.members.own.rpc,
                        action.address,
                        action.to,
                        action.message,
                    ),
                )
            case acts.StartRun():
                self.runs.append(FakeRun(node.view.me, action))
            case acts.Finish():
                self._note(action.id, action.refusal)
            case acts.RelayTo():
                self._relay(node, action)
            case acts.ProposeEdits():
                self.proposals.append((node.view.me, action.edits))
            case acts.Restart():
                self._restart(node)
            case acts.LogEvent():
                if action.fields.get('verdict') == 'never':
                    self.taken_over.add(str(action.fields['id']))
            case acts.CancelRun() | acts.Count():
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
        self._perform(node, actions)

    def _restart(self, node: Node) -> None:
        name = node.view.home.instance
        if self.nodes[name] is not node:
            return
        self.fenced.append(node)
        self._boot(name)
        for held in node.view.shared.select(NAMES):
            fresh = self.nodes[name]
            self._perform(fresh, fresh.on_value(held, self.now))

    def _note(self, rid: str, refusal: Refusal) -> None:
        if refusal.executed == 'no':
            self.said_no.add(rid)

    def _arrive(self, flight: Flight) -> None:
        for node in (*self.nodes.values(), *self.fenced):
            own = node.view.members.own
            if own.rpc == flight.address and flight.to in {'', node.view.me}:
                actions = node.on_message(
                    flight.sender,
                    flight.sender_address,
                    flight.message,
                    self.now,
                )
                self._perform(node, actions)
                return

    # -- the world

    def _boot(self, name: str) -> None:
        incarnation = new_incarnation()
        number = NAMES_OF_NODES.index(name)
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
        node.on_kv(up=self.kv_up)
        listed = lists.InstanceList(
            tuple(
                lists.ListedUpstream(build.SERVICE, up, f'{up}:1', False)
                for up in ('engine-0', 'engine-1')
            ),
        )
        texts = {
            TABLE: build.table().model_dump_json(),
            INSTANCES: lists.encode(listed),
        }
        for shared, text in texts.items():
            value = SharedValue(shared, 1, text)
            self._perform(node, node.on_value(value, self.now))

    def _meet(self) -> None:
        entries = tuple(node.view.members.own for node in self.nodes.values())
        for node in self.nodes.values():
            node.view.members.merge(entries, self.now)

    def _learn(self, node: Node) -> None:
        text = assignments.encode(self.assignment)
        value = SharedValue(ASSIGNMENT, self.assignment.epoch, text)
        self._perform(node, node.on_value(value, self.now))

    def _write(self, edits: tuple[assignments.Edit, ...]) -> None:
        self.assignment = assignments.apply_edits(self.assignment, edits, 'x')

    def _any_node(self) -> Node:
        return self.nodes[self.rng.choice(NAMES_OF_NODES)]

    def _by_home(self, home: str) -> Node | None:
        for node in (*self.nodes.values(), *self.fenced):
            if node.view.me == home:
                return node
        return None
