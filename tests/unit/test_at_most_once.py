"""At-most-once dispatch under random interleavings.

Some tests disable a safeguard and check that double dispatches then occur.
"""

import dataclasses
import random
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_admission.permit_records import (
    NEVER,
    PermitLookup,
    PermitRecords,
)
from tallyhall_core.ids import RequestId
from tallyhall_membership.assignment import Assignment, OwnerEdit
from tallyhall_node.actions import RequestSpec
from tallyhall_node.owner import OwnerRole

from tests.unit import admission as build
from tests.unit.cluster import (
    MODEL_CALL,
    NODE_NAMES,
    NON_IDEMPOTENT_CALL,
    Cluster,
)

_STEPS = 160
_SEEDS = 400


def _explore(
    seed: int,
    spec: RequestSpec = MODEL_CALL,
) -> Cluster:
    cluster = Cluster(random.Random(seed), spec)
    for _ in range(_STEPS):
        cluster.step()
        if cluster.double_dispatches():
            break
    return cluster


@settings(max_examples=500)
@given(seed=st.integers(0, 2**40))
def test_never_dispatched_twice(seed: int) -> None:
    cluster = _explore(seed)
    assert not cluster.double_dispatches()
    assert not cluster.false_refusals()


@settings(max_examples=300)
@given(seed=st.integers(0, 2**40))
def test_non_idempotent_call_is_never_dispatched_twice(seed: int) -> None:
    cluster = _explore(seed, NON_IDEMPOTENT_CALL)
    assert not cluster.double_dispatches()
    assert not cluster.false_refusals()


def test_idempotent_call_may_be_repeated() -> None:
    """Repeated dispatches of idempotent calls show that runs do fail."""
    spec = dataclasses.replace(NON_IDEMPOTENT_CALL, idempotent=True)
    assert any(
        _explore(seed, spec).double_dispatches() for seed in range(_SEEDS)
    )


def test_takeovers_occur() -> None:
    taken = sum(len(_explore(seed).taken_over) for seed in range(200))
    assert taken > 10


def _look_up_nothing(
    permit_records: PermitRecords, rid: RequestId
) -> PermitLookup:
    return PermitLookup(NEVER)


def test_double_dispatch_without_permit_memory() -> None:
    with mock.patch.object(PermitRecords, 'look_up', _look_up_nothing):
        assert any(_explore(seed).double_dispatches() for seed in range(_SEEDS))


def test_double_dispatch_without_epoch_check() -> None:
    with mock.patch.object(
        OwnerRole, 'has_all_permits_since', return_value=True
    ):
        assert any(_explore(seed).double_dispatches() for seed in range(_SEEDS))


@pytest.mark.parametrize(
    ('fence', 'dispatches'),
    [(True, 1), (False, 2)],
)
def test_fence_prevents_double_dispatch_when_owner_dies(
    fence: bool,
    dispatches: int,
) -> None:
    """A delayed permit request of a fenced home, then a crash of the owner.

    The successor learns that the id was never permitted and requests a permit.
    The delayed permit request of the home reaches the same owner. The owner
    crashes, and a new one without memory permits the successor. Only the fence
    prevents a permit for the home.
    """
    cluster = Cluster(random.Random(1))
    cluster.settle(advance_time=True)
    owner = cluster.assignment.owners[build.SERVICE].owner
    owner_name = owner.partition('.')[0]
    home, successor = (name for name in NODE_NAMES if name != owner_name)
    rid = cluster.submit_new(home)
    delayed_request = cluster.hold('ask')
    cluster.nodes[successor].view.members.suspect(home)
    cluster.unreachable_address = cluster.nodes[home].view.members.own.rpc
    cluster.hold_permit_requests = True
    cluster.submit_again(successor, rid)
    cluster.settle(advance_time=False)
    cluster.hold_permit_requests = False
    assert [one.sender for one in cluster.held_requests] == [
        cluster.nodes[successor].view.me,
    ]
    with mock.patch.object(
        Assignment,
        'holder_of',
        Assignment.holder_of if fence else _holder_without_fence,
    ):
        cluster.release(delayed_request)
        cluster.settle(advance_time=False)
    cluster.kill(owner_name)
    edit = OwnerEdit(build.SERVICE, owner, cluster.nodes[successor].view.me)
    cluster.change((edit,))
    cluster.settle(advance_time=True)
    assert cluster.dispatches[rid] == dispatches


def _holder_without_fence(assignment: Assignment, home: str) -> str:
    return home
