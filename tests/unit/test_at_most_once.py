"""At most once over every interleaving, and each rule shown to be needed."""

import dataclasses
import random
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_admission.memory import NEVER, PermitMemory, Recall
from tallyhall_core.ids import RequestId
from tallyhall_membership.assignment import Assignment, OwnerEdit
from tallyhall_node.actions import RequestSpec
from tallyhall_node.owner import OwnerRole

from tests.unit import admission as build
from tests.unit.cluster import (
    LOT_TAG,
    MODEL_CALL,
    NAMES_OF_NODES,
    Cluster,
)

_STEPS = 160
_SEARCH = 400


def _walk(
    seed: int,
    spec: RequestSpec = MODEL_CALL,
) -> Cluster:
    cluster = Cluster(random.Random(seed), spec)
    for _ in range(_STEPS):
        cluster.step()
        if cluster.doubled():
            break
    return cluster


@settings(max_examples=500)
@given(seed=st.integers(0, 2**40))
def test_never_dispatched_twice(seed: int) -> None:
    cluster = _walk(seed)
    assert not cluster.doubled()
    assert not cluster.untrue()


@settings(max_examples=300)
@given(seed=st.integers(0, 2**40))
def test_a_lot_tag_is_never_issued_twice(seed: int) -> None:
    cluster = _walk(seed, LOT_TAG)
    assert not cluster.doubled()
    assert not cluster.untrue()


def test_an_idempotent_call_may_run_again() -> None:
    """The walks do break calls, so the property above says something."""
    spec = dataclasses.replace(LOT_TAG, idempotent=True)
    assert any(_walk(seed, spec).doubled() for seed in range(_SEARCH))


def test_takeovers_do_happen() -> None:
    taken = sum(len(_walk(seed).taken_over) for seed in range(200))
    assert taken > 10


def _forgetful(memory: PermitMemory, rid: RequestId) -> Recall:
    return Recall(NEVER)


def test_without_memory_it_breaks() -> None:
    with mock.patch.object(PermitMemory, 'recall', _forgetful):
        assert any(_walk(seed).doubled() for seed in range(_SEARCH))


def test_without_tenure_it_breaks() -> None:
    with mock.patch.object(OwnerRole, 'knows_all_since', return_value=True):
        assert any(_walk(seed).doubled() for seed in range(_SEARCH))


@pytest.mark.parametrize(
    ('fence', 'dispatches'),
    [(True, 1), (False, 2)],
)
def test_fence_holds_when_the_owner_dies_too(
    fence: bool,
    dispatches: int,
) -> None:
    """A late ask of the fenced home, then the death of its owner.

    The taker hears `never` and asks for a permit; the home's own ask, held up
    until now, reaches the same owner; the owner dies and a new one without
    memory permits the taker. Only the fence keeps the home from a permit.
    """
    cluster = Cluster(random.Random(1))
    cluster.settle(now_and_then=True)
    owner = cluster.assignment.owners[build.SERVICE].owner
    owner_name = owner.partition('.')[0]
    home, taker = (name for name in NAMES_OF_NODES if name != owner_name)
    rid = cluster.submit_new(home)
    late_ask = cluster.hold('ask')
    cluster.nodes[taker].view.members.suspect(home)
    cluster.cut_off = cluster.nodes[home].view.members.own.rpc
    cluster.stop_asks = True
    cluster.submit_again(taker, rid)
    cluster.settle(now_and_then=False)
    cluster.stop_asks = False
    assert [one.sender for one in cluster.stopped] == [
        cluster.nodes[taker].view.me,
    ]
    with mock.patch.object(
        Assignment,
        'holder_of',
        Assignment.holder_of if fence else _own_holder,
    ):
        cluster.release(late_ask)
        cluster.settle(now_and_then=False)
    cluster.kill(owner_name)
    edit = OwnerEdit(build.SERVICE, owner, cluster.nodes[taker].view.me)
    cluster.change((edit,))
    cluster.settle(now_and_then=True)
    assert cluster.dispatches[rid] == dispatches


def _own_holder(assignment: Assignment, home: str) -> str:
    return home
