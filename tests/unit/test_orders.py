"""Orders to engines, their fencing numbers and the leases of services."""

import freezegun
from tallyhall_core.messages import MemberEntry, SharedValue
from tallyhall_daemon.orders import LEASE_S, ServiceLease
from tallyhall_membership import assignment as assignments
from tallyhall_membership.shared import ASSIGNMENT, INSTANCES, TABLE
from tallyhall_node import instances as instance_lists
from tallyhall_node.node import Node
from tallyhall_node.settings import NodeSettings
from tallyhall_sources.errors import UnavailableError

from tests.unit import admission as build


class LeaseKv:
    """Leases of a key-value store with a clock that the test controls."""

    def __init__(self) -> None:
        """Initialize without leases."""
        self.now: float = 0
        self.is_down = False
        self._until: dict[str, float] = {}
        self._keys: dict[str, str] = {}

    def grant_lease(self, ttl_s: int) -> str:
        """Grant a lease."""
        self._check()
        lease = str(len(self._until))
        self._until[lease] = self.now + ttl_s
        return lease

    def create_with_lease(self, key: str, content: bytes, lease: str) -> bool:
        """Create the key if its current lease has expired."""
        self._check()
        holder = self._keys.get(key)
        if holder is not None and self._until[holder] > self.now:
            return False
        self._keys[key] = lease
        return True

    def renew_lease(self, lease: str) -> bool:
        """Renew the lease if it has not expired."""
        self._check()
        if self._until[lease] <= self.now:
            return False
        self._until[lease] = self.now + LEASE_S
        return True

    def _check(self) -> None:
        if self.is_down:
            raise UnavailableError('down')


def _node() -> Node:
    entry = MemberEntry(
        instance='entry-1',
        incarnation='0123456789ab',
        counter=1,
        state='live',
        rpc='10.0.0.1:1',
        http='10.0.0.1:2',
        zone='a',
        epoch=0,
        window=0,
    )
    node = Node(entry, NodeSettings(), 0)
    table = build.table()
    service = table.services[0].model_copy(update={'model': 'ledger-2'})
    table = table.model_copy(update={'services': (service,)})
    owners = {build.SERVICE: assignments.Tenure(node.view.me, 7)}
    upstreams = tuple(
        instance_lists.ListedUpstream(
            build.SERVICE, name, f'{name}:1', leaving=False
        )
        for name in ('engine-0', 'engine-1')
    )
    texts = {
        TABLE: table.model_dump_json(),
        INSTANCES: instance_lists.encode(
            instance_lists.InstanceList(upstreams)
        ),
        ASSIGNMENT: assignments.encode(assignments.Assignment(7, owners)),
    }
    for name, text in texts.items():
        node.on_value(SharedValue(name, 7, text), 0)
    return node


def test_only_engines_with_wrong_model_receive_orders() -> None:
    node = _node()
    assert not node.due_orders(1)
    node.controller.on_model_report('engine-0', 'ledger-1')
    node.controller.on_model_report('engine-1', 'ledger-2')
    orders = node.due_orders(2)
    assert [(one.upstream, one.fencing) for one in orders] == [('engine-0', 7)]
    assert not node.due_orders(3)
    assert node.due_orders(8)


def test_new_controller_waits_for_old_lease_to_expire() -> None:
    kv = LeaseKv()
    with freezegun.freeze_time('2026-01-01') as clock:
        old = ServiceLease(kv, 'ledger', 'entry-1')  # type: ignore[arg-type]
        new = ServiceLease(kv, 'ledger', 'entry-2')  # type: ignore[arg-type]
        assert old.ensure()
        assert not new.ensure()
        for _ in range(LEASE_S):
            clock.tick(1)
            kv.now += 1
        # The old holder, paused until now, detects the expiry by itself.
        assert not old.is_held
        assert new.ensure()
        assert not old.ensure()


def test_lease_survives_outage_until_it_expires() -> None:
    kv = LeaseKv()
    with freezegun.freeze_time('2026-01-01') as clock:
        lease = ServiceLease(kv, 'ledger', 'entry-1')  # type: ignore[arg-type]
        assert lease.ensure()
        kv.is_down = True
        clock.tick(LEASE_S - 1)
        assert lease.ensure()
        clock.tick(2)
        assert not lease.ensure()
