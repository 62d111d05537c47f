"""Answers that upstreams send before they have read a request."""

import asyncio
import collections
import contextlib
import functools
import socket
import struct
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports

from tests.platform.harness import HOST, PLAIN, Answer, deployment, desired

_SIGNATURE = b'X-Tallyhall-Response-Signature: s\r\n'
_PART = b'part of a body'
_UPLOADS = (8_000, 60_000, 400_000, 3_000_000)
# Times in seconds between the end of a stream and the reset after it; None for
# a connection that is closed with bytes unread.
_RESETS_AFTER_S = (None, 0, 0.002, 0.01)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_HEAD_BYTES = 2000
_SAMPLES = 4
_MAX_BODY_BYTES = 4_194_304


def _large_bodies() -> dict[str, Any]:
    state = desired(2)
    state['limits'] = state['limits'] | {'max-body-bytes': _MAX_BODY_BYTES}
    return state


class _EarlyUpstream:
    """Answers each request once its head is there, and reads no more of it."""

    def __init__(self, head: bytes, reset_after_s: float | None) -> None:
        self.asked = 0
        self._answer = b'%b%b\r\n%b' % (head, _SIGNATURE, _PART)
        self._reset_after_s = reset_after_s
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serve at the address that is yielded."""
        port = free_ports(1)[0]
        with socket.create_server((HOST, port)) as listener:
            listener.setblocking(False)
            serving = asyncio.create_task(self._serve(listener))
            yield f'{HOST}:{port}'
            serving.cancel()

    async def _serve(self, listener: socket.socket) -> None:
        while True:
            sock, _ = await self._loop.sock_accept(listener)
            sock.setblocking(False)
            task = asyncio.create_task(self._answer_early(sock))
            self._tasks.add(task)

    async def _answer_early(self, sock: socket.socket) -> None:
        if not await self._loop.sock_recv(sock, _HEAD_BYTES):
            sock.close()
            return
        self.asked += 1
        await self._loop.sock_sendall(sock, self._answer)
        if self._reset_after_s is not None:
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(self._reset_after_s)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        sock.close()


async def _ask(
    head: bytes, path: str, size: int, reset_after_s: float | None
) -> list[Answer]:
    """Return the answers to uploads that one upstream answers early."""
    early = _EarlyUpstream(head, reset_after_s)
    async with (
        deployment() as made,
        early.serving() as place,
    ):
        made.register('early', place, PLAIN)
        await made.ready()
        await made.change(_large_bodies())
        answers = [
            await made.caller().ask(path, f'r{number}', body=b'x' * size)
            for number in range(_SAMPLES)
        ]
    assert early.asked
    return answers


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
@pytest.mark.parametrize('size', _UPLOADS)
@pytest.mark.parametrize('reset_after_s', _RESETS_AFTER_S)
async def test_part_of_an_answer_to_an_unread_upload_is_not_whole(
    path: str, size: int, reset_after_s: float | None
) -> None:
    head = b'HTTP/1.1 200 OK\r\n'
    answers = await _ask(head, path, size, reset_after_s)
    assert all(answer.status >= 500 for answer in answers)
    assert all(_PART not in answer.body for answer in answers)


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_answer_with_an_invalid_status_is_no_answer(
    path: str, status: bytes
) -> None:
    head = b'HTTP/1.1 %b Odd\r\nContent-Length: %d\r\n' % (status, len(_PART))
    answers = await _ask(head, path, 5, None)
    statuses = collections.Counter(answer.status for answer in answers)
    assert set(statuses) <= {502, 503}
    assert all(_PART not in answer.body for answer in answers)


async def _answer_after_upload(
    size: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(size)
        writer.write(b'HTTP/1.1 200 OK\r\n%b\r\n' % _SIGNATURE)
        writer.write(b'the whole body')
    writer.close()


async def _send_status_000(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n')
    await reader.read()


async def test_invalid_status_does_not_hold_a_caller() -> None:
    port = free_ports(1)[0]
    server = await asyncio.start_server(_send_status_000, HOST, port)
    async with deployment() as made, server:
        made.register('odd', f'{HOST}:{port}', PLAIN)
        await made.ready()
        async with asyncio.timeout(1):
            answer = await made.caller().ask('/once/x', 'r1')
    assert answer.status == 502


@pytest.mark.parametrize('size', [5, *_UPLOADS])
async def test_answer_without_length_to_an_upload_that_was_read_is_whole(
    size: int,
) -> None:
    port = free_ports(1)[0]
    serve = functools.partial(_answer_after_upload, size)
    server = await asyncio.start_server(serve, HOST, port)
    async with deployment() as made, server:
        made.register('late', f'{HOST}:{port}', PLAIN)
        await made.ready()
        await made.change(_large_bodies())
        answer = await made.caller().ask('/once/x', 'r1', body=b'x' * size)
    assert (answer.status, answer.body) == (200, b'the whole body')
