"""A short fault run over real entry processes, and seeds that once failed."""

import asyncio

import pytest
from tallyhall_bench.platform_soak import soak

pytestmark = pytest.mark.processes

_SECONDS = 8


@pytest.mark.parametrize(
    ('seed', 'all_links'),
    [(4, False), (101, False), (501, True)],
)
def test_nothing_breaks_under_drawn_faults(
    seed: int,
    all_links: bool,
) -> None:
    site = asyncio.run(soak(seed, _SECONDS, all_links=all_links))
    assert not site.violations, (site.violations, site.faults)
    assert sum(tried.status == 200 for tried in site.tries) > 100


def test_few_upstreams_end_under_one_request_in_faults() -> None:
    """Instances are killed, stopped and cut off while they tell each other."""
    site = asyncio.run(soak(1001, _SECONDS, all_links=True, fatal=True))
    assert not site.violations, (site.violations, site.faults)
    assert site.ended > 0
