"""Selection of hubs and peers, and fleets in which hubs relay quota use."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Workspace
from tallyhall_dispatch.quota import Quotas
from tallyhall_dispatch.quota_limits import QuotaBounds
from tallyhall_dispatch.quota_use import FleetUse
from tallyhall_dispatch.topology import Topology
from tallyhall_entry import shared

from tests.platform.harness import MODEL, deployment, patient
from tests.platform.windows import most_in_window

_NO_INSTANCES: frozenset[str] = frozenset()
_FEW = frozenset(f'n{number}' for number in range(16))
_MANY = frozenset(f'n{number}' for number in range(87))
_RATE = 100.0
_BURST = 50.0
_WINDOW_S = 8
_LIMIT = _RATE * _WINDOW_S + _BURST


def _same(name: str) -> float:
    return 1


def test_small_fleet_is_a_full_mesh() -> None:
    selection = Topology('n1').choose(
        _FEW, frozenset(('n2',)), _NO_INSTANCES, _same
    )
    assert selection.peers == _FEW - {'n1'}
    assert selection.hubs == _FEW - {'n2'}


def test_large_fleet_agrees_on_a_few_hubs() -> None:
    selection = [
        Topology(name).choose(_MANY, _NO_INSTANCES, _NO_INSTANCES, _same)
        for name in _MANY
    ]
    assert len({one.hubs for one in selection}) == 1
    assert len(selection[0].hubs) == 4
    assert all(len(one.peers) <= 4 for one in selection)


def test_the_largest_machines_are_hubs() -> None:
    large = frozenset(('n3', 'n7', 'n9', 'n11', 'n13'))
    selection = Topology('n1').choose(
        _MANY,
        _NO_INSTANCES,
        _NO_INSTANCES,
        lambda name: 2.15 if name in large else 0.5,
    )
    assert selection.hubs < large


def test_hub_keeps_streams_to_all_that_it_hears() -> None:
    hub = min(
        Topology('n1').choose(_MANY, _NO_INSTANCES, _NO_INSTANCES, _same).hubs
    )
    heard = _MANY - {hub}
    assert (
        Topology(hub).choose(_MANY, _NO_INSTANCES, heard, _same).peers == heard
    )


def test_silent_hub_is_replaced() -> None:
    topology = Topology('n1')
    hubs = topology.choose(_MANY, _NO_INSTANCES, _NO_INSTANCES, _same).hubs
    lost = frozenset((min(hubs),))
    selection = topology.choose(_MANY, lost, _NO_INSTANCES, _same)
    assert hubs - lost < selection.hubs
    assert len(selection.hubs) == 4
    # It is still contacted, so that its return is detected.
    assert lost <= selection.peers | {'n1'}


def test_stopping_instances_are_not_hubs_while_others_are_left() -> None:
    topology = Topology('n1')
    hubs = topology.choose(_MANY, _NO_INSTANCES, _NO_INSTANCES, _same).hubs
    half = frozenset(sorted(_MANY)[: len(_MANY) // 2]) | hubs
    selection = topology.choose(
        _MANY, _NO_INSTANCES, _NO_INSTANCES, _same, half
    )
    assert selection.hubs <= _MANY - half
    assert selection.owners == selection.hubs
    assert len(selection.peers) <= 4


def test_fleet_that_stops_as_a_whole_keeps_its_hubs() -> None:
    """They still exchange use reports but own no services."""
    selection = Topology('n1').choose(
        _MANY, _NO_INSTANCES, _NO_INSTANCES, _same, _MANY
    )
    assert (
        selection.hubs
        == Topology('n2')
        .choose(_MANY, _NO_INSTANCES, _NO_INSTANCES, _same)
        .hubs
    )
    assert not selection.owners
    assert len(selection.peers) <= 4


def test_stopping_instances_in_a_mesh_are_heard_but_own_nothing() -> None:
    stops = frozenset(('n2', 'n3'))
    selection = Topology('n1').choose(
        _FEW, _NO_INSTANCES, _NO_INSTANCES, _same, stops
    )
    assert selection.hubs == _FEW
    assert selection.owners == _FEW - stops
    assert selection.peers == _FEW - {'n1'}


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.5, allow_nan=False),
            st.integers(1, 120),
            st.integers(0, 3),
        ),
        max_size=200,
    ),
)
def test_quota_holds_if_only_a_hub_hears_all(
    steps: list[tuple[float, int, int]],
) -> None:
    """The first of four instances is a hub and reports the use of all."""
    workspace = Workspace('w', None, _RATE, _BURST, True, 1)
    nodes = [Quotas(QuotaBounds(_WINDOW_S, 0.1, 100), -100) for _ in range(4)]
    totals: list[float] = [0, 0, 0, 0]
    for node in nodes:
        node.configure({'w': workspace})
    taken: list[tuple[float, float]] = []
    now: float = 0
    for pause, amount, chosen in steps:
        now += pause
        if nodes[chosen].charge('w', amount, now):
            continue
        taken.append((now, amount))
        totals[chosen] += amount
        if chosen:
            nodes[0].record_admitted('w', amount, now)
        report = nodes[0].report(now)['w']
        for number in range(1, 4):
            fleet = FleetUse('hub', report.fleet, totals[number], now)
            nodes[number].record_fleet_use('w', fleet)
    # Reports become outdated between two steps, when use can only decrease.
    assert most_in_window(taken, _WINDOW_S) <= _LIMIT * 1.1 + 100


async def test_fleet_with_hubs_serves_all_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All 18 share one event loop, whose delays must not look like a slow owner.
    monkeypatch.setattr(shared, '_OWNER_TIMEOUT_S', 5)
    async with deployment(18) as made:
        engine = await made.add_engine('model-0', event_s=0.01)
        await made.ready()
        await made.change(patient(2))
        first = made.instances[0]
        assert len(first.live_instances) == 4
        assert {one.owner(MODEL) for one in made.instances} == {
            first.owner(MODEL),
        }
        statuses = await made.ask_all(range(18))
        assert set(statuses) == {200}
        assert engine.most_running <= 4


async def test_instances_without_an_owner_share_the_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If no owner answers in time, each instance fills its share of the slots.

    On a loaded machine, an engine with 4 slots got 15 concurrent requests. The
    owner and its successors took longer than 60 ms to answer, so all 18
    instances decided on their own, and each of them used all slots that it did
    not occupy itself. With the event loop blocked for 5 ms at a time, 14
    requests ran concurrently in 3 of 3 runs; for 2 ms, 5 to 7; unblocked, 4.
    """
    monkeypatch.setattr(shared, '_OWNER_TIMEOUT_S', 0)
    async with deployment(18) as made:
        engine = await made.add_engine('model-0', event_s=0.01)
        await made.ready()
        await made.change(patient(2))
        statuses = await made.ask_all(range(18))
        assert set(statuses) == {200}
        # Each of the three candidates acts as owner; the others draw for 4
        # slots.
        assert engine.most_running <= 9
