"""HTTP/1.1 towards upstreams and the store: one request at a time.

A connection is kept only after an answer that was complete to the byte,
with nothing behind it and with the whole request written. An upstream may
send a second answer late, where the next one is expected; its echoed
request id tells, so answers to other requests are skipped.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol

import httptools

from .errors import BadMessageError, BrokenError, LostError, NotSentError
from .messages import Headers, ResponseHead, find

# A peer that acknowledges nothing for this long is gone, in milliseconds.
_USER_TIMEOUT_MS = 3000
# Silent connections are probed after a second, and given up after three.
_PROBE_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)
_FIRST_FINAL = 200


class AnswerSink(Protocol):
    """Takes one answer as it comes."""

    def on_head(self, head: ResponseHead) -> None:
        """Take the head."""

    def on_data(self, payload: bytes) -> None:
        """Take a part of the body."""

    def on_end(self, exc: BrokenError | None) -> None:
        """Take that the answer is complete, or why it is not."""


class ClientConnection(asyncio.Protocol):
    """One connection to an upstream."""

    def __init__(self, id_header: bytes = b'') -> None:
        """Echoed request ids stand in this lower-case header."""
        self.reusable = False
        self.idle_since: float = 0
        self.keep_s: float | None = None
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: AnswerSink | None = None
        self._expected_id = b''
        self._tainted = False
        self._skipping = False
        self._framed = True
        self._interim = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b''
        self._in_body = False

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        timeout_s: float,
        id_header: bytes = b'',
    ) -> ClientConnection:
        """Connect; raise NotSentError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: cls(id_header),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as exc:
            raise NotSentError(f'connect {host}:{port}: {exc!r}') from exc
        return conn

    @property
    def is_open(self) -> bool:
        """Return whether the connection still stands."""
        return self._transport is not None and not self._tainted

    def send(self, raw: bytes, sink: AnswerSink, expected_id: bytes) -> None:
        """Write a request; raise NotSentError on a closed connection."""
        if self._transport is None or self._transport.is_closing():
            raise NotSentError('the connection is closed')
        self.reusable = False
        self._sink = sink
        self._expected_id = expected_id
        self._transport.write(raw)

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """End the connection now; an answer under way is given up."""
        self._sink = None
        self.reusable = False
        self._tainted = True
        if self._transport is not None:
            # A reset tells the upstream at once that nobody reads on.
            self._transport.abort()

    def fail(self, exc: BrokenError) -> None:
        """End the connection now; an answer under way ends as broken."""
        self._tainted = True
        self._end(exc)
        self.close()

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and bound the silence of its peer."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, limit in _PROBE_OPTIONS:
                sock.setsockopt(socket.IPPROTO_TCP, option, limit)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer under way."""
        self._transport = None
        self.reusable = False
        ends_here = self._in_body and not self._framed and exc is None
        if ends_here and not self._skipping:
            self._end(None)
            return
        self._end(LostError(f'closed by the peer: {exc!r}'))

    def eof_received(self) -> bool:
        """Close our side too."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody asked for spoil it."""
        if self._sink is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._tainted = True
            self._end(BadMessageError(f'no answer in the protocol: {exc!r}'))
            self.close()

    # -- parser

    def on_message_begin(self) -> None:
        """Start an answer, or see bytes behind the last one."""
        self._headers = []
        self._reason = b''
        if self._sink is None:
            self._tainted = True

    def on_status(self, status: bytes) -> None:
        """Add to the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on if it answers our request."""
        if self._sink is None:
            return
        status = self._parser.get_status_code()
        self._interim = status < _FIRST_FINAL
        if self._interim:
            return
        head = ResponseHead(status, self._reason, tuple(self._headers))
        self._in_body = True
        self._framed = _is_framed(head)
        self._note_keeping(head.headers)
        self._skipping = self._is_for_other(head.headers)
        if self._skipping:
            self._tainted = True
            return
        self._sink.on_head(head)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if self._sink is not None and not self._skipping:
            self._sink.on_data(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._interim:
            self._interim = False
            return
        self._in_body = False
        if self._skipping:
            self._skipping = False
            return
        self.reusable = (
            self._parser.should_keep_alive()
            and not self._tainted
            and self._has_written_all()
        )
        self._end(None)

    # -- inner steps

    def _has_written_all(self) -> bool:
        # An upstream may answer before it has read the whole request; the
        # rest of the request must not be followed by another one.
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return not transport.get_write_buffer_size()

    def _end(self, exc: BrokenError | None) -> None:
        sink = self._sink
        self._sink = None
        self._in_body = False
        if sink is not None:
            sink.on_end(exc)

    def _is_for_other(self, headers: Headers) -> bool:
        echoed = find(headers, self._id_header)
        if not self._expected_id or echoed is None:
            return False
        return echoed != self._expected_id

    def _note_keeping(self, headers: Headers) -> None:
        self.keep_s = None
        stated = find(headers, b'keep-alive')
        if stated is None:
            return
        for part in stated.split(b','):
            name, _, text = part.strip().partition(b'=')
            if name.lower() == b'timeout' and text.isdigit():
                self.keep_s = int(text)


def _is_framed(head: ResponseHead) -> bool:
    if find(head.headers, b'content-length') is not None:
        return True
    coding = find(head.headers, b'transfer-encoding')
    return coding is not None and b'chunked' in coding.lower()
