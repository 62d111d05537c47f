"""Answers whose upstream stops in the middle of the head and closes."""

import asyncio
import functools

import pytest
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import ConnectionFailedError

from tests.platform.harness import ResponseCollector

_ID = b'X-Tallyhall-Request-Id: r1\r\n'
_STATUS = b'HTTP/1.1 200 OK\r\n%bX-Tallyhall-Response-Signature: s\r\n' % _ID
_HEADS = (
    b'%bContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n' % _STATUS,
    b'%bContent-Length: 15\r\n\r\n' % _STATUS,
    b'%bTransfer-Encoding: chunked\r\n\r\n' % _STATUS,
    b'%bContent-Type: text/event-stream\r\n\r\n' % _STATUS,
    b'HTTP/1.1 100 Continue\r\n\r\n%bContent-Length: 0\r\n\r\n' % _STATUS,
    b'HTTP/1.1 204 No Content\r\n%b\r\n' % _ID,
)
_WHOLE = b'%bContent-Length: 0\r\n\r\n' % _STATUS


async def _serve(
    answers: tuple[bytes, ...],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    for answer in answers:
        await reader.read(100)
        writer.write(answer)
    writer.close()


async def _end_of(*answers: bytes, via: str) -> ConnectionFailedError | None:
    """Return how the last of these answers on one connection ends."""
    serve = functools.partial(_serve, answers)
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    conn = await ClientConnection.open(
        '127.0.0.1', port, 1, b'x-tallyhall-request-id'
    )
    conn.via = via
    exc = None
    for _ in answers:
        sink = ResponseCollector()
        conn.send(b'GET / HTTP/1.1\r\n\r\n', sink, b'r1')
        exc = (await sink.done).error
    conn.close()
    server.close()
    return exc


@pytest.mark.parametrize('via', ['', 'entry-2'])
@pytest.mark.parametrize('head', _HEADS)
async def test_answer_that_stops_in_its_head_is_not_complete(
    head: bytes, via: str
) -> None:
    for length, _ in enumerate(head):
        assert await _end_of(head[:length], via=via) is not None
        assert await _end_of(_WHOLE, head[:length], via=via) is not None
