"""Versions that join while one instance does not hear of them."""

import pytest
from tallyhall_bench.release_run import play_release

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    ('release', 'trouble'),
    [('ordered', 'cut'), ('ordered', 'stopped'), ('replaced', 'cut')],
)
async def test_no_stream_goes_on_at_another_version_at_a_late_instance(
    release: str, trouble: str
) -> None:
    played = await play_release(release, trouble, 2)
    assert not played.broken, str(played)
    assert played.streams > 20, str(played)
