"""Requests that come while an instance is stopped as planned."""

import pytest
from tallyhall_bench.start_cost import ROOT
from tallyhall_bench.stop_run import play_stop

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('form', ['kept', 'queued'])
async def test_late_requests_are_not_cut_by_a_planned_stop(form: str) -> None:
    played = await play_stop(form, ROOT, 5)
    assert not played.broken, str(played)
    assert played.late > 100, str(played)
    assert played.statuses[200], str(played)
