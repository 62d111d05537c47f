"""The whole path with real processes: a request from end to end."""

from collections.abc import Iterator

import pytest
from tallyhall_bench.checks import all_checks
from tallyhall_bench.fleet import Fleet, FleetSpec, UpstreamSpec
from tallyhall_bench.load import run_plan
from tallyhall_bench.tables import usual_table
from tallyhall_bench.workloads import WORKSPACES, mixed_burst
from tallyhall_client.client import Client

pytestmark = pytest.mark.processes

_UPSTREAMS = (
    UpstreamSpec('ledger', 'engine', 'engine-1', {'speed': 2}),
    UpstreamSpec('ledger', 'engine', 'engine-2', {'speed': 1}),
    UpstreamSpec('tags', 'plain', 'tags-1'),
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start three instances before two engines and a plain service."""
    spec = FleetSpec(3, _UPSTREAMS, usual_table(WORKSPACES))
    with Fleet(spec) as started:
        yield started


def test_mixed_burst_ends_whole(fleet: Fleet) -> None:
    plan = mixed_burst(3, 40, 2)
    done = run_plan(plan, Client(fleet.seeds))
    assert not all_checks(done, fleet.all_counts(), len(plan))
    answered = [one for one in done if one.outcome.verdict == 'answered']
    assert len(answered) > len(plan) // 2
