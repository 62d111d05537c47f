"""HTTP/1.1 client for upstreams and the store: one request at a time.

A connection is reused only if the whole request was written and the response
was complete, with no bytes after it. An upstream may send a second response
late, when the next one is expected; the echoed request id reveals this, and
responses to other requests are skipped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import httptools

from .connection_memory import ConnectionMemory, MemoryMonitor
from .errors import (
    ConnectionFailedError,
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    UpstreamStalledError,
)
from .framing import MAX_HEADERS, FramingCounter
from .messages import Headers, ResponseHead, find_header, is_framed
from .request_writer import RequestWriter
from .response_sink import ResponseSink
from .sockets import (
    discard_on_close,
    pending_error,
    reset_delay_s,
    set_keepalive,
)

_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
# Maximum bytes of a response beside its body, with interim responses and
# trailers.
_MAX_FRAMING_BYTES = 65_536
# Maximum bytes of the bodies of responses to other requests.
_MAX_SKIPPED_BYTES = 1_048_576


class ClientConnection(asyncio.Protocol):
    """One connection to an upstream."""

    def __init__(
        self, id_header: bytes = b'', monitor: MemoryMonitor | None = None
    ) -> None:
        """Expect echoed request ids in this lower-case header.

        monitor: counts what the connection holds; None for no limit.
        """
        # The instance through which the connection leads, empty if it is
        # direct, and the id of the tunnel.
        self.via = ''
        self.tunnel = ''
        # Called whenever something was received.
        self.on_received: Callable[[ClientConnection], None] | None = None
        # The same, for what counts the sends that are not read.
        self.on_heard: Callable[[], None] | None = None
        # Whether anything was ever received on it.
        self.is_proven = False
        # Whether the other side ended it.
        self.was_lost = False
        self._monitor = monitor
        self._memory: ConnectionMemory | None = None
        self.reusable = False
        self.idle_since: float = 0
        self.keep_alive_s: float | None = None
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._writer = RequestWriter()
        # Whether the upstream ended its side with the whole request received.
        self._is_read = False
        self._sink: ResponseSink | None = None
        self._expected_id = b''
        self._tainted = False
        self._framing = FramingCounter()
        self._skipping = False
        self._skipped_bytes = 0
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
        monitor: MemoryMonitor | None = None,
    ) -> ClientConnection:
        """Connect within the timeout; raise NotSentError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: cls(id_header, monitor),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as exc:
            raise NotSentError(f'connect {host}:{port}: {exc!r}') from exc
        return conn

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open and in a known state."""
        return self._transport is not None and not self._tainted

    @property
    def is_acknowledged(self) -> bool:
        """Return whether the peer's machine has received all that was sent.

        True if this is not known.
        """
        return self._writer.is_acknowledged

    def send(
        self,
        raw: bytes,
        sink: ResponseSink,
        expected_id: bytes,
        body: Sequence[bytes | bytearray] = (),
    ) -> None:
        """Write a request; raise NotSentError on a closed connection.

        body: blocks that follow `raw`. They are not changed and are dropped
        once they are written, or the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSentError('the connection is closed')
        self.reusable = False
        self._sink = sink
        self._expected_id = expected_id
        self._framing.reset()
        self._skipped_bytes = 0
        self._writer.write(raw, body)

    def pause(self, workspace: str | None = None) -> None:
        """Pause reading until `resume` is called.

        workspace: that of a caller who does not read, if this is the reason.
        """
        if self._transport is not None:
            self._transport.pause_reading()
            if self._memory is not None:
                self._memory.reading_paused(workspace)

    def resume(self) -> None:
        """Resume reading."""
        if self._transport is not None:
            self._transport.resume_reading()
            if self._memory is not None:
                self._memory.reading_resumed()

    def close(self) -> None:
        """Abort the connection and abandon the current response."""
        self._sink = None
        self.reusable = False
        self._tainted = True
        if self._transport is not None and not self.is_acknowledged:
            discard_on_close(self._transport)
        self._writer.discard()
        if self._transport is not None:
            # A reset tells the upstream at once that nobody reads its response.
            self._transport.abort()

    def fail(self, exc: ConnectionFailedError) -> None:
        """Abort the connection; the current response ends with this error."""
        self._tainted = True
        self._end(exc)
        self.close()

    def end_through_peer(self, received: int) -> None:
        """End a response as the peer in between tells of the upstream.

        received: the bytes that the upstream's machine had received when it
        ended its side in order. A response without a stated length is complete
        if these were all.
        """
        is_whole = received == self._writer.total_bytes
        if is_whole and self._is_unframed_body:
            self._end(None)

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable the detection of dead peers."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._writer.transport = transport
        if self._monitor is not None:
            self._memory = ConnectionMemory(
                self._monitor, transport, self._fail_stalled
            )
        set_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current response.

        A response without a stated length is complete when the peer closes
        the connection after it has received the whole request; any other one is
        lost. Through another instance, whose own end closes the connection,
        too, it was complete before (`end_through_peer`).
        """
        if self._memory is not None:
            self._memory.release()
            self._memory = None
        self._transport = None
        self._writer.transport = None
        # It refers to this object.
        self._parser = None
        self._writer.discard()
        self.reusable = False
        self.was_lost = not self._tainted
        if self._is_read and exc is None and self._ends_with_connection:
            self._end(None)
            return
        self._end(ConnectionLostError(f'closed by the peer: {exc!r}'))

    def pause_writing(self) -> None:
        """Stop writing; count the bytes that the upstream has not read."""
        self._writer.pause()
        if self._memory is not None:
            unwritten = self._writer.unwritten_bytes
            self._memory.begin_unread(self._loop.time(), unwritten)

    def resume_writing(self) -> None:
        """Go on writing, as the upstream has read what was written."""
        if self._memory is not None:
            self._memory.end_unread()
        self._writer.resume()

    def eof_received(self) -> bool:
        """Close this side too, if need be after a reset would have come."""
        transport = self._transport
        if transport is None or not self._ends_with_connection:
            return False
        # A reset that came with the end discards what was not acknowledged.
        is_reset = bool(pending_error(transport))
        self._is_read = self.is_acknowledged and not is_reset
        delay_s = reset_delay_s(self._writer.request_bytes)
        if not self._is_read or not delay_s:
            return False
        self._loop.call_later(delay_s, self._close_unless_reset)
        return True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close if no response is expected."""
        if self.on_received is not None:
            self.on_received(self)
        if self.on_heard is not None:
            self.on_heard()
        self.is_proven = True
        parser = self._parser
        if self._sink is None or parser is None:
            self.close()
            return
        self._framing.add_received(len(data))
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.fail(InvalidResponseError(f'malformed response: {exc!r}'))
            return
        if self._sink is not None:
            self._check_size()

    # -- parser

    def on_message_begin(self) -> None:
        """Start a response, or detect bytes after the last one."""
        self._headers = []
        self._reason = b''
        if self._sink is None:
            self._tainted = True

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase, which may come in parts."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop trailers, and more headers than allowed."""
        if self._in_body or len(self._headers) > MAX_HEADERS:
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink if it answers the current request."""
        parser = self._parser
        if self._sink is None or parser is None:
            return
        if len(self._headers) > MAX_HEADERS:
            self.fail(InvalidResponseError(f'over {MAX_HEADERS} headers'))
            return
        status = parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            self.fail(InvalidResponseError(f'status {status}'))
            return
        self._interim = status < _MIN_FINAL_STATUS
        if self._interim:
            return
        head = ResponseHead(status, self._reason, tuple(self._headers))
        self._in_body = True
        self._framed = is_framed(head)
        self._read_keep_alive(head.headers)
        self._skipping = self._answers_other_request(head.headers)
        if self._skipping:
            self._tainted = True
            return
        self._sink.on_head(head)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the sink."""
        if self._skipping:
            self._skipped_bytes += len(body)
            self._framing.add_received(-len(body))
            return
        self._framing.add_body(len(body))
        if self._sink is not None:
            self._sink.on_data(body)

    def on_message_complete(self) -> None:
        """End the response and decide whether the connection is reusable."""
        if self._interim:
            self._interim = False
            return
        self._in_body = False
        if self._skipping:
            self._skipping = False
            return
        parser = self._parser
        self.reusable = (
            parser is not None
            and parser.should_keep_alive()
            and not self._tainted
            # An upstream may answer before it has read the whole request; no
            # other one may be written behind the unsent rest.
            and self._writer.has_sent_all
        )
        self._end(None)

    # -- internals

    @property
    def _is_unframed_body(self) -> bool:
        """Return whether the body of a response states no length."""
        return self._in_body and not self._skipping and not self._framed

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether the end of the connection ends the response."""
        return self._is_unframed_body and not self.via

    def _close_unless_reset(self) -> None:
        """End a response; it is lost if the connection was reset after it."""
        transport = self._transport
        if transport is None:
            return
        if pending_error(transport):
            self.fail(ConnectionLostError('reset after the end of the stream'))
            return
        transport.close()

    def _fail_stalled(self) -> None:
        self.fail(
            UpstreamStalledError('the upstream does not read the request')
        )

    def _check_size(self) -> None:
        """Fail a response with more bytes beside its body than allowed."""
        exceeds = self._framing.exceeds(_MAX_FRAMING_BYTES)
        if exceeds or self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self.fail(InvalidResponseError('too long beside its body'))

    def _end(self, exc: ConnectionFailedError | None) -> None:
        sink = self._sink
        self._sink = None
        self._in_body = False
        if sink is not None:
            sink.on_end(exc)

    def _answers_other_request(self, headers: Headers) -> bool:
        echoed = find_header(headers, self._id_header)
        if not self._expected_id or echoed is None:
            return False
        return echoed != self._expected_id

    def _read_keep_alive(self, headers: Headers) -> None:
        self.keep_alive_s = None
        keep_alive = find_header(headers, b'keep-alive')
        if keep_alive is None:
            return
        for part in keep_alive.split(b','):
            name, _, text = part.strip().partition(b'=')
            if name.lower() == b'timeout' and text.isdigit():
                self.keep_alive_s = int(text)
