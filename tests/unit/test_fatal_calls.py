"""Guards against requests that terminate one upstream after another.

A caller repeats, each time with a new id, a request that terminates its
upstream. The owner once kept no record of a request after it had ended, so it
permitted every attempt: eight of eight in a simulated fleet of three nodes,
each of which terminated an upstream. On the users' platform the same fault
made all callers lose their responses.
"""

import dataclasses
import random

from tallyhall_node import actions as acts

from tests.unit.cluster import MODEL_CALL, NODE_NAMES, Cluster

_ATTEMPTS = 8
# Terminations allowed before all nodes must know, and as many for the trials
# afterwards.
_MAX_TERMINATIONS = 3 + 3
_CALL = dataclasses.replace(MODEL_CALL, content='the same')


def _send_attempts(
    cluster: Cluster, outcome: acts.Outcome, *, ended: bool
) -> int:
    """Submit requests at each node in turn; return how many were sent."""
    dispatched = 0
    for number in range(_ATTEMPTS):
        name = NODE_NAMES[number % len(NODE_NAMES)]
        rid = cluster.submit_new(name)
        cluster.settle(advance_time=False)
        dispatched += cluster.end_run(rid, outcome, ended=ended)
        # A failed upstream is excluded for some time.
        cluster.settle(advance_time=True)
    return dispatched


def _cluster() -> Cluster:
    cluster = Cluster(random.Random(1), _CALL)
    cluster.settle(advance_time=True)
    return cluster


def test_repeated_call_terminates_few_upstreams() -> None:
    cluster = _cluster()
    ended = _send_attempts(cluster, acts.Outcome.broken, ended=True)
    assert 0 < ended <= _MAX_TERMINATIONS
    assert cluster.refused_as_not_executed


def test_new_owner_learns_of_earlier_terminations() -> None:
    """Homes report the terminations they observed to the new owner."""
    cluster = _cluster()
    ended = _send_attempts(cluster, acts.Outcome.broken, ended=True)
    cluster.move_owner()
    cluster.settle(advance_time=True)
    ended += _send_attempts(cluster, acts.Outcome.broken, ended=True)
    assert ended <= _MAX_TERMINATIONS


def test_failures_without_termination_are_not_limited() -> None:
    cluster = _cluster()
    sent = _send_attempts(cluster, acts.Outcome.broken, ended=False)
    assert sent == _ATTEMPTS


def test_requests_without_digest_are_not_treated_as_equal() -> None:
    cluster = Cluster(random.Random(1), MODEL_CALL)
    cluster.settle(advance_time=True)
    sent = _send_attempts(cluster, acts.Outcome.broken, ended=True)
    assert sent == _ATTEMPTS


def test_served_request_is_cleared() -> None:
    cluster = _cluster()
    for outcome in (acts.Outcome.broken, acts.Outcome.complete):
        rid = cluster.submit_new(NODE_NAMES[0])
        cluster.settle(advance_time=False)
        ended = outcome == acts.Outcome.broken
        assert cluster.end_run(rid, outcome, ended=ended)
    sent = _send_attempts(cluster, acts.Outcome.complete, ended=False)
    assert sent == _ATTEMPTS


def test_attempts_of_suspect_run_one_at_a_time() -> None:
    cluster = _cluster()
    first = cluster.submit_new(NODE_NAMES[0])
    cluster.settle(advance_time=False)
    assert cluster.end_run(first, acts.Outcome.broken, ended=True)
    cluster.settle(advance_time=True)
    again = [cluster.submit_new(name) for name in NODE_NAMES]
    cluster.settle(advance_time=False)
    sent = sum(cluster.dispatches[rid] for rid in again)
    assert sent == 1
