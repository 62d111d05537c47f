"""Tests of the HTTP server at the level of bytes on the connection."""

import asyncio
import contextlib
from collections.abc import Callable

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.connection_watch import CloseReason
from tallyhall_edge.errors import ExchangeEndedError
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.server import HttpServer

from tests.platform.harness import HOST, until

_LIMITS = ServerLimits(
    max_header_bytes=300,
    max_body_bytes=100,
    header_timeout_s=0.2,
    body_timeout_s=0.2,
    idle_timeout_s=0.3,
)
# Larger than the socket buffers of the kernel.
_LARGE_BODY = bytes(16_000_000)
_RESPONSE_TWO = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo'


class _EchoServer:
    """A server that echoes bodies; clearing `hold` blocks its requests."""

    def __init__(self) -> None:
        self.hold = asyncio.Event()
        self.hold.set()
        self.cancelled = 0
        self.bodies: list[bytes] = []
        self.exchanges: list[Exchange] = []
        self.failures: list[Exception] = []
        self.server = HttpServer(self._respond, self._failed, _LIMITS)
        self.port = free_ports(1)[0]

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Start the server and return a connection to it."""
        await self.server.listen(HOST, self.port)
        return await asyncio.open_connection(HOST, self.port)

    async def _respond(self, exchange: Exchange) -> None:
        self.bodies.append(exchange.body)
        self.exchanges.append(exchange)
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        exchange.answer(200, b'OK', (), exchange.body)

    def _failed(self, exc: Exception) -> None:
        self.failures.append(exc)


def _post(body: bytes, *lines: bytes) -> bytes:
    head = (b'POST / HTTP/1.1', b'Host: x', *lines)
    length = b'Content-Length: %d' % len(body)
    return b'\r\n'.join((*head, length, b'', b'')) + body


async def test_pipelined_requests_are_answered_in_order() -> None:
    served = _EchoServer()
    reader, writer = await served.open()
    writer.write(_post(b'one') + _post(b'two') + _post(b'three'))
    got = b''
    while got.count(b'HTTP/1.1 200') < 3 or not got.endswith(b'three'):
        got += await reader.read(1000)
    assert got.index(b'one') < got.index(b'two') < got.index(b'three')
    assert served.bodies == [b'one', b'two', b'three']


@pytest.mark.parametrize('cut', range(1, 90, 7))
async def test_a_request_may_be_split_anywhere(cut: int) -> None:
    served = _EchoServer()
    reader, writer = await served.open()
    raw = (
        b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
    )
    writer.write(raw[:cut])
    await asyncio.sleep(0.01)
    writer.write(raw[cut:])
    answer = await reader.readuntil(b'abcdefg')
    assert answer.startswith(b'HTTP/1.1 200')


_INVALID_REQUESTS = [
    (b'nonsense\r\n\r\n', 400),
    (b'GET / HTTP/1.1\r\nHost: x\r\nX: ' + b'y' * 400 + b'\r\n\r\n', 431),
    (_post(b'z' * 101), 413),
    # Two conflicting lengths would allow request smuggling.
    (
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        400,
    ),
    (b'GET / HTTP/1.1\r\nHo', 408),
    (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc', 408),
]


@pytest.mark.parametrize(('raw', 'status'), _INVALID_REQUESTS)
async def test_invalid_requests_close_the_connection(
    raw: bytes, status: int
) -> None:
    served = _EchoServer()
    reader, writer = await served.open()
    writer.write(raw)
    async with asyncio.timeout(2):
        answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert b'Connection: close' in answer
    assert not served.bodies


async def test_a_rejected_connection_gets_one_answer() -> None:
    """Further requests may have been received together with the first."""
    served = _EchoServer()
    reader, writer = await served.open()
    target = b'GET /' + b'y' * 400 + b' HTTP/1.1\r\nHost: x\r\n\r\n'
    writer.write(target * 3)
    async with asyncio.timeout(2):
        answer = await reader.read()
    assert answer.count(b'HTTP/1.1 431 ') == 1
    assert answer.count(b'HTTP/1.1') == 1


@pytest.mark.parametrize('half', [False, True])
async def test_a_disconnect_cancels_the_request(half: bool) -> None:
    served = _EchoServer()
    served.hold.clear()
    _, writer = await served.open()
    writer.write(_post(b'one'))
    await until(lambda: bool(served.bodies))
    if half:
        writer.write_eof()
    else:
        writer.transport.abort()
    await until(lambda: served.cancelled == 1, within_s=0.5)
    assert not served.failures


async def test_nothing_behind_a_refused_request_is_run() -> None:
    """Its answer says that the connection is closed."""
    served = _EchoServer()
    reader, writer = await served.open()
    large = _post(b'z' * 101)
    writer.write(large[:-1])
    await reader.readuntil(b'Connection: close\r\n\r\n')
    writer.write(large[-1:] + _post(b'two'))
    async with asyncio.timeout(2):
        assert await reader.read() == b''
    await asyncio.sleep(0.1)
    assert not served.bodies


async def test_idle_connections_are_closed() -> None:
    served = _EchoServer()
    reader, writer = await served.open()
    writer.write(_post(b'one'))
    await reader.readuntil(b'one')
    await asyncio.sleep(0.2)
    writer.write(_post(b'two'))
    await reader.readuntil(b'two')
    async with asyncio.timeout(1):
        assert await reader.read() == b''


async def test_open_connections_are_bounded() -> None:
    served = _EchoServer()
    served.server.max_connections = 5
    served.hold.clear()
    first, writer = await served.open()
    writer.write(_post(b'one'))
    await until(lambda: bool(served.exchanges))
    opened = [
        await asyncio.open_connection(HOST, served.port) for _ in range(20)
    ]
    await until(lambda: served.server.closed[CloseReason.evicted] == 16)
    assert len(opened) == 20
    assert served.server.open_connections == 5
    served.hold.set()
    await first.readuntil(b'one')


async def test_connections_are_turned_away_while_all_others_have_requests() -> (
    None
):
    served = _EchoServer()
    served.server.max_connections = 2
    served.hold.clear()
    opened = [await served.open()]
    opened.append(await asyncio.open_connection(HOST, served.port))
    for _, writer in opened:
        writer.write(_post(b'one'))
    await until(lambda: len(served.exchanges) == 2)
    reader, _ = await asyncio.open_connection(HOST, served.port)
    with contextlib.suppress(ConnectionError):
        assert not await reader.read()
    assert served.server.closed[CloseReason.turned_away] == 1
    served.hold.set()
    for answered, _ in opened:
        await answered.readuntil(b'one')


async def test_a_kept_connection_makes_room_after_those_never_used() -> None:
    served = _EchoServer()
    served.server.max_connections = 2
    kept, writer = await served.open()
    writer.write(_post(b'one'))
    await kept.readuntil(b'one')
    unused, _ = await asyncio.open_connection(HOST, served.port)
    await until(lambda: served.server.open_connections == 2)
    await asyncio.open_connection(HOST, served.port)
    assert not await unused.read()
    writer.write(_post(b'two'))
    await kept.readuntil(b'two')


async def test_http_1_0_is_answered_without_chunks() -> None:
    served = _EchoServer()
    reader, writer = await served.open()
    writer.write(b'GET / HTTP/1.0\r\n\r\n')
    async with asyncio.timeout(1):
        answer = await reader.read()
    assert b'Transfer-Encoding' not in answer
    assert b'Connection: close' in answer


async def test_unsent_response_bytes_keep_the_server_busy() -> None:
    """A stopping process must not end while response bytes are unsent.

    A response used to count as done once it was written to the transport. If
    the caller read slowly and no other request was in progress, the instance
    ended and the rest of the write buffer was lost: a server with 16 MB left
    to send was not busy.
    """
    served = _EchoServer()
    served.server.handle_request = _answer_large
    served.server.disable_keep_alive()
    reader, writer = await served.open()
    writer.write(_post(b'one'))
    await reader.readuntil(b'\r\n\r\n')
    assert served.server.busy_connections == 1
    assert len(await reader.read(-1)) == len(_LARGE_BODY)
    await until(lambda: not served.server.busy_connections)
    writer.close()


async def _answer_large(exchange: Exchange) -> None:
    exchange.answer(200, b'OK', (), _LARGE_BODY)


_CALLS_AFTER_END: tuple[Callable[[Exchange], None], ...] = (
    lambda exchange: exchange.start(200, b'OK', (), 0),
    lambda exchange: exchange.write(b'late'),
    lambda exchange: exchange.finish(),
    lambda exchange: exchange.answer(200, b'OK', (), b'late'),
    lambda exchange: exchange.abort(),
)


async def test_an_ended_exchange_writes_nothing() -> None:
    """Operations on an ended exchange must not corrupt the next response.

    The task of an ended request used to write to its exchange, which wrote to
    the connection even though that already carried the next response: callers
    read the end of a stream there. Each call below used to reach the caller.
    """
    served = _EchoServer()
    reader, writer = await served.open()
    with contextlib.closing(writer):
        for call_late in _CALLS_AFTER_END:
            served.hold.set()
            writer.write(_post(b'one'))
            assert (await reader.readuntil(b'one')).startswith(b'HTTP/1.1 200')
            served.hold.clear()
            writer.write(_post(b'two'))
            await until(lambda: served.bodies[-1] == b'two')
            call_late(served.exchanges[-2])
            served.hold.set()
            answer = await reader.readuntil(b'two')
            assert answer == _RESPONSE_TWO
    assert [type(exc) for exc in served.failures] == [ExchangeEndedError] * 5


async def test_continue_for_a_pipelined_request_waits() -> None:
    """An interim response must not interrupt the current response.

    The head of a pipelined request may expect `100 Continue` while an earlier
    request is still being answered. Written at once, the interim response used
    to arrive between the parts of the other response.
    """
    served = _EchoServer()
    served.hold.clear()
    reader, writer = await served.open()
    with contextlib.closing(writer):
        writer.write(_post(b'one'))
        await until(lambda: bool(served.exchanges))
        exchange = served.exchanges[0]
        exchange.start(200, b'OK', (), 6)
        exchange.write(b'one')
        assert await reader.readuntil(b'\r\n\r\none')
        ahead = _post(b'two', b'Expect: 100-continue')
        writer.write(ahead.removesuffix(b'two'))
        await asyncio.sleep(0.05)
        exchange.write(b'one')
        exchange.finish()
        assert await reader.readuntil(b'\r\n\r\n') == (
            b'oneHTTP/1.1 100 Continue\r\n\r\n'
        )
        served.hold.set()
        writer.write(b'two')
        assert await reader.readuntil(b'two') == _RESPONSE_TWO
