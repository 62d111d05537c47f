r"""A response that arrives completely while the event loop is blocked.

Guards against stray bytes on the connection of a caller: the end of a stream
(`0\r\n\r\n`) before or inside the next response. A stream is requested, the
loop is blocked for longer than the silence that counts as a loss (or than the
timeout of the request), and the whole stream arrives meanwhile. One iteration
of the loop then reads it, so that the caller has its response and the
connection takes the next request; the same iteration runs the expired timer,
which cancelled the finished wait. The stream counted as lost and was sent again
after its last event, and the end of the second response went to a connection
that carried another request. If the timeout had expired, the connection was
reset.

In the logs: no line for 1.5 s, then `send_ended` with ending `unknown`, 10
events, the first after 1499 ms of 1511 ms, then `permitted` with send 2 and
after_event 10 for the same request, while other requests end as `answered`.
"""

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_standins.platform_engine import EngineStandIn

from tests.platform.harness import HOST, KEY, SITE, deployment

pytestmark = pytest.mark.real_time

# Longer than the 0.33 s of silence that count as a loss, and than _DEADLINE.
_BLOCKED_S = 1.5
_DEADLINE = b'X-Tallyhall-Deadline-Ms: 900'
_LAST_CHUNK = b'0\r\n\r\n'
_READ_BYTES = 65_536
# Stray bytes come within 0.3 s of the second attempt.
_STRAY_WAIT_S = 0.8


def _request(path: bytes, request_id: bytes, *lines: bytes) -> bytes:
    head = (
        b'POST %b HTTP/1.1' % path,
        b'Host: ' + SITE.encode(),
        b'X-Tallyhall-Request-Id: ' + request_id,
        b'Authorization: Bearer ' + KEY.encode(),
        b'X-Tallyhall-Token-Counts: 100,30',
        b'Content-Length: 5',
        *lines,
    )
    return b'\r\n'.join((*head, b'', b'hello'))


def _send_two_requests(
    address: tuple[str, int],
    path: bytes,
    *lines: bytes,
) -> tuple[bytes, bytes]:
    """Request a stream, and another one once the first has ended."""
    with socket.create_connection(address) as sock:
        sock.settimeout(5)
        sock.sendall(_request(path, b'r1', *lines))
        first = b''
        while not first.endswith(_LAST_CHUNK):
            first += _read(sock)
        sock.sendall(_request(path, b'r2'))
        second = _read(sock)
        sock.settimeout(_STRAY_WAIT_S)
        with contextlib.suppress(TimeoutError):
            while more := sock.recv(_READ_BYTES):
                second += more
        return first, second


def _read(sock: socket.socket) -> bytes:
    payload = sock.recv(_READ_BYTES)
    assert payload, 'connection closed inside a response'
    return payload


async def _serve(
    engines: list[EngineStandIn],
    ports: list[int],
    ready: threading.Event,
    stop: threading.Event,
) -> None:
    for engine, port in zip(engines, ports, strict=True):
        await engine.listen(HOST, port)
    ready.set()
    await asyncio.to_thread(stop.wait)


@contextlib.contextmanager
def _run_in_thread(engines: list[EngineStandIn]) -> Iterator[list[int]]:
    """Run engines on an event loop in another thread, never blocked."""
    ready = threading.Event()
    stop = threading.Event()
    ports = free_ports(len(engines))
    serving = _serve(engines, ports, ready, stop)
    thread = threading.Thread(target=asyncio.run, args=(serving,))
    thread.start()
    ready.wait()
    try:
        yield ports
    finally:
        stop.set()
        thread.join()


async def _block_during_stream(path: bytes, *lines: bytes) -> list[str]:
    """Block the loop during a stream; return request ids upstreams got."""
    engines = [
        EngineStandIn(f'model-{number}', first_s=0.2) for number in range(2)
    ]
    with _run_in_thread(engines) as ports:
        async with deployment() as cluster:
            for engine, port in zip(engines, ports, strict=True):
                cluster.register(engine.incarnation, f'{HOST}:{port}')
            await cluster.ready()
            front = cluster.options[0].front
            address = (front.host, front.port)
            calls = asyncio.create_task(
                asyncio.to_thread(_send_two_requests, address, path, *lines),
            )
            while not _received_ids(engines):
                await asyncio.sleep(0.001)
            time.sleep(_BLOCKED_S)
            answers = await calls
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 200'), answers
        assert answer.count(b'HTTP/1.1') == 1, answers
        assert answer.count(b'id: ') == 6, answers
        assert answer.count(_LAST_CHUNK) == 1, answers
        assert answer.endswith(_LAST_CHUNK), answers
    return sorted(_received_ids(engines))


def _received_ids(engines: list[EngineStandIn]) -> list[str]:
    seen = itertools.chain.from_iterable(engine.seen for engine in engines)
    return [request.request_id for request in seen]


async def test_complete_stream_is_not_retried() -> None:
    assert await _block_during_stream(b'/stream/x') == ['r1', 'r2']


async def test_expired_timeout_resets_no_connection() -> None:
    assert await _block_during_stream(b'/brittle/x', _DEADLINE) == ['r1', 'r2']
