"""Requests without end: what is held of them is bounded while they come.

A parser gathers a line until it is complete, so limits on complete headers do
not bound it.
"""

import asyncio
import contextlib
import itertools
import sys
import tracemalloc
from collections.abc import Iterator

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.request_reader import RequestReader
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.server import HttpServer

from tests.platform.harness import HOST, until
from tests.platform.reading import ReaderServer, RecordingListener

_MB = 1_000_000
_PIECE = 65_536
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_ENDLESS = {
    'a target': (b'GET /', b'y' * _PIECE),
    'a header line': (_HEAD + b'X: ', b'y' * _PIECE),
    'a header name': (_HEAD, b'y' * _PIECE),
    'header lines': (_HEAD, b'X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n'),
    'short header lines': (_HEAD, b'X:y\r\n' * 1000),
    'a trailer': (_CHUNKED + b'1\r\nx\r\n0\r\nX: ', b'y' * _PIECE),
    'trailers': (_CHUNKED + b'1\r\nx\r\n0\r\n', b'X: yyyyyyyyyyyy\r\n' * 4000),
    'an extension': (_CHUNKED + b'1;x=', b'y' * _PIECE),
}
_FORMS = pytest.mark.parametrize('form', _ENDLESS)


def _peak(reader: RequestReader, pieces: Iterator[bytes]) -> int:
    """Return the most bytes that were allocated while these were read."""
    tracemalloc.start()
    try:
        for piece in pieces:
            reader.feed(piece)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@_FORMS
async def test_little_is_held_of_a_request_without_end(form: str) -> None:
    begin, more = _ENDLESS[form]
    listener = RecordingListener(accepted=sys.maxsize)
    reader = RequestReader(listener, ReaderServer())
    count = 20 * _MB // len(more)
    pieces = itertools.chain((begin,), itertools.repeat(more, count))
    assert _peak(reader, pieces) < _MB
    assert len(listener.rejections) == 1
    assert not listener.read


@_FORMS
async def test_a_request_without_end_is_answered_at_its_bound(
    form: str,
) -> None:
    """Its timeout is long: the bound is what ends it."""
    begin, more = _ENDLESS[form]
    limits = ServerLimits(header_timeout_s=30, body_timeout_s=30)
    server = HttpServer(_answer, _raise, limits)
    port = free_ports(1)[0]
    await server.listen(HOST, port)
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(begin)
    await until(lambda: server.open_connections == 1)
    with contextlib.suppress(ConnectionError):
        for _ in range(20 * _MB // _PIECE):
            writer.write(more * (1 + _PIECE // len(more)))
            await writer.drain()
    await until(lambda: not server.open_connections, within_s=1)
    writer.transport.abort()
    server.close()


async def test_small_chunks_take_little_more_than_their_bytes() -> None:
    listener = RecordingListener(accepted=sys.maxsize)
    reader = RequestReader(listener, ReaderServer())
    size = 1_000_000
    chunks = itertools.repeat(b'2\r\nxy\r\n' * 1000, size // 2000)
    peak = _peak(reader, itertools.chain((_CHUNKED,), chunks, (b'0\r\n\r\n',)))
    assert listener.read[0].body.size == size
    assert peak < 3 * size


async def test_trailers_are_not_taken_for_headers() -> None:
    listener = RecordingListener(accepted=sys.maxsize)
    reader = RequestReader(listener, ReaderServer())
    reader.feed(_CHUNKED + b'1\r\nx\r\n0\r\nX-Late: y\r\n\r\n')
    names = [name for name, _ in listener.read[0].head.headers]
    assert names == [b'Host', b'Transfer-Encoding']


async def _answer(exchange: Exchange) -> None:
    exchange.answer(200, b'OK', (), b'')


def _raise(exc: Exception) -> None:
    raise exc
