"""Reads the requests of one connection from its bytes.

Received bytes are parsed up to the end of one request; what follows is kept
until the connection accepts another one. Memory for a body is reserved before
the body is read. While a large body waits for its memory, the connection is not
read; after a while the request is refused, and its body received and dropped.
"""

from __future__ import annotations

import asyncio
import httptools

from .body_memory import SMALL_BODY_BYTES, BodyReservation
from .framing import MAX_HEADERS, FramingCounter
from .incoming import IncomingRequest, ReaderOwner, RequestListener
from .messages import Headers, RequestHead, find_header
from .read_ahead import MessagePosition, ReadAhead
from .request_body import RequestBody
from .request_memory import RequestReservation
from .server_limits import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    NO_MEMORY,
    TOO_LARGE,
    Rejection,
)

# Bytes of a header line beside its name and value.
_LINE_OVERHEAD = 4
# Maximum time in seconds for which a body waits for its memory. Callers take a
# request that is not read for a second for lost.
_MAX_WAIT_S = 0.5
# HTTP version without chunked encoding.
_OLD_VERSION = '1.0'


class RequestReader:
    """Parses requests and bounds what is held of each."""

    def __init__(self, listener: RequestListener, owner: ReaderOwner) -> None:
        """Report to the listener, under the limits of a server."""
        self.began_at: float = 0
        # Whether the request that is being read was answered; the rest of it
        # is dropped.
        self.is_answered = False
        self.is_waiting = False
        # Whether the caller waits for `100 Continue` before it sends the body.
        self.expects_continue = False
        self._listener = listener
        self._owner = owner
        self._bodies = owner.bodies
        self._loop = asyncio.get_running_loop()
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._framing = FramingCounter()
        self._position = MessagePosition()
        self._ahead = ReadAhead(owner.bodies.budget)
        self._messages = 0
        self._timer: asyncio.TimerHandle | None = None
        self._reservation: BodyReservation | None = None
        self._reserved = RequestReservation(owner.bodies.budget)
        self._head: RequestHead | None = None
        self._reset()

    @property
    def is_reading(self) -> bool:
        """Return whether a request was received in part."""
        return bool(self.began_at)

    @property
    def has_head(self) -> bool:
        """Return whether the head of the request was received."""
        return self._head is not None

    @property
    def is_ahead(self) -> bool:
        """Return whether received bytes wait to be parsed."""
        return bool(self._ahead)

    @property
    def read_bytes(self) -> int:
        """Return how many bytes to read at most."""
        return self._position.read_bytes

    def feed(self, payload: bytes | memoryview) -> None:
        """Parse received bytes, or keep them until a request is accepted."""
        if self._parser is None:
            return
        if self._ahead:
            self._ahead.keep(bytes(payload))
            return
        self._parse(bytes(payload))

    def resume(self) -> None:
        """Parse the bytes that were kept."""
        if self._ahead:
            self._parse(self._ahead.take())

    def reject(self, rejection: Rejection) -> None:
        """Answer the request that is being read; drop the rest of it."""
        if self.is_answered or self._parser is None:
            return
        self._answer()
        if rejection is not TOO_LARGE:
            # What follows is no request, or does not come.
            self.close()
        self._listener.on_rejected(rejection)

    def close(self) -> None:
        """Drop what was read; nothing is parsed any more."""
        self._drop_body()
        self._reserved.release()
        self._ahead.take()
        self._parser = None
        self.began_at = 0

    # -- parser

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._parser is None:
            return
        self._reset()
        self._messages += 1
        self.began_at = self._listener.on_request_begun(self._loop.time())

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may come in parts."""
        if self.is_answered:
            return
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and check the size of the head; drop trailers."""
        if self.is_answered or self._head is not None:
            return
        if len(self._headers) >= MAX_HEADERS:
            self.reject(HEAD_TOO_LARGE)
            return
        self._headers.append((name, value))
        self._add_head_bytes(len(name) + len(value) + _LINE_OVERHEAD)

    def on_headers_complete(self) -> None:
        """Reserve memory for the body."""
        parser = self._parser
        if self.is_answered or parser is None:
            return
        head = RequestHead(
            parser.get_method(), self._target, tuple(self._headers)
        )
        self._head = head
        length = _stated_length(head.headers)
        self._position.begin_body(length)
        if not self._reserve_head():
            return
        expectation = find_header(head.headers, b'expect')
        if expectation is not None and expectation.lower() == b'100-continue':
            self.expects_continue = True
        self._reserve(length)
        if not self.is_answered:
            self._listener.on_head_read()

    def on_body(self, piece: bytes) -> None:
        """Append to the body and check its size."""
        self._framing.add_body(len(piece))
        self._position.add_body(len(piece))
        if self.is_answered:
            return
        size = self._body.size + len(piece)
        if size > self._owner.limits.max_body_bytes:
            self.reject(TOO_LARGE)
            return
        if self._reserve_piece(size, len(piece)):
            self._body.add(piece)

    def on_message_complete(self) -> None:
        """Pass on a request that was read completely."""
        parser = self._parser
        head = self._head
        if self.is_answered or parser is None or head is None:
            self._reset()
            self._listener.on_dropped()
            return
        if self._reservation is not None:
            # The length may have been unknown before.
            self._reservation.shrink(self._body.size)
        self._end_wait()
        req = IncomingRequest(
            head,
            self._body,
            self._reserved,
            self.began_at,
            parser.should_keep_alive(),
            parser.get_http_version() != _OLD_VERSION,
        )
        self._hand_over()
        self._reset()
        self._listener.on_request_read(req)

    # -- pieces

    def _parse(self, received: bytes) -> None:
        """Parse request after request as long as the listener accepts one."""
        start = 0
        view = memoryview(received)
        while start < len(received) and self._parser is not None:
            if not self.began_at and not self._listener.accepts_request:
                self._ahead.keep(received[start:])
                return
            end = self._position.piece_end(received, start)
            self._parse_piece(self._parser, view[start:end])
            start = end

    def _parse_piece(
        self, parser: httptools.HttpRequestParser, piece: memoryview
    ) -> None:
        message = self._messages if self.began_at else 0
        try:
            parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(BAD_REQUEST)
            self.close()
            return
        if message == self._messages and self.began_at:
            self._count_framing(len(piece))
        if self.began_at and self._head is None:
            self._received += len(piece)
            self._reserve_head()

    # -- memory for the head

    def _reserve_head(self) -> bool:
        """Reserve memory for what was received; else reject the request."""
        if self.is_answered:
            return True
        received = max(self._head_bytes, self._received)
        if self._reserved.cover(received, len(self._headers)):
            return True
        self.reject(NO_MEMORY)
        return False

    def _hand_over(self) -> None:
        """Leave the memory of the head to whoever handles the request."""
        self._reserved = RequestReservation(self._bodies.budget)

    # -- memory for the body

    def _reserve(self, length: int | None) -> None:
        if length is None:
            self._reservation = BodyReservation(self._bodies)
            self._body = RequestBody(self._reservation)
            return
        if not length:
            return
        limit = self._owner.limits.max_body_bytes
        if length > limit or self._bodies.exceeds_budget(length):
            self.reject(TOO_LARGE)
            return
        self._reservation = BodyReservation(self._bodies)
        self._body = RequestBody(self._reservation)
        if length > SMALL_BODY_BYTES:
            self._reserve_large(self._reservation, length)
        elif not self._bodies.reserve_small(self._reservation, length):
            self._refuse()

    def _reserve_piece(self, size: int, piece: int) -> bool:
        """Return whether a piece may be kept of a body of now this size."""
        reservation = self._reservation
        if reservation is None or size <= reservation.held:
            return True
        if self._add_to_waiting(reservation, piece):
            return True
        if size <= SMALL_BODY_BYTES:
            if self._bodies.reserve_small(reservation, piece):
                return True
            self._refuse()
            return False
        if reservation.wanted:
            self.reject(TOO_LARGE)
            return False
        self._reserve_large(reservation, self._bodies.most(self._max_bytes))
        self._add_to_waiting(reservation, piece)
        return not self.is_answered

    def _add_to_waiting(self, reservation: BodyReservation, piece: int) -> bool:
        """Count what was received together with what made the body wait."""
        if self.is_waiting:
            reservation.add(piece)
        return self.is_waiting

    def _reserve_large(self, reservation: BodyReservation, size: int) -> None:
        head = self._head
        if head is not None:
            reservation.workspace = self._owner.workspace_of(head)
        self.is_waiting = True
        if not self._bodies.reserve_large(reservation, size, self._end_wait):
            self.is_waiting = False
            self._refuse()
            return
        if self.is_waiting:
            self._timer = self._loop.call_later(_MAX_WAIT_S, self._refuse)
            self._listener.on_wait_changed()

    def _end_wait(self) -> None:
        self.is_waiting = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._listener.on_wait_changed()

    def _refuse(self) -> None:
        """Pass on a request without its body, as there is no memory for it."""
        head = self._head
        if head is None or self.is_answered:
            return
        self._bodies.refused += 1
        req = IncomingRequest(
            head,
            RequestBody(),
            self._reserved,
            self.began_at,
            is_refused=True,
        )
        self._hand_over()
        self._answer()
        self._listener.on_request_read(req)

    def _answer(self) -> None:
        self.is_answered = True
        self._drop_body()

    def _drop_body(self) -> None:
        self._body.release()
        self._reservation = None
        self._end_wait()

    # -- internals

    @property
    def _max_bytes(self) -> int:
        return self._owner.limits.max_body_bytes

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        # Received bytes of a head that is not complete.
        self._received = 0
        self._head = None
        self._body = RequestBody()
        self._reservation = None
        self._reserved.release()
        self._framing.reset()
        self._position.begin_head()
        self.began_at = 0
        self.is_answered = False
        self.expects_continue = False

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._owner.limits.max_header_bytes:
            self.reject(HEAD_TOO_LARGE)

    def _count_framing(self, size: int) -> None:
        self._framing.add_received(size)
        if not self._framing.exceeds(self._owner.limits.max_header_bytes):
            return
        if self.is_answered:
            self.close()
            self._listener.on_dropped()
            return
        self.reject(HEAD_TOO_LARGE if self._head is None else BAD_REQUEST)


def _stated_length(headers: Headers) -> int | None:
    """Return the length of a body, None if it comes in chunks."""
    text = find_header(headers, b'content-length')
    if text is not None:
        return int(text)
    if find_header(headers, b'transfer-encoding') is not None:
        return None
    return 0
