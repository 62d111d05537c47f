"""Roll-outs on real processes: a good version, and one that fails."""

import asyncio

import pytest
from tallyhall_bench.rollout_run import play_rollout

_LIMIT_S = 7.0


@pytest.mark.processes
@pytest.mark.parametrize(
    ('trouble', 'limit_s'), [('none', _LIMIT_S), ('leader', 2 * _LIMIT_S)]
)
async def test_a_version_is_judged_within_its_share(
    trouble: str,
    limit_s: float,
) -> None:
    """Its requests stay within the bound also where its leader is lost."""
    results = await asyncio.gather(
        play_rollout('good', trouble, 1, limit_s),
        play_rollout('failing', trouble, 1, limit_s),
    )
    for one in results:
        assert not one.broken, str(one)
        assert not one.wrong, str(one)
