"""The owner role: what silent and dead homes run, readiness, deputies."""

import random

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
