"""The HTTP server towards callers, byte by byte."""

import asyncio
import contextlib
from collections.abc import Callable

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_edge.caller_connection import ServerLimits
from tallyhall_edge.errors import EndedError
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.server import HttpServer

from tests.platform.harness import HOST, until

_LIMITS = ServerLimits(
    header_bytes=300,
    body_bytes=100,
    header_s=0.2,
    body_s=0.2,
    idle_s=0.3,
)
# More than the buffers of the kernel hold.
_MUCH = bytes(16_000_000)
_ANSWER_TWO = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo'


class _Served:
    """A server that echoes bodies; `hold` lets requests wait."""

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
        """Serve, and return a connection."""
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


async def test_requests_ahead_are_answered_in_order() -> None:
    served = _Served()
    reader, writer = await served.open()
    writer.write(_post(b'one') + _post(b'two') + _post(b'three'))
    got = b''
    while got.count(b'HTTP/1.1 200') < 3 or not got.endswith(b'three'):
        got += await reader.read(1000)
    assert got.index(b'one') < got.index(b'two') < got.index(b'three')
    assert served.bodies == [b'one', b'two', b'three']


@pytest.mark.parametrize('cut', range(1, 90, 7))
async def test_a_request_may_come_in_any_pieces(cut: int) -> None:
    served = _Served()
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


_BAD = [
    (b'nonsense\r\n\r\n', 400),
    (b'GET / HTTP/1.1\r\nHost: x\r\nX: ' + b'y' * 400 + b'\r\n\r\n', 431),
    (_post(b'z' * 101), 413),
    # Two ways to tell the length would let one request hide in another.
    (
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        400,
    ),
    (b'GET / HTTP/1.1\r\nHo', 408),
    (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc', 408),
]


@pytest.mark.parametrize(('raw', 'status'), _BAD)
async def test_bad_requests_end_the_connection(raw: bytes, status: int) -> None:
    served = _Served()
    reader, writer = await served.open()
    writer.write(raw)
    async with asyncio.timeout(2):
        answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert b'Connection: close' in answer
    assert not served.bodies


@pytest.mark.parametrize('half', [False, True])
async def test_a_caller_that_leaves_cancels_its_request(half: bool) -> None:
    served = _Served()
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


async def test_idle_connections_are_closed_in_time() -> None:
    served = _Served()
    reader, writer = await served.open()
    writer.write(_post(b'one'))
    await reader.readuntil(b'one')
    await asyncio.sleep(0.2)
    writer.write(_post(b'two'))
    await reader.readuntil(b'two')
    async with asyncio.timeout(1):
        assert await reader.read() == b''


async def test_a_flood_of_connections_is_bounded() -> None:
    served = _Served()
    served.server.most_connections = 5
    first, writer = await served.open()
    opened = [
        await asyncio.open_connection(HOST, served.port) for _ in range(20)
    ]
    await until(lambda: served.server.turned_away == 16)
    assert len(opened) == 20
    assert served.server.open_connections == 5
    writer.write(_post(b'one'))
    await first.readuntil(b'one')


async def test_old_http_gets_no_chunks() -> None:
    served = _Served()
    reader, writer = await served.open()
    writer.write(b'GET / HTTP/1.0\r\n\r\n')
    async with asyncio.timeout(1):
        answer = await reader.read()
    assert b'Transfer-Encoding' not in answer
    assert b'Connection: close' in answer


async def test_an_answer_that_is_not_sent_yet_keeps_the_server_busy() -> None:
    """A process must not end while bytes of a whole answer are in it.

    Seen in no play; found by asking what else a stopping instance cuts. An
    answer counted as done once it was written, although a caller that reads
    slowly had not got it: with nothing else in hand the instance ended, and
    what was left in its buffer was lost. Proof: this test, in which a server
    with 16 MB to send was not busy.
    """
    served = _Served()
    served.server.respond = _answer_much
    served.server.stop_keeping()
    reader, writer = await served.open()
    writer.write(_post(b'one'))
    await reader.readuntil(b'\r\n\r\n')
    assert served.server.busy == 1
    assert len(await reader.read(-1)) == len(_MUCH)
    await until(lambda: not served.server.busy)
    writer.close()


async def _answer_much(exchange: Exchange) -> None:
    exchange.answer(200, b'OK', (), _MUCH)


_LATE_ACTS: tuple[Callable[[Exchange], None], ...] = (
    lambda exchange: exchange.start(200, b'OK', (), 0),
    lambda exchange: exchange.write(b'late'),
    lambda exchange: exchange.finish(),
    lambda exchange: exchange.answer(200, b'OK', (), b'late'),
    lambda exchange: exchange.abort(),
)


async def test_what_has_ended_reaches_its_connection_no_more() -> None:
    """An old task may believe what it likes: the next answer stays whole.

    Callers read the end of a stream in the next answer. The task of a request
    that had ended wrote to its exchange, which wrote to the connection
    whatever that carried by then. Proof: each act below reaches the caller.
    """
    served = _Served()
    reader, writer = await served.open()
    with contextlib.closing(writer):
        for late in _LATE_ACTS:
            served.hold.set()
            writer.write(_post(b'one'))
            assert (await reader.readuntil(b'one')).startswith(b'HTTP/1.1 200')
            served.hold.clear()
            writer.write(_post(b'two'))
            await until(lambda: served.bodies[-1] == b'two')
            late(served.exchanges[-2])
            served.hold.set()
            answer = await reader.readuntil(b'two')
            assert answer == _ANSWER_TWO
    assert [type(exc) for exc in served.failures] == [EndedError] * 5


async def test_continue_for_a_request_ahead_waits_for_the_answer() -> None:
    """A caller that sends ahead reads each answer whole.

    The head of the next request may ask for `100 Continue` while an answer is
    under way; written at once, it stood in the middle of that answer. Proof:
    the parts of the answer below come with the interim one between them.
    """
    served = _Served()
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
        assert await reader.readuntil(b'two') == _ANSWER_TWO
