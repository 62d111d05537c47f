"""Retries and limits as upstreams see them that stop reading for seconds."""

import pytest
from tallyhall_bench.limit_pause_run import play_limit_pauses
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


@pytest.mark.parametrize('trouble', ['losses', 'some-read'])
async def test_retries_left_by_runs_lost_in_series_stay_within_the_budget(
    trouble: str,
) -> None:
    played = await play_pauses(trouble, ROOT, 4)
    assert not played.broken, str(played)
    assert 2 * played.served > played.requests, str(played)


async def test_limits_hold_where_runs_are_lost_in_a_pause() -> None:
    played = await play_limit_pauses('app', 4, 2, ROOT, 1)
    assert not played.broken, str(played)
    assert played.served > 200, str(played)


async def test_requests_read_late_by_a_stopped_upstream_stay_in_its_limit() -> (
    None
):
    played = await play_limit_pauses('app', 4, 0, ROOT, 1)
    assert not played.broken, str(played)
    assert played.served > 200, str(played)
