"""Upstreams of several software versions side by side, on real processes."""

import pytest
from tallyhall_bench.versions_run import play_versions


@pytest.mark.processes
@pytest.mark.parametrize('case', ['join', 'lost', 'replace', 'all'])
async def test_streams_go_on_at_their_version_and_all_versions_serve(
    case: str,
) -> None:
    result = await play_versions(case, seed=1)
    assert not result.broken, str(result)


@pytest.mark.processes
async def test_no_stream_joins_two_versions_after_a_loss_of_all_instances() -> (
    None
):
    result = await play_versions('rejoined', seed=1)
    assert not result.mixed, str(result)
    assert result.tries > 20, str(result)
