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
