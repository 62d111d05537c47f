"""Reads small responses into memory, for calls that are not relayed."""

from __future__ import annotations

import asyncio

import msgspec

from .client import ClientConnection
from .errors import ConnectionFailedError, InvalidResponseError
from .messages import ResponseHead

# Maximum size of a buffered response, in bytes: one page of the store.
MAX_RESPONSE_BYTES = 8_000_000


class BufferedResponse(msgspec.Struct, frozen=True):
    """A response with its complete body."""

    status: int
    body: bytes


class _BufferingSink:
    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[BufferedResponse] = loop.create_future()
        self._status = 0
        self._parts: list[bytes] = []
        self._size = 0

    def on_head(self, head: ResponseHead) -> None:
        self._status = head.status

    def on_data(self, payload: bytes) -> None:
        self._size += len(payload)
        if self._size > MAX_RESPONSE_BYTES:
            self.on_end(
                InvalidResponseError(
                    f'response exceeds {MAX_RESPONSE_BYTES} bytes'
                ),
            )
            return
        self._parts.append(payload)

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        if self.done.done():
            return
        if exc is not None:
            self.done.set_exception(exc)
            return
        self.done.set_result(
            BufferedResponse(self._status, b''.join(self._parts))
        )


async def read_response(conn: ClientConnection, raw: bytes) -> BufferedResponse:
    """Send a request and return its response; raise an EdgeError."""
    sink = _BufferingSink()
    conn.send(raw, sink, b'')
    return await sink.done
