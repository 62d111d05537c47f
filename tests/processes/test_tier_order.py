"""No tier is shed while a lower one runs, at three times the capacity."""

import signal
import time
from collections.abc import Iterator

import pytest
from tallyhall_bench.checks import tier_order
from tallyhall_bench.first_run import usual_upstreams
from tallyhall_bench.fleet import Fleet, FleetSpec
from tallyhall_bench.tables import TIER_RANKS, usual_table
from tallyhall_bench.workloads import WORKSPACES, mixed_burst

from tests.processes.fleets import FAST, loaded, violations

pytestmark = pytest.mark.processes

_REQUESTS = 540
_BURST_S = 6.0


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start three instances with the usual upstreams."""
    spec = FleetSpec(
        3,
        usual_upstreams(),
        usual_table(WORKSPACES),
        settings=FAST,
    )
    with Fleet(spec) as started:
        yield started


@pytest.mark.parametrize('fault', ['none', 'slow engine', 'frozen owner'])
def test_higher_tier_is_not_shed_before_lower_ones(
    fleet: Fleet, fault: str
) -> None:
    plan = mixed_burst(
        len(fault),
        _REQUESTS,
        _BURST_S,
        drafts=10,
        patience=0.4,
    )
    state = fleet.status(next(iter(fleet.instances.values()))) or {}
    name = str(state['owners']['ledger']).partition('.')[0]
    owner = fleet.instances[name].process
    with loaded(fleet, plan) as done:
        time.sleep(_BURST_S / 3)
        if fault == 'slow engine':
            fleet.faults('engine-1', slow=5)
        if fault == 'frozen owner':
            owner.send_signal(signal.SIGSTOP)
            time.sleep(_BURST_S / 2)
            owner.send_signal(signal.SIGCONT)
    fleet.faults('engine-1', slow=1)
    assert not violations(fleet, done, plan)
    assert not tier_order(fleet.events(), TIER_RANKS)
    assert any(one.outcome.reason == 'shed' for one in done)
