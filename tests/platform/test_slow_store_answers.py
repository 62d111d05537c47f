"""Answers of the store that arrive slowly, as on a narrow link."""

import asyncio
import base64
import contextlib
from collections.abc import AsyncIterator, Sequence

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.options import Listening
from tallyhall_platform.errors import StoreUnavailableError
from tallyhall_platform.store import StoreClient

from tests.platform.harness import HOST

_PIECES = 40
_CONTENT = b'x' * 3000
# A whole answer takes 4 s.
_PAUSE_S = 0.1
# Longest time in seconds in which nothing of an answer arrives, and for all.
_STALL_S = 1.0
_MAX_S = 11.0


def _answer() -> list[bytes]:
    """Return the pieces of an answer with the value of a key."""
    value = base64.b64encode(_CONTENT).decode()
    body = f'{{"key": "k", "revision": 3, "value": "{value}"}}'
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    raw = (head + body).encode()
    size = len(raw) // _PIECES + 1
    return [raw[start : start + size] for start in range(0, len(raw), size)]


class _Store:
    """Sends the pieces of its answer with pauses."""

    def __init__(self, pieces: Sequence[bytes]) -> None:
        self._pieces = pieces

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        for piece in self._pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(_PAUSE_S)


@contextlib.asynccontextmanager
async def _store(pieces: Sequence[bytes]) -> AsyncIterator[StoreClient]:
    place = Listening(HOST, free_ports(1)[0])
    store = _Store(pieces)
    server = await asyncio.start_server(store.serve, place.host, place.port)
    client = StoreClient(place)
    try:
        yield client
    finally:
        client.close()
        server.close()


async def _given_up_s(pieces: Sequence[bytes]) -> float:
    """Return after how many seconds a read is given up."""
    loop = asyncio.get_running_loop()
    async with _store(pieces) as client:
        began_at = loop.time()
        with pytest.raises(StoreUnavailableError):
            await client.get('k')
        return loop.time() - began_at


async def test_an_answer_that_takes_seconds_is_read_whole() -> None:
    """Each read began anew after a second, for ever."""
    async with _store(_answer()) as client:
        for _ in range(2):
            found = await client.get('k')
            assert found is not None
            assert found.content == _CONTENT


async def test_an_answer_that_stops_is_given_up_after_a_second() -> None:
    given_up_s = await _given_up_s(_answer()[: _PIECES // 2])
    sent_s = _PAUSE_S * _PIECES / 2
    assert sent_s <= given_up_s < sent_s + _STALL_S + _PAUSE_S


async def test_an_answer_that_drips_is_given_up() -> None:
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n'
    given_up_s = await _given_up_s([head] + [b'x'] * 1000)
    assert given_up_s < _MAX_S + _PAUSE_S


async def test_a_store_that_does_not_answer_is_given_up_after_a_second() -> (
    None
):
    assert await _given_up_s([]) < _STALL_S + _PAUSE_S
