"""Callers of the users' platform, and what they saw.

Each request is tried once, on an open connection where there is one: what a
caller must never see is decided from single tries. `Resume` is for callers that
take a stream up with another try.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from tallyhall_dispatch.options import Listening
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import ConnectionFailedError, EdgeError
from tallyhall_edge.messages import (
    Headers,
    ResponseHead,
    encode_head,
    find_header,
)

KEY = 'key-1'
SITE = 'shop.example'
# What each request states as its deadline.
DEADLINE_S = 8
_CONNECT_S = 1.0
_MILLI = 1000
_WAIT_S = 20
_TOKENS = ((b'X-Tallyhall-Token-Counts', b'400,30'),)


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """One try of a caller; status 0 where no head of an answer came."""

    request_id: str
    route: str
    instance: str
    status: int
    body: bytes
    signed: bool
    whole: bool
    total_s: float
    # The stated Retry-After, None without one.
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """The stream that a try takes up.

    first_id: the request id of the try that brought its first event.
    """

    first_id: str
    last_event: int

    @property
    def headers(self) -> Headers:
        """Return the headers that tell an instance of it."""
        return (
            (b'Resumes', self.first_id.encode()),
            (b'Last-Event-Id', b'%d' % self.last_event),
        )


class _Sink:
    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[ConnectionFailedError | None] = (
            loop.create_future()
        )
        self.head: ResponseHead | None = None
        self.parts: list[bytes] = []

    def on_head(self, head: ResponseHead) -> None:
        self.head = head

    def on_data(self, payload: bytes) -> None:
        self.parts.append(payload)

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        if not self.done.done():
            self.done.set_result(exc)


class Caller:
    """A caller that keeps one connection to each instance."""

    def __init__(
        self,
        rng: random.Random,
        wait_s: float = _WAIT_S,
        deadline_s: float = DEADLINE_S,
    ) -> None:
        """Draw from this generator; leave an answer after this long.

        deadline_s: what each request states as its deadline.
        """
        self._deadline_s = deadline_s
        self._rng = rng
        self._wait_s = wait_s
        self._conns: dict[Listening, ClientConnection] = {}

    async def ask(
        self,
        instance: str,
        place: Listening,
        route: str,
        request_id: str,
        *,
        streams: bool,
        key: str = KEY,
        body: bytes = b'hello',
        headers: Headers = (),
    ) -> Tried:
        """Send one request and return what came."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        sink = _Sink()
        error: EdgeError | None = None
        try:
            async with asyncio.timeout(self._wait_s):
                conn = await self._connected(place)
                more = (*headers, *(_TOKENS if streams else ()))
                asked = request_head(
                    route, request_id, key, len(body), self._deadline_s, more
                )
                conn.send(b''.join((asked, body)), sink, b'')
                error = await sink.done
        except EdgeError as exc:
            error = exc
        except TimeoutError:
            error = ConnectionFailedError('no end of the answer')
            self._close(place)
        kept = self._conns.pop(place, None)
        if kept is not None and kept.reusable:
            self._conns[place] = kept
        head = sink.head or ResponseHead(0, b'', ())
        signature = find_header(head.headers, b'x-tallyhall-response-signature')
        return Tried(
            request_id,
            route,
            instance,
            head.status,
            b''.join(sink.parts),
            signature is not None,
            error is None,
            loop.time() - began_at,
            _retry_after_s(head),
        )

    def _close(self, place: Listening) -> None:
        conn = self._conns.get(place)
        if conn is not None:
            conn.close()

    async def _connected(self, place: Listening) -> ClientConnection:
        conn = self._conns.get(place)
        if conn is None or not conn.is_open:
            conn = await ClientConnection.open(
                place.host,
                place.port,
                _CONNECT_S,
            )
            self._conns[place] = conn
        return conn


@contextlib.asynccontextmanager
async def under_load(
    call: Callable[[], Coroutine[Any, Any, None]],
    rng: random.Random,
    per_s: float,
) -> AsyncIterator[None]:
    """Begin calls at this rate; those under way at the end are cancelled.

    Raise what a call raised, as there was no load after it.
    """
    load = asyncio.create_task(keep_calling(call, rng, per_s))
    try:
        yield
    finally:
        await end_tasks(load)


async def end_tasks(*tasks: asyncio.Task[None]) -> None:
    """Cancel tasks and wait for their ends; raise what had ended one before."""
    for running in tasks:
        running.cancel()
    await asyncio.wait(tasks)
    for ended in tasks:
        if not ended.cancelled():
            ended.result()


async def keep_calling(
    call: Callable[[], Coroutine[Any, Any, None]],
    rng: random.Random,
    per_s: float,
) -> None:
    """Begin calls at this rate until cancelled, whatever becomes of them."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(call())
            await asyncio.sleep(rng.expovariate(per_s))


def request_head(
    route: str,
    request_id: str,
    key: str,
    body_bytes: int,
    deadline_s: float,
    more: Headers = (),
) -> bytes:
    """Return the head of a request with a body of this size."""
    headers = (
        (b'Host', SITE.encode()),
        (b'X-Tallyhall-Request-Id', request_id.encode()),
        (b'X-Tallyhall-Deadline-Ms', b'%d' % round(deadline_s * _MILLI)),
        (b'Authorization', f'Bearer {key}'.encode()),
        (b'Content-Length', b'%d' % body_bytes),
        *more,
    )
    return encode_head(f'POST /{route}/x HTTP/1.1'.encode(), headers)


def _retry_after_s(head: ResponseHead) -> float | None:
    text = find_header(head.headers, b'retry-after')
    return None if text is None else float(text)
