"""Upstreams that send bytes without end, in a head or in a body.

What is held of them is bounded, the connection is reset at the bound, and a
request that may be repeated is served by another upstream.
"""

import asyncio
import contextlib
import itertools
import tracemalloc
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_bench.ports import free_ports
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import ConnectionFailedError, InvalidResponseError
from tallyhall_edge.messages import ResponseHead
from tallyhall_standins.endless import ENDLESS_ANSWERS, EndlessEngine

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import (
    HOST,
    PLAIN,
    Deployment,
    deployment,
    patient,
)

_MB = 1_000_000
_PIECE = 65_536
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = (
    b'X-Tallyhall-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_OTHER = b'X-Tallyhall-Request-Id: other\r\nContent-Length: 9\r\n\r\nsome-body'
# Their bytes end a connection; another one is ended by its time.
_ENDLESS = [
    form for form, answer in ENDLESS_ANSWERS.items() if not answer.pause_s
]
# Its bytes are a body, which is received until the caller has an answer.
_ENDLESS.remove('error')
_FORMS = pytest.mark.parametrize('form', _ENDLESS)


class _Transport(asyncio.Transport):
    """Takes what is written, and knows whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def write(self, payload: bytes | bytearray | memoryview) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.aborted = True


class _Sink:
    """Keeps how a response arrives, without its body."""

    def __init__(self) -> None:
        self.heads: list[ResponseHead] = []
        self.size = 0
        self.ends: list[ConnectionFailedError | None] = []

    def on_head(self, head: ResponseHead) -> None:
        self.heads.append(head)

    def on_data(self, payload: bytes) -> None:
        self.size += len(payload)

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        self.ends.append(exc)


def _asked() -> tuple[ClientConnection, _Transport, _Sink]:
    """Return a connection that waits for the answer to a request."""
    conn = ClientConnection(b'x-tallyhall-request-id')
    transport = _Transport()
    conn.connection_made(transport)
    sink = _Sink()
    conn.send(b'GET / HTTP/1.1\r\n\r\n', sink, b'mine')
    return conn, transport, sink


@_FORMS
async def test_little_is_held_of_an_answer_without_end(form: str) -> None:
    answer = ENDLESS_ANSWERS[form]
    conn, transport, sink = _asked()
    count = 20 * _MB // len(answer.more)
    more = itertools.repeat(answer.more, count)
    tracemalloc.start()
    received = 0
    for piece in itertools.chain((answer.begin,), more):
        if transport.aborted:
            break
        conn.data_received(piece)
        received += len(piece)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert transport.aborted
    assert received < 3 * _MB
    assert peak < _MB
    assert len(sink.ends) == 1
    assert isinstance(sink.ends[0], InvalidResponseError)


_PIECES = st.lists(
    st.sampled_from(
        (
            _OK,
            _OTHER,
            _CHUNKED,
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'5\r\nhello\r\n',
            b'0\r\n\r\n',
            b'X: ',
            b'y' * 700,
            b'\r\n',
            b'Content-Length: 3\r\n\r\nabc',
            b'\0',
        )
    ),
    max_size=400,
)


@given(_PIECES, st.integers(1, 5000))
def test_a_mix_of_pieces_ends_an_answer_at_most_once(
    pieces: list[bytes], cut: int
) -> None:
    """However they are cut, it ends, or little is received without an end."""
    asyncio.run(_feed_mix(b''.join(pieces), cut))


async def _feed_mix(raw: bytes, cut: int) -> None:
    conn, transport, sink = _asked()
    for start in range(0, len(raw), cut):
        if transport.aborted:
            break
        conn.data_received(raw[start : start + cut])
        assert len(sink.ends) <= 1
        assert len(sink.heads) <= 1
        if not sink.ends:
            # Chunks of a few bytes have more bytes of framing than of body.
            beside = start + cut - 17 * sink.size
            assert beside <= 1_048_576 + _PIECE + cut


@contextlib.asynccontextmanager
async def _beside_sound(
    form: str,
) -> AsyncIterator[tuple[Deployment, EndlessEngine]]:
    """Start an instance with a sound upstream and a bad one."""
    wait_for(Outside.threads)
    async with deployment() as made:
        await made.change(patient(2))
        bad = EndlessEngine('bad')
        bad.endless = ENDLESS_ANSWERS[form]
        port = free_ports(1)[0]
        await bad.listen(HOST, port)
        made.register('bad', f'{HOST}:{port}', PLAIN)
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        await made.until_retries_are_earned()
        yield made, bad
        bad.close()


@pytest.mark.parametrize('form', ENDLESS_ANSWERS)
async def test_safe_requests_are_served_beside_endless_answers(
    form: str,
) -> None:
    async with _beside_sound(form) as (made, bad):
        answers = await asyncio.gather(
            *(made.caller().ask('/safe/x', f'r{number}') for number in range(8))
        )
        assert [answer.status for answer in answers] == [200] * 8
        assert bad.ran
        async with asyncio.timeout(1):
            while bad.running:
                await asyncio.sleep(0.01)


async def test_an_error_without_end_becomes_a_complete_answer() -> None:
    """It was passed on until the caller's time was over."""
    async with _beside_sound('error') as (made, bad):
        answers = await asyncio.gather(
            *(made.caller().ask('/once/x', f'r{number}') for number in range(8))
        )
        assert bad.ran
        assert {answer.status for answer in answers} == {200, 502}
        assert all(answer.whole for answer in answers)
