"""Rollouts on real processes: a good version, and a failing one."""

import asyncio

import pytest
from tallyhall_bench.rollout_run import play_rollout

_LIMIT_S = 7.0


@pytest.mark.processes
@pytest.mark.parametrize(
    ('trouble', 'limit_s'), [('none', _LIMIT_S), ('leader', 2 * _LIMIT_S)]
)
async def test_version_is_judged_within_its_share(
    trouble: str,
    limit_s: float,
) -> None:
    """Its requests stay within the bound even if the leader is lost."""
    results = await asyncio.gather(
        play_rollout('good', trouble, 1, limit_s),
        play_rollout('failing', trouble, 1, limit_s),
    )
    for result_of_run in results:
        assert not result_of_run.broken, str(result_of_run)
        assert not result_of_run.wrong, str(result_of_run)
