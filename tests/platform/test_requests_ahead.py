"""Requests that are sent ahead are parsed, handled and answered one by one."""

import asyncio
import collections
from collections.abc import Iterable

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_bench.ports import free_ports
from tallyhall_edge import caller_link
from tallyhall_edge.connection_watch import CloseReason
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.incoming import IncomingRequest
from tallyhall_edge.memory_budget import Holder
from tallyhall_edge.request_reader import RequestReader
from tallyhall_edge.server import HttpServer
from tallyhall_edge.server_limits import ServerLimits

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import HOST, until
from tests.platform.reading import BUDGET, ReaderServer, RecordingListener

_MB = 1_000_000
_BARE = b'GET / HTTP/1.1\r\n\r\n'
_GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
_POST = b'POST /b HTTP/1.1\r\nContent-Length: 12\r\n\r\nab\r\n\r\ncd\r\n\r\n'
_CHUNKED = (
    b'POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'8\r\na\r\n\r\nbcd\r\n4\r\n\r\n\r\n\r\n0\r\nTrailer: x\r\n\r\n'
)
# Larger than the socket buffers of the kernel.
_LARGE = bytes(8 * _MB)


class _Parsed:
    """The requests that a parser finds in the whole of some bytes."""

    def __init__(self, payload: bytes) -> None:
        self.found: list[tuple[bytes, bytes]] = []
        self._target = b''
        self._body = b''
        httptools.HttpRequestParser(self).feed_data(payload)

    def on_message_begin(self) -> None:
        self._target = b''
        self._body = b''

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_body(self, piece: bytes) -> None:
        self._body += piece

    def on_message_complete(self) -> None:
        self.found.append((self._target, self._body))


def _found(requests: Iterable[IncomingRequest]) -> list[tuple[bytes, bytes]]:
    return [(req.head.target, b''.join(req.body.blocks)) for req in requests]


async def test_no_request_is_parsed_before_it_is_accepted() -> None:
    owner = ReaderServer()
    listener = RecordingListener(accepted=1)
    reader = RequestReader(listener, owner)
    reader.feed(_BARE * 1000)
    assert len(listener.read) == 1
    held = owner.bodies.budget.held[Holder.requests]
    assert 999 * len(_BARE) < held < 1000 * len(_BARE) + 10_000
    for number in range(2, 1001):
        listener.left = 1
        reader.resume()
        assert len(listener.read) == number
    for req in listener.read:
        req.reservation.release()
    assert not owner.bodies.budget.total


async def _read(
    payload: bytes, cuts: list[int], accepted: list[int]
) -> RecordingListener:
    """Read bytes that are cut at these places.

    accepted: how many requests are accepted at a time.
    """
    ends = sorted({cut for cut in cuts if cut < len(payload)})
    starts = (0, *ends)
    listener = RecordingListener(accepted[0])
    reader = RequestReader(listener, ReaderServer())
    for start, end in zip(starts, (*ends, len(payload)), strict=True):
        if end > start:
            reader.feed(payload[start:end])
    more = collections.deque(accepted[1:])
    while reader.is_ahead:
        listener.left = more.popleft() if more else 1
        reader.resume()
    return listener


@given(
    messages=st.lists(
        st.sampled_from((_BARE, _GET, _POST, _CHUNKED)), min_size=1, max_size=6
    ),
    cuts=st.lists(st.integers(0, 600), max_size=8),
    accepted=st.lists(st.integers(1, 3), min_size=1, max_size=6),
)
def test_pieces_change_no_request(
    messages: list[bytes], cuts: list[int], accepted: list[int]
) -> None:
    payload = b''.join(messages)
    listener = asyncio.run(_read(payload, cuts, accepted))
    assert not listener.rejections
    assert _found(listener.read) == _Parsed(payload).found


async def test_a_large_head_is_rejected_without_memory_for_it() -> None:
    owner = ReaderServer()
    owner.bodies.budget.add(Holder.responses, BUDGET)
    listener = RecordingListener(accepted=2)
    reader = RequestReader(listener, owner)
    reader.feed(_GET)
    assert len(listener.read) == 1
    reader.feed(b'GET / HTTP/1.1\r\nX: ' + b'y' * 12_000)
    rejection = listener.rejections[0]
    assert rejection.status == 503
    assert rejection.headers == ((b'Retry-After', b'1'),)


class _Served:
    """A server that counts the requests that it handles."""

    def __init__(self, body: bytes, limits: ServerLimits) -> None:
        self.handled = 0
        self.failures: list[Exception] = []
        self.server = HttpServer(self._respond, self.failures.append, limits)
        self.port = free_ports(1)[0]
        self._body = body

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a new connection to the server."""
        return await asyncio.open_connection(HOST, self.port)

    async def _respond(self, exchange: Exchange) -> None:
        self.handled += 1
        exchange.answer(200, b'OK', (), self._body)


async def test_the_next_request_waits_until_the_answer_is_sent() -> None:
    wait_for(Outside.threads)
    served = _Served(_LARGE, ServerLimits())
    await served.server.listen(HOST, served.port)
    reader, writer = await served.open()
    writer.write(_GET * 3)
    await until(lambda: served.handled == 1)
    await asyncio.sleep(0.2)
    assert served.handled == 1
    for number in range(1, 4):
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(len(_LARGE)) == _LARGE
        assert served.handled >= number
    assert served.handled == 3
    writer.close()


@pytest.mark.parametrize('ends', [False, True])
async def test_a_caller_that_reads_nothing_is_closed(
    ends: bool,  # noqa: FBT001
) -> None:
    wait_for(Outside.threads)
    served = _Served(_LARGE, ServerLimits(unread_timeout_s=0.5))
    await served.server.listen(HOST, served.port)
    _, writer = await served.open()
    last = _GET.replace(b'Host', b'Connection: close\r\nHost')
    writer.write(last if ends else _GET)
    await until(lambda: served.handled == 1)
    budget = served.server.bodies.budget
    loop = asyncio.get_running_loop()
    served.server.poll(loop.time())
    assert budget.held[Holder.caller_writes] > _MB
    assert served.server.open_connections == 1
    await asyncio.sleep(0.6)
    served.server.poll(loop.time())
    await until(lambda: not served.server.open_connections)
    assert served.server.closed[CloseReason.unread] == 1
    assert not budget.total
    writer.transport.abort()


@pytest.mark.parametrize('half_closed', [False, True])
async def test_a_closing_connection_does_not_wait_for_ever(
    half_closed: bool,  # noqa: FBT001
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Neither where less is unsent than pauses an upstream."""
    wait_for(Outside.threads)
    monkeypatch.setattr(caller_link, '_WRITE_HIGH_WATER_BYTES', 100 * _MB)
    served = _Served(_LARGE, ServerLimits(unread_timeout_s=0.5))
    await served.server.listen(HOST, served.port)
    _, writer = await served.open()
    if half_closed:
        writer.write(_GET)
        await until(lambda: served.handled == 1)
        writer.write_eof()
    else:
        writer.write(_GET.replace(b'Host', b'Connection: close\r\nHost'))
    await until(lambda: served.handled == 1)
    await asyncio.sleep(0.6)
    loop = asyncio.get_running_loop()
    for _ in range(2):
        served.server.poll(loop.time())
        await asyncio.sleep(0.6)
    assert not served.server.open_connections
    assert served.server.closed[CloseReason.unread] == 1
    writer.transport.abort()


async def test_one_caller_ahead_does_not_hold_up_another() -> None:
    served = _Served(b'', ServerLimits())
    await served.server.listen(HOST, served.port)
    _, ahead = await served.open()
    ahead.write(_BARE * 20_000)
    reader, writer = await served.open()
    await until(lambda: served.handled > 0)
    before = served.handled
    writer.write(_GET)
    await reader.readuntil(b'\r\n\r\n')
    assert served.handled - before < 100
    ahead.transport.abort()
    writer.close()


async def test_requests_sent_ahead_are_dropped_where_the_memory_is_used() -> (
    None
):
    wait_for(Outside.threads)
    served = _Served(_LARGE, ServerLimits())
    await served.server.listen(HOST, served.port)
    _, writer = await served.open()
    writer.write(_GET * 20_000)
    await until(lambda: served.handled == 1)
    budget = served.server.bodies.budget
    budget.add(Holder.responses, budget.size)
    loop = asyncio.get_running_loop()
    served.server.poll(loop.time())
    await until(lambda: not served.server.open_connections)
    assert served.server.closed[CloseReason.sent_ahead] == 1
    budget.add(Holder.responses, -budget.size)
    assert not budget.total
    writer.transport.abort()
