"""How a new table reaches every instance: rounds, messages and bytes.

Whole nodes without processes, a heartbeat a round, every message delivered at
once. Three instances have the new table from the key-value service. Two ways
are compared on the same fleet: heartbeats carry the revision and whoever lacks
it asks (invalidate), or whoever takes the table sends it on (propagate). One
JSON line a size and way.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import sys

from tallyhall_core.messages import MemberEntry, Message, SharedValue, encode
from tallyhall_membership.shared import TABLE
from tallyhall_node.actions import Action, Send
from tallyhall_node.node import Node
from tallyhall_node.settings import NodeSettings

from .slopes import large_table, member_entry

_SIZES = (7, 50, 200, 410)
_WORKSPACES = 100
_POLLERS = 3
_MOST_ROUNDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadPoint:
    """What one change of the table cost. seconds: rounds times the beat."""

    way: str
    instances: int
    seconds: float
    tables_sent: int
    table_megabytes: float
    other_kilobytes_per_instance_s: float


class SpreadRun:
    """One fleet and one change."""

    def __init__(self, size: int, *, propagate: bool) -> None:
        """Make the nodes and let all know each other."""
        self._propagate = propagate
        self._cfg = NodeSettings()
        entries = tuple(member_entry(number) for number in range(size))
        self._nodes = {entry.rpc: _node(entry, entries) for entry in entries}
        self._flights: collections.deque[tuple[str, str, Message]] = (
            collections.deque()
        )
        self._tables = 0
        self._table_bytes = 0
        self._other_bytes = 0

    def measure(self) -> SpreadPoint:
        """Spread the change and return what it took."""
        table = large_table(_WORKSPACES).model_copy(update={'revision': 2})
        offered = SharedValue(TABLE, 2, table.model_dump_json())
        for address in tuple(self._nodes)[:_POLLERS]:
            self._take(address, address, offered)
        rounds = 0
        self._deliver()
        while not self._reached_all() and rounds < _MOST_ROUNDS:
            rounds += 1
            now = rounds * self._cfg.heartbeat_s
            for address, node in self._nodes.items():
                self._send(address, node.member.tick(now, 0, 0))
            self._deliver()
        size = len(self._nodes)
        seconds = rounds * self._cfg.heartbeat_s
        per_s = self._other_bytes / size / max(seconds, self._cfg.heartbeat_s)
        return SpreadPoint(
            'propagate' if self._propagate else 'invalidate',
            size,
            seconds,
            self._tables,
            round(self._table_bytes / 1e6, 1),
            round(per_s / 1e3, 1),
        )

    def _reached_all(self) -> bool:
        return all(
            node.view.table.revision > 1 for node in self._nodes.values()
        )

    def _deliver(self) -> None:
        while self._flights:
            sender, address, message = self._flights.popleft()
            self._take(sender, address, message)

    def _take(self, sender: str, address: str, message: Message) -> None:
        node = self._nodes[address]
        before = node.view.table.revision
        self._send(address, node.on_message('', sender, message, 0))
        if self._propagate and node.view.table.revision > before:
            for peer in node.view.members.peers((), 0):
                self._send(address, [Send(peer, '', message)])

    def _send(self, sender: str, actions: list[Action]) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            size = len(encode(action.message))
            if isinstance(action.message, SharedValue):
                self._tables += 1
                self._table_bytes += size
            else:
                self._other_bytes += size
            self._flights.append((sender, action.address, action.message))


def main() -> int:
    """Measure every size both ways."""
    for size in _SIZES:
        for propagate in (False, True):
            point = SpreadRun(size, propagate=propagate).measure()
            sys.stdout.write(f'{json.dumps(dataclasses.asdict(point))}\n')
    return 0


def _node(entry: MemberEntry, entries: tuple[MemberEntry, ...]) -> Node:
    node = Node(entry, NodeSettings(), 0)
    node.view.members.merge(entries, 0)
    return node


if __name__ == '__main__':
    sys.exit(main())
