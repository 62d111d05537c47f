"""Requests are served while the key-value store fails and an owner dies."""

import time

import pytest
from tallyhall_bench.fleet import Fleet
from tallyhall_bench.workloads import mixed_burst

from tests.processes.fleets import (
    count_answered,
    loaded,
    small_spec,
    violations,
)

pytestmark = pytest.mark.processes

_PLAN_S = 8.0
_REQUESTS = 100
_TIMEOUT_S = 30.0


@pytest.mark.parametrize(
    ('faults', 'deputy'),
    [
        ({'down': True}, True),
        ({'delay_s': 2}, True),
        ({'reads_per_s': 0.2, 'writes_per_s': 0.2}, False),
        ({'lose_every': 2}, False),
    ],
    ids=['down', 'slow', 'rate-limited', 'answers lost'],
)
def test_owner_dies_during_store_faults(
    faults: dict[str, float],
    deputy: bool,
) -> None:
    with Fleet(small_spec()) as fleet:
        fleet.faults('kv', **faults)
        first = next(iter(fleet.instances.values()))
        state = fleet.status(first) or {}
        if deputy:
            _wait_until_outage_detected(fleet)
        name = str(state['owners']['ledger']).partition('.')[0]
        plan = mixed_burst(6, _REQUESTS, _PLAN_S)
        with loaded(fleet, plan) as done:
            time.sleep(_PLAN_S / 3)
            fleet.instances[name].process.kill()
        assert not violations(fleet, done, plan)
        assert count_answered(done) > len(plan) // 2
        kinds = {event.get('event') for event in fleet.events()}
        assert 'deputy_started' in kinds or not deputy


def _wait_until_outage_detected(fleet: Fleet) -> None:
    """Wait until new request ids carry the mark that permits deputies."""
    deadline = time.monotonic() + _TIMEOUT_S
    for member in fleet.instances.values():
        while not (fleet.status(member) or {}).get('kv_down'):
            assert time.monotonic() < deadline
            time.sleep(0.1)
