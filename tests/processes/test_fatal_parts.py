"""Parts of prompts that crash upstreams, on real processes.

No two requests with such a part are alike, so their contents tell nothing.
"""

import pytest
from tallyhall_bench.part_run import play_part

_FATAL_S = 13.0


@pytest.mark.processes
@pytest.mark.parametrize('case', ['middle', 'begun', 'turned', 'two', 'kills'])
async def test_a_part_that_crashes_upstreams_is_refused_and_others_begin(
    case: str,
) -> None:
    result = await play_part(case, seed=1, fatal_s=_FATAL_S)
    assert not result.broken, str(result)


@pytest.mark.processes
async def test_upstreams_that_end_together_stop_no_requests() -> None:
    result = await play_part('herd', seed=1)
    assert result.ended
    assert not result.broken, str(result)
