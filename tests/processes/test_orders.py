"""Engines load what the table names, also after a change of owner."""

import signal
import time
from collections.abc import Iterator

import pytest
from tallyhall_bench import tables
from tallyhall_bench.fleet import Fleet

from tests.processes.fleets import small_spec

pytestmark = pytest.mark.processes

_PATIENCE_S = 45.0


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Start three instances before two engines."""
    with Fleet(small_spec(engines=2)) as started:
        yield started


def _wait_for_model(fleet: Fleet, model: str) -> list[int]:
    until = time.monotonic() + _PATIENCE_S
    engines = ('engine-1', 'engine-2')
    while {fleet.counts(name)['model'] for name in engines} != {model}:
        assert time.monotonic() < until
        time.sleep(0.2)
    return [
        order['fencing']
        for name in engines
        for order in fleet.counts(name)['orders']
        if order['model'] == model
    ]


@pytest.mark.parametrize('checks', [True, False])
def test_orders_follow_the_table_and_the_owner(
    fleet: Fleet,
    checks: bool,
) -> None:
    address = fleet.platform['kv'].address
    tables.set_model(address, 'ledger', 'ledger-2', checks)
    first = _wait_for_model(fleet, 'ledger-2')
    state = fleet.status(next(iter(fleet.instances.values()))) or {}
    name = str(state['owners']['ledger']).partition('.')[0]
    fleet.instances[name].process.kill()
    tables.set_model(address, 'ledger', 'ledger-3', checks)
    second = _wait_for_model(fleet, 'ledger-3')
    assert min(second) > max(first)


def test_an_owner_frozen_past_its_lease_orders_nothing(fleet: Fleet) -> None:
    """Engines here take any number; only the lease keeps the old owner off."""
    address = fleet.platform['kv'].address
    tables.set_model(address, 'ledger', 'ledger-2', False)
    _wait_for_model(fleet, 'ledger-2')
    state = fleet.status(next(iter(fleet.instances.values()))) or {}
    name = str(state['owners']['ledger']).partition('.')[0]
    owner = fleet.instances[name].process
    owner.send_signal(signal.SIGSTOP)
    tables.set_model(address, 'ledger', 'ledger-3', False)
    second = _wait_for_model(fleet, 'ledger-3')
    tables.set_model(address, 'ledger', 'ledger-4', False)
    owner.send_signal(signal.SIGCONT)
    third = _wait_for_model(fleet, 'ledger-4')
    assert min(third) >= min(second)
    for engine in ('engine-1', 'engine-2'):
        numbers = [one['fencing'] for one in fleet.counts(engine)['orders']]
        assert numbers == sorted(numbers)
