"""Instances that lose their way to all upstreams, on real processes."""

import pytest
from tallyhall_bench.isolation_run import play_isolation


@pytest.mark.processes
@pytest.mark.parametrize(
    ('case', 'mode'),
    [
        ('two', 'closed'),
        ('owner', 'silent'),
        ('most', 'reset'),
        ('again', 'closed'),
    ],
)
async def test_callers_of_isolated_instances_are_served(
    case: str, mode: str
) -> None:
    result = await play_isolation(case, mode, seed=1)
    assert not result.broken, str(result)
