"""Real processes beside clients that do not behave, at each listener.

The limits are those of `crowd_run.LIMITS`. They run one at a time, without
other load.
"""

import pytest
from tallyhall_bench.crowd_forms import Listener
from tallyhall_bench.crowd_run import CROWD, MANY, play_crowd, play_peers

pytestmark = [pytest.mark.processes, pytest.mark.alone]


@pytest.mark.parametrize(
    ('listener', 'form', 'clients'),
    [
        (Listener.front, 'no route', CROWD),
        (Listener.front, 'bare', CROWD),
        (Listener.front, 'bare', 1),
        (Listener.front, 'bare, read', CROWD),
        (Listener.front, 'no key', CROWD),
        (Listener.front, 'sound', CROWD),
        (Listener.front, 'many headers', CROWD),
        (Listener.front, 'bodies', CROWD),
        (Listener.locate, 'resolve', CROWD),
        (Listener.locate, 'resolve, read', CROWD),
        (Listener.locate, 'bare', CROWD),
        (Listener.ready, 'ready', CROWD),
        (Listener.ready, 'long heads', CROWD),
        (Listener.metrics, 'metrics', CROWD),
        (Listener.metrics, 'many headers', CROWD),
    ],
)
async def test_requests_sent_ahead_do_not_take_the_memory(
    listener: Listener, form: str, clients: int
) -> None:
    result = await play_crowd(listener, form, clients)
    assert not result.broken, str(result)


@pytest.mark.parametrize('listener', list(Listener))
async def test_silent_connections_do_not_take_the_descriptors(
    listener: Listener,
) -> None:
    result = await play_crowd(listener, 'silent', MANY)
    assert not result.broken, str(result)


@pytest.mark.parametrize('peers', [1, CROWD])
async def test_large_batches_of_peers_do_not_take_the_memory(
    peers: int,
) -> None:
    result = await play_peers(peers)
    assert not result.broken, str(result)
