"""Real processes beside upstreams whose answers have no end."""

import pytest
from tallyhall_bench.endless_run import play_endless

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(('form', 'bad'), [('header lines', 1), ('error', 3)])
async def test_safe_requests_are_served_beside_endless_answers(
    form: str, bad: int
) -> None:
    result = await play_endless(form, bad, 1)
    assert not result.broken, str(result)
    assert 0 < result.asked < 0.05 * result.served.total, str(result)
    assert result.peak_mb < 100, str(result)
