"""Answers that upstreams send before they have read a request."""

import asyncio
import collections
import functools
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_standins.early import (
    OK_HEAD,
    PART,
    RESETS_AFTER_S,
    EarlyUpstream,
    answer_after_upload,
)

from tests.platform.harness import HOST, PLAIN, Answer, deployment, desired

_UPLOADS = (8_000, 60_000, 400_000, 3_000_000)
_SAMPLES = 4
_MAX_BODY_BYTES = 4_194_304


def _large_bodies() -> dict[str, Any]:
    state = desired(2)
    state['limits'] = state['limits'] | {'max-body-bytes': _MAX_BODY_BYTES}
    return state


async def _ask(
    head: bytes, path: str, size: int, reset_after_s: float | None
) -> list[Answer]:
    """Return the answers to uploads that one upstream answers early."""
    early = EarlyUpstream(head, (reset_after_s,))
    port = free_ports(1)[0]
    async with deployment() as made, early.serving(HOST, port):
        made.register('early', f'{HOST}:{port}', PLAIN)
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
@pytest.mark.parametrize('reset_after_s', RESETS_AFTER_S)
async def test_part_of_an_answer_to_an_unread_upload_is_not_whole(
    path: str, size: int, reset_after_s: float | None
) -> None:
    answers = await _ask(OK_HEAD, path, size, reset_after_s)
    assert all(answer.status >= 500 for answer in answers)
    assert all(PART not in answer.body for answer in answers)


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_answer_with_an_invalid_status_is_no_answer(
    path: str, status: bytes
) -> None:
    head = b'HTTP/1.1 %b Odd\r\nContent-Length: %d\r\n' % (status, len(PART))
    answers = await _ask(head, path, 5, None)
    statuses = collections.Counter(answer.status for answer in answers)
    assert set(statuses) <= {502, 503}
    assert all(PART not in answer.body for answer in answers)


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
    serve = functools.partial(answer_after_upload, size)
    server = await asyncio.start_server(serve, HOST, port)
    async with deployment() as made, server:
        made.register('late', f'{HOST}:{port}', PLAIN)
        await made.ready()
        await made.change(_large_bodies())
        answer = await made.caller().ask('/once/x', 'r1', body=b'x' * size)
    assert (answer.status, answer.body) == (200, b'the whole body')
