"""Large bodies of many callers beside the memory limit of a process.

A process above its limit is killed and loses all of its requests. What does
not fit waits unread or is refused with a promise, on every deployment.
"""

import asyncio
import contextlib
import weakref
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_edge.caller_connection import ServerConnection
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.memory_budget import Holder, MemoryBudget
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.server import HttpServer

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import (
    HOST,
    KEY,
    PLAIN,
    SITE,
    Answer,
    Deployment,
    collector_off,
    deployment,
    patient,
    until,
)

_MB = 1_000_000
_LARGEST = 4_194_304
_BUDGET = 40 * _MB
_OTHER_KEY = 'key-other'
_LIMITS = {
    'max-header-bytes': 4096,
    'max-body-bytes': _LARGEST,
    'header-timeout-ms': 2000,
    'idle-timeout-ms': 5000,
}


class _Upstream:
    """Reads each request to its end and answers after a while."""

    def __init__(self, work_s: float) -> None:
        self.ran: list[bytes] = []
        self.port = free_ports(1)[0]
        self._work_s = work_s

    async def listen(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._answer_one(reader, writer)
        writer.close()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = [line.partition(b': ') for line in head.split(b'\r\n')]
        named = {name.lower(): text for name, _, text in lines}
        left = int(named[b'content-length'])
        while left:
            piece = await reader.read(65_536)
            if not piece:
                raise asyncio.IncompleteReadError(b'', left)
            left -= len(piece)
        request_id = named[b'x-tallyhall-request-id']
        self.ran.append(request_id)
        await asyncio.sleep(self._work_s)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            b'X-Tallyhall-Response-Signature: s\r\n'
            b'X-Tallyhall-Request-Id: %b\r\n\r\nok' % request_id
        )


@contextlib.asynccontextmanager
async def _limited(
    memory_bytes: int,
) -> AsyncIterator[tuple[Deployment, _Upstream]]:
    """Start an instance with a small budget and one upstream.

    memory_bytes: limit of the settings; slow peers are counted if it is known.
    """
    wait_for(Outside.threads)
    async with deployment(memory_bytes=memory_bytes) as made:
        state = patient(2) | {'limits': _LIMITS}
        state['tenants'].append(
            state['tenants'][0] | {'name': 'other', 'api-keys': [_OTHER_KEY]}
        )
        await made.change(state)
        upstream = _Upstream(0.1)
        server = await upstream.listen()
        made.register('plain-0', f'{HOST}:{upstream.port}', PLAIN, slots=100)
        await made.ready()
        made.instances[0].memory.budget.resize(_BUDGET)
        try:
            yield made, upstream
        finally:
            server.close()


async def _ask(
    made: Deployment, name: str, size: int, key: str = KEY
) -> Answer:
    return await made.caller().ask('/once/x', name, body=bytes(size), key=key)


async def _watch(budget: MemoryBudget, held: list[int]) -> None:
    while True:
        held.append(budget.held[Holder.request_bodies])
        await asyncio.sleep(0.002)


@pytest.mark.parametrize('memory_bytes', [0, 1])
async def test_many_large_bodies_stay_within_the_budget(
    memory_bytes: int,
) -> None:
    """They were read to their end whatever was held."""
    async with _limited(memory_bytes) as (made, upstream):
        budget = made.instances[0].memory.budget
        held: list[int] = []
        watching = asyncio.create_task(_watch(budget, held))
        answers = await asyncio.gather(
            *(_ask(made, f'r{number}', _LARGEST) for number in range(30))
        )
        watching.cancel()
        assert max(held) <= _BUDGET
        assert {answer.status for answer in answers} <= {200, 503}
        assert all(answer.whole for answer in answers)
        served = [one for one in answers if one.status == 200]
        assert len(served) >= 4
        for refused in answers:
            if refused.status == 503:
                assert float(refused.header('retry-after')) > 0
        assert len(upstream.ran) == len(served)
        bodies = made.instances[0].memory.bodies
        assert bodies.refused == len(answers) - len(served)
        await until(lambda: budget.held[Holder.request_bodies] == 0)
        assert (await _ask(made, 'last', _LARGEST)).status == 200


@pytest.mark.parametrize('memory_bytes', [0, 1])
async def test_small_bodies_are_served_beside_large_ones(
    memory_bytes: int,
) -> None:
    async with _limited(memory_bytes) as (made, _):
        flood = [
            asyncio.create_task(_ask(made, f'r{number}', _LARGEST))
            for number in range(30)
        ]
        await asyncio.sleep(0.1)
        small = await asyncio.gather(
            *(
                _ask(made, f's{number}', 50_000, _OTHER_KEY)
                for number in range(20)
            )
        )
        assert [answer.status for answer in small] == [200] * 20
        other = await _ask(made, 'other', _LARGEST, _OTHER_KEY)
        assert other.status == 200
        await asyncio.gather(*flood)


async def test_a_refused_body_is_dropped_and_its_answer_arrives() -> None:
    """A connection closed with unread bytes is reset, with its answer."""
    async with _limited(0) as (made, upstream):
        budget = made.instances[0].memory.budget
        budget.add(Holder.responses, _BUDGET - _MB)
        place = made.options[0].front
        reader, writer = await asyncio.open_connection(place.host, place.port)
        head = (
            'POST /once/x HTTP/1.1',
            f'Host: {SITE}',
            'X-Tallyhall-Request-Id: r1',
            f'Authorization: Bearer {KEY}',
            f'Content-Length: {_LARGEST}',
        )
        writer.write('\r\n'.join((*head, '', '')).encode())
        writer.write(bytes(_LARGEST // 2))
        async with asyncio.timeout(3):
            answer = await reader.readuntil(b'\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'Connection: close' in answer
        writer.write(bytes(_LARGEST // 2))
        async with asyncio.timeout(3):
            await writer.drain()
            assert await reader.read() != b''
        assert budget.held[Holder.request_bodies] == 0
        assert not upstream.ran
        writer.close()


async def test_an_unknown_key_is_told_so_whatever_is_held() -> None:
    async with _limited(0) as (made, _):
        budget = made.instances[0].memory.budget
        budget.add(Holder.responses, _BUDGET)
        answer = await _ask(made, 'r1', _LARGEST, 'unknown')
        assert answer.status == 401


async def test_the_body_of_a_caller_who_left_is_released() -> None:
    async with _limited(0) as (made, _):
        budget = made.instances[0].memory.budget
        place = made.options[0].front
        head = (
            f'POST /once/x HTTP/1.1\r\nHost: {SITE}\r\n'
            f'Content-Length: {_LARGEST}\r\n\r\n'
        )
        for _ in range(3):
            _, writer = await asyncio.open_connection(place.host, place.port)
            writer.write(head.encode() + bytes(_MB))
            await until(lambda: budget.held[Holder.request_bodies] == _LARGEST)
            writer.transport.abort()
            await until(lambda: budget.held[Holder.request_bodies] == 0)


async def test_chunks_of_unknown_length_are_bounded_too() -> None:
    async with _limited(0) as (made, upstream):
        budget = made.instances[0].memory.budget
        place = made.options[0].front
        reader, writer = await asyncio.open_connection(place.host, place.port)
        head = (
            f'POST /once/x HTTP/1.1\r\nHost: {SITE}\r\n'
            f'X-Tallyhall-Request-Id: r1\r\nAuthorization: Bearer {KEY}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        chunk = b'4000\r\n' + bytes(0x4000) + b'\r\n'
        writer.write(chunk * 30)
        await until(lambda: budget.held[Holder.request_bodies] == _LARGEST)
        writer.write(b'0\r\n\r\n')
        async with asyncio.timeout(3):
            answer = await reader.readuntil(b'\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert len(upstream.ran) == 1
        await until(lambda: budget.held[Holder.request_bodies] == 0)
        writer.close()


async def test_closed_connections_are_freed_at_once() -> None:
    """A connection in a cycle would keep what it has read of a body."""
    wait_for(Outside.threads)
    server = _WatchedServer(_answer, _raise, ServerLimits())
    alive = server.alive
    port = free_ports(1)[0]
    await server.listen(HOST, port)
    with contextlib.closing(server), collector_off():
        for raw in (
            b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\nabc',
            b'GET / HTTP/1.1\r\nHo',
            b'nonsense\r\n\r\n',
        ):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(raw)
            await until(lambda: len(alive) == 1)
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await until(lambda: not alive, within_s=1)


class _WatchedServer(HttpServer):
    """Knows which connections are still in memory."""

    def __init__(self, *settings: Any) -> None:
        super().__init__(*settings)
        self.alive: weakref.WeakSet[ServerConnection] = weakref.WeakSet()

    def add(self, conn: ServerConnection) -> bool:
        self.alive.add(conn)
        return super().add(conn)


async def _answer(exchange: Exchange) -> None:
    exchange.answer(200, b'OK', (), b'')


def _raise(exc: Exception) -> None:
    raise exc
