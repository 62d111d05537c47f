"""Upstreams that end under a call, on the product's own interface.

A caller's request that ended one upstream was permitted again and again, each
time under a new id, and ended one upstream each time. On the users' platform
the same cost all callers their answers.

Evidence: in a fleet of three nodes that is played step by step eight of eight
attempts are dispatched, whatever became of those before.

Cause: as there, nothing of a call outlived it, here at its owner.
"""

import dataclasses
import random

from tallyhall_node import actions as acts

from tests.unit.cluster import MODEL_CALL, NAMES_OF_NODES, Cluster

_ATTEMPTS = 8
# As many as may end before all must know, and as many trials afterwards.
_BORNE = 3 + 3
_CALL = dataclasses.replace(MODEL_CALL, content='the same')


def _attempts(cluster: Cluster, outcome: acts.Outcome, *, ended: bool) -> int:
    """Return how many attempts at all nodes in turn were dispatched."""
    dispatched = 0
    for number in range(_ATTEMPTS):
        name = NAMES_OF_NODES[number % len(NAMES_OF_NODES)]
        rid = cluster.submit_new(name)
        cluster.settle(now_and_then=False)
        dispatched += cluster.end_run(rid, outcome, ended=ended)
        # An upstream that failed is left out for a while.
        cluster.settle(now_and_then=True)
    return dispatched


def _cluster() -> Cluster:
    cluster = Cluster(random.Random(1), _CALL)
    cluster.settle(now_and_then=True)
    return cluster


def test_few_upstreams_end_under_one_call() -> None:
    cluster = _cluster()
    ended = _attempts(cluster, acts.Outcome.broken, ended=True)
    assert 0 < ended <= _BORNE
    assert cluster.said_no


def test_a_new_owner_knows() -> None:
    """Homes tell it what they saw."""
    cluster = _cluster()
    ended = _attempts(cluster, acts.Outcome.broken, ended=True)
    cluster.move_owner()
    cluster.settle(now_and_then=True)
    ended += _attempts(cluster, acts.Outcome.broken, ended=True)
    assert ended <= _BORNE


def test_what_breaks_and_ends_nothing_goes_on() -> None:
    cluster = _cluster()
    sent = _attempts(cluster, acts.Outcome.broken, ended=False)
    assert sent == _ATTEMPTS


def test_homes_that_tell_no_content_are_not_taken_for_one_caller() -> None:
    cluster = Cluster(random.Random(1), MODEL_CALL)
    cluster.settle(now_and_then=True)
    sent = _attempts(cluster, acts.Outcome.broken, ended=True)
    assert sent == _ATTEMPTS


def test_what_is_served_is_cleared() -> None:
    cluster = _cluster()
    for outcome in (acts.Outcome.broken, acts.Outcome.complete):
        rid = cluster.submit_new(NAMES_OF_NODES[0])
        cluster.settle(now_and_then=False)
        ended = outcome == acts.Outcome.broken
        assert cluster.end_run(rid, outcome, ended=ended)
    sent = _attempts(cluster, acts.Outcome.complete, ended=False)
    assert sent == _ATTEMPTS


def test_attempts_of_a_suspect_run_one_at_a_time() -> None:
    cluster = _cluster()
    first = cluster.submit_new(NAMES_OF_NODES[0])
    cluster.settle(now_and_then=False)
    assert cluster.end_run(first, acts.Outcome.broken, ended=True)
    cluster.settle(now_and_then=True)
    again = [cluster.submit_new(name) for name in NAMES_OF_NODES]
    cluster.settle(now_and_then=False)
    sent = sum(cluster.dispatches[rid] for rid in again)
    assert sent == 1
