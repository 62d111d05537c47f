"""Limits that upstreams name, on real processes that are killed in turn."""

import pytest
from tallyhall_bench.limit_run import play_limits


@pytest.mark.processes
async def test_limits_hold_while_instances_restart() -> None:
    played = await play_limits('all', 'restarts', 'app', 1)
    assert not played.broken, str(played)
    assert played.used >= 0.5, str(played)
