"""The owner role: permits of silent and dead homes, and changes of owner."""

import random

from tallyhall_core.messages import AskRefused
from tallyhall_core.refusals import Reason
from tallyhall_membership.assignment import OwnerEdit

from tests.unit import admission as build
from tests.unit.cluster import NODE_NAMES, Cluster


def _running(cluster: Cluster, owner: str) -> int:
    counts = cluster.nodes[owner].owner.counts()
    return counts[build.SERVICE].running


def _start() -> tuple[Cluster, str, str]:
    """Return a cluster with one request running, its owner and its home."""
    cluster = Cluster(random.Random(2))
    cluster.settle(advance_time=True)
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    home = next(name for name in NODE_NAMES if name != owner)
    cluster.submit_new(home)
    cluster.settle(advance_time=False)
    assert _running(cluster, owner) == 1
    return cluster, owner, home


def _advance_owner(cluster: Cluster, owner: str, seconds: float) -> None:
    """Advance the time for the owner alone, in steps of 0.25 s."""
    node = cluster.nodes[owner]
    for _ in range(int(seconds * 4)):
        cluster.now += 0.25
        node.tick(cluster.now)


def test_permits_of_silent_home_are_kept() -> None:
    cluster, owner, _ = _start()
    _advance_owner(cluster, owner, 6)
    assert _running(cluster, owner) == 1


def test_permits_of_dead_home_are_released() -> None:
    cluster, owner, home = _start()
    cluster.nodes[owner].view.members.suspect(home)
    _advance_owner(cluster, owner, 6)
    assert not _running(cluster, owner)


def test_returning_home_reports_running_requests() -> None:
    cluster, owner, _ = _start()
    _advance_owner(cluster, owner, 14)
    assert not _running(cluster, owner)
    cluster.settle(advance_time=True)
    assert _running(cluster, owner) == 1


def _move_owner(cluster: Cluster) -> tuple[str, str, str]:
    """Assign the service to another owner; return home, old and new owner."""
    old = cluster.assignment.owners[build.SERVICE].owner
    old_name = old.partition('.')[0]
    home, new_name = (name for name in NODE_NAMES if name != old_name)
    new = cluster.nodes[new_name].view.me
    cluster.change((OwnerEdit(build.SERVICE, old, new),))
    return home, old, new


def test_messages_of_earlier_owner_are_ignored() -> None:
    """It decides on old permit requests and does not know the current runs."""
    cluster = Cluster(random.Random(3))
    cluster.settle(advance_time=True)
    home = _non_owner(cluster)
    rid = cluster.submit_new(home)
    cluster.release(cluster.hold('ask'))
    delayed_permit = cluster.hold('permit')
    cluster.hold_permit_requests = True
    _, old, _ = _move_owner(cluster)
    cluster.settle(advance_time=True)
    cluster.release(delayed_permit)
    refusal = AskRefused(rid, build.SERVICE, 0, Reason.shed, 1)
    cluster.nodes[home].on_message(old, '', refusal, cluster.now)
    assert not cluster.runs
    assert cluster.nodes[home].home.load == 1
    cluster.hold_permit_requests = False
    cluster.settle(advance_time=True)
    assert cluster.dispatches[rid] == 1


def test_resumed_owner_collects_reports_before_permitting() -> None:
    cluster = Cluster(random.Random(4))
    cluster.settle(advance_time=True)
    home = _non_owner(cluster)
    rid = cluster.submit_new(home)
    ask = cluster.hold('ask')
    cluster.now += 9
    cluster.release(ask)
    kinds = {one.message.kind for one in cluster.in_flight}
    assert 'permit' not in kinds
    cluster.settle(advance_time=True)
    assert cluster.dispatches[rid] == 1


def _non_owner(cluster: Cluster) -> str:
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    return next(name for name in NODE_NAMES if name != owner)


def test_pending_takeover_delays_graceful_stop() -> None:
    cluster = Cluster(random.Random(5))
    cluster.settle(advance_time=True)
    home = _non_owner(cluster)
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    rid = cluster.submit_new(home)
    successor = next(name for name in NODE_NAMES if name not in {home, owner})
    cluster.nodes[successor].view.members.suspect(home)
    cluster.submit_again(successor, rid)
    cluster.nodes[successor].leave(cluster.now)
    assert not cluster.nodes[successor].is_drained(cluster.now)
    cluster.settle(advance_time=True)
    assert not cluster.nodes[successor].takeovers.pending
