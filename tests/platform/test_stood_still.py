r"""An answer that came whole while the instance stood still.

Callers read bytes on their connection that belong to no request of theirs: the
end of a stream (`0\r\n\r\n`) in front of or in the middle of the next answer.
Order of events: a stream is sent; the instance stands still for longer than
the time after which silence is taken for a loss (or for longer than the limit
of the request); meanwhile the whole stream arrives. At waking, one turn of the
loop reads it, so the caller has its answer and the connection takes the next
request; the same turn then finds the timer due, which cancels the wait
although it was over. The stream counts as lost and is sent again after its
last event, and the end of the second answer goes to a connection that carries
another request by then. Where the limit ran out, that connection is reset.

Evidence, from the logs of one instance: it writes nothing for 1.5 s; in its
first millisecond `send_ended` with ending `unknown`, 10 events, the first of
them after 1499 ms of 1511 ms, then `permitted` with send 2 and after_event 10
for the same request. Others beside it end as `answered` at the same moment.
"""

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator

from tallyhall_bench.ports import free_ports
from tallyhall_standins.platform_engine import EngineStandIn

from tests.platform.harness import HOST, KEY, SITE, deployment

# Longer than the 0.33 s of silence that count as a loss, and than the limit.
_STILL_S = 1.5
_LIMIT = b'X-Tallyhall-Deadline-Ms: 900'
_LAST_CHUNK = b'0\r\n\r\n'
_READ_BYTES = 65_536
# Bytes that belong to nobody come within 0.3 s, after the second send.
_QUIET_S = 0.8


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


def _call_twice(
    address: tuple[str, int],
    path: bytes,
    *lines: bytes,
) -> tuple[bytes, bytes]:
    """Ask for a stream, and for the next once the first has ended."""
    with socket.create_connection(address) as sock:
        sock.settimeout(5)
        sock.sendall(_request(path, b'r1', *lines))
        first = b''
        while not first.endswith(_LAST_CHUNK):
            first += _read(sock)
        sock.sendall(_request(path, b'r2'))
        second = _read(sock)
        sock.settimeout(_QUIET_S)
        with contextlib.suppress(TimeoutError):
            while more := sock.recv(_READ_BYTES):
                second += more
        return first, second


def _read(sock: socket.socket) -> bytes:
    payload = sock.recv(_READ_BYTES)
    assert payload, 'closed in the middle'
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
def _beside(engines: list[EngineStandIn]) -> Iterator[list[int]]:
    """Run engines on a loop of their own, which never stands still."""
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


async def _stand_still(path: bytes, *lines: bytes) -> list[str]:
    """Stand still while a stream comes; return what upstreams were sent."""
    engines = [
        EngineStandIn(f'model-{number}', first_s=0.2) for number in range(2)
    ]
    with _beside(engines) as ports:
        async with deployment() as made:
            for engine, port in zip(engines, ports, strict=True):
                made.register(engine.incarnation, f'{HOST}:{port}')
            await made.ready()
            front = made.options[0].front
            address = (front.host, front.port)
            calls = asyncio.create_task(
                asyncio.to_thread(_call_twice, address, path, *lines),
            )
            while not _ids_seen(engines):
                await asyncio.sleep(0.001)
            time.sleep(_STILL_S)
            answers = await calls
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 200'), answers
        assert answer.count(b'HTTP/1.1') == 1, answers
        assert answer.count(b'id: ') == 6, answers
        assert answer.count(_LAST_CHUNK) == 1, answers
        assert answer.endswith(_LAST_CHUNK), answers
    return sorted(_ids_seen(engines))


def _ids_seen(engines: list[EngineStandIn]) -> list[str]:
    seen = itertools.chain.from_iterable(engine.seen for engine in engines)
    return [request.request_id for request in seen]


async def test_a_stream_that_came_whole_is_not_sent_again() -> None:
    assert await _stand_still(b'/stream/x') == ['r1', 'r2']


async def test_a_limit_that_ran_out_later_resets_no_connection() -> None:
    assert await _stand_still(b'/brittle/x', _LIMIT) == ['r1', 'r2']
