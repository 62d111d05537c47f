"""State known to this instance: members, shared values, assignment, table.

Every role reads the view; only the node changes it. A value is replaced only
by a newer one.
"""

from __future__ import annotations

from tallyhall_core.ids import InstanceRun
from tallyhall_core.messages import MemberEntry, Message, SharedValue
from tallyhall_membership import assignment as assignments
from tallyhall_membership import rendezvous
from tallyhall_membership.members import Members
from tallyhall_membership.shared import (
    ASSIGNMENT,
    INSTANCES,
    TABLE,
    SharedValues,
)
from tallyhall_table.edits import parse_table
from tallyhall_table.errors import TableError
from tallyhall_table.model import Table

from . import instances as instance_lists
from .actions import Action, Send
from .settings import NodeSettings


class View:
    """Latest known state of the fleet."""

    def __init__(self, own: MemberEntry, cfg: NodeSettings) -> None:
        """Initialize with this instance as the only member."""
        self.cfg = cfg
        self.members = Members(own, cfg.members)
        self.shared = SharedValues()
        self.table = Table()
        self.assignment = assignments.Assignment()
        self.instances = instance_lists.InstanceList()

    @property
    def me(self) -> str:
        """Return this incarnation as text."""
        return str(self.members.home)

    @property
    def home(self) -> InstanceRun:
        """Return this incarnation."""
        return self.members.home

    @property
    def ready(self) -> bool:
        """Return whether a table and an assignment have been received."""
        return self.table.revision > 0 and self.assignment.epoch > 0

    def accept(self, offered: SharedValue) -> bool:
        """Store a shared value if newer and valid; return whether it was."""
        if not self.shared.is_newer(offered):
            return False
        try:
            self._apply(offered)
        except (
            TableError,
            assignments.BadAssignmentError,
            instance_lists.BadInstanceListError,
        ):
            return False
        return self.shared.take(offered)

    def owner_of(self, service: str) -> str:
        """Return the incarnation that owns the service, or an empty string."""
        tenure = self.assignment.owners.get(service)
        return tenure.owner if tenure else ''

    def owner_since(self, service: str) -> int:
        """Return the epoch in which the owner of the service was assigned."""
        tenure = self.assignment.owners.get(service)
        return tenure.since if tenure else 0

    def candidates(self, now: float) -> dict[str, MemberEntry]:
        """Return the live instances that are not stopping."""
        return {
            name: entry
            for name, entry in self.members.live(now).items()
            if entry.state == 'live'
        }

    def is_home_live(self, home: str, now: float) -> bool:
        """Return whether this exact incarnation is considered alive."""
        return self.members.is_live(home, now)

    def kv_down(self, now: float) -> bool:
        """Return whether no poller can reach the KV."""
        live = self.members.live(now)
        pollers = rendezvous.rank('poll', live)[: self.cfg.pollers]
        return not any(live[name].kv_up for name in pollers)

    def polls(self, now: float) -> bool:
        """Return whether this instance is one of the pollers."""
        live = self.members.live(now)
        pollers = rendezvous.rank('poll', live)[: self.cfg.pollers]
        return self.home.instance in pollers

    def deputy_of(self, service: str, now: float) -> str:
        """Return the deputy of a service whose owner is dead.

        It serves only ids that cannot be taken over.
        """
        candidates = self.candidates(now)
        if not candidates:
            return ''
        first = rendezvous.rank(service, candidates)[0]
        return f'{first}.{candidates[first].incarnation}'

    def send(self, home: str, message: Message) -> list[Action]:
        """Return the action that sends to an incarnation, if it is a member."""
        instance, _, incarnation = home.partition('.')
        entry = self.members.known(instance)
        if entry is None or entry.incarnation != incarnation:
            return []
        return [Send(entry.rpc, home, message)]

    def _apply(self, offered: SharedValue) -> None:
        if offered.name == TABLE:
            self.table = parse_table(offered.text)
        elif offered.name == ASSIGNMENT:
            self.assignment = assignments.decode(offered.text)
        elif offered.name == INSTANCES:
            self.instances = instance_lists.decode(offered.text)
