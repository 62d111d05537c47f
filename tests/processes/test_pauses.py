"""The retry budget as upstreams see it that stop reading for seconds."""

import pytest
from tallyhall_bench.pause_run import play_pauses
from tallyhall_bench.start_cost import ROOT

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('trouble', ['most', 'kills'])
async def test_retries_read_late_by_stopped_upstreams_stay_within_the_budget(
    trouble: str,
) -> None:
    played = await play_pauses(trouble, ROOT, 3)
    assert not played.broken, str(played)
    assert played.served > 1000, str(played)
