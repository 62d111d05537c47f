"""The owner role: what silent and dead homes run, readiness, deputies."""

import random

from tallyhall_core.messages import AskRefused
from tallyhall_core.refusals import Reason
from tallyhall_membership.assignment import OwnerEdit

from tests.unit import admission as build
from tests.unit.cluster import NAMES_OF_NODES, Cluster


def _running(cluster: Cluster, owner: str) -> int:
    counts = cluster.nodes[owner].owner.counts()
    return counts[build.SERVICE].running


def _start() -> tuple[Cluster, str, str]:
    """Return a cluster with one request running, its owner and its home."""
    cluster = Cluster(random.Random(2))
    cluster.settle(now_and_then=True)
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    home = next(name for name in NAMES_OF_NODES if name != owner)
    cluster.submit_new(home)
    cluster.settle(now_and_then=False)
    assert _running(cluster, owner) == 1
    return cluster, owner, home


def _let_pass(cluster: Cluster, owner: str, seconds: float) -> None:
    """Let time pass for the owner alone, in heartbeats' steps."""
    node = cluster.nodes[owner]
    for _ in range(int(seconds * 4)):
        cluster.now += 0.25
        node.tick(cluster.now)


def test_permits_of_a_silent_home_still_count() -> None:
    cluster, owner, _ = _start()
    _let_pass(cluster, owner, 6)
    assert _running(cluster, owner) == 1


def test_permits_of_a_dead_home_are_taken_back() -> None:
    cluster, owner, home = _start()
    cluster.nodes[owner].view.members.suspect(home)
    _let_pass(cluster, owner, 6)
    assert not _running(cluster, owner)


def test_a_home_that_comes_back_reports_what_it_runs() -> None:
    cluster, owner, _ = _start()
    _let_pass(cluster, owner, 14)
    assert not _running(cluster, owner)
    cluster.settle(now_and_then=True)
    assert _running(cluster, owner) == 1


def _hand_over(cluster: Cluster) -> tuple[str, str, str]:
    """Move the service to another owner; return home, old and new owner."""
    old = cluster.assignment.owners[build.SERVICE].owner
    old_name = old.partition('.')[0]
    home, new_name = (name for name in NAMES_OF_NODES if name != old_name)
    new = cluster.nodes[new_name].view.me
    cluster.change((OwnerEdit(build.SERVICE, old, new),))
    return home, old, new


def test_an_earlier_owner_permits_and_refuses_nothing() -> None:
    """It wakes up with old asks, and knows nothing of what runs by now."""
    cluster = Cluster(random.Random(3))
    cluster.settle(now_and_then=True)
    home = _other_than_owner(cluster)
    rid = cluster.submit_new(home)
    cluster.release(cluster.hold('ask'))
    late_permit = cluster.hold('permit')
    cluster.stop_asks = True
    _, old, _ = _hand_over(cluster)
    cluster.settle(now_and_then=True)
    cluster.release(late_permit)
    refused = AskRefused(rid, build.SERVICE, 0, Reason.shed, 1)
    cluster.nodes[home].on_message(old, '', refused, cluster.now)
    assert not cluster.runs
    assert cluster.nodes[home].home.load == 1
    cluster.stop_asks = False
    cluster.settle(now_and_then=True)
    assert cluster.dispatches[rid] == 1


def test_an_owner_that_stood_still_asks_before_it_permits() -> None:
    cluster = Cluster(random.Random(4))
    cluster.settle(now_and_then=True)
    home = _other_than_owner(cluster)
    rid = cluster.submit_new(home)
    ask = cluster.hold('ask')
    cluster.now += 9
    cluster.release(ask)
    kinds = {one.message.kind for one in cluster.flights}
    assert 'permit' not in kinds
    cluster.settle(now_and_then=True)
    assert cluster.dispatches[rid] == 1


def _other_than_owner(cluster: Cluster) -> str:
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    return next(name for name in NAMES_OF_NODES if name != owner)


def test_a_request_being_taken_over_holds_up_a_graceful_stop() -> None:
    cluster = Cluster(random.Random(5))
    cluster.settle(now_and_then=True)
    home = _other_than_owner(cluster)
    owner = cluster.assignment.owners[build.SERVICE].owner.partition('.')[0]
    rid = cluster.submit_new(home)
    taker = next(name for name in NAMES_OF_NODES if name not in {home, owner})
    cluster.nodes[taker].view.members.suspect(home)
    cluster.submit_again(taker, rid)
    cluster.nodes[taker].leave(cluster.now)
    assert not cluster.nodes[taker].is_drained(cluster.now)
    cluster.settle(now_and_then=True)
    assert not cluster.nodes[taker].taker.load
