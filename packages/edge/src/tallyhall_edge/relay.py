"""Relays one answer of an upstream to the caller.

Events of a stream are forwarded at once, complete and in order. Other answers
are buffered until they are complete, so that one that breaks off can be
retried; if they exceed the buffer, they are forwarded as they arrive. A 2xx
answer is valid only with the upstream's signature.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tallyhall_dispatch.jobs import INTERRUPTED, AttemptOutcome, RunReport

from .client import ClientConnection
from .dialect import HeaderCodec, ResponseInfo
from .errors import (
    ConnectionFailedError,
    ConnectionLostError,
    InvalidResponseError,
)
from .events import BadEventError, EventSplitter, StreamEvent
from .exchange import Exchange
from .memory_budget import Holder
from .messages import (
    Headers,
    ResponseHead,
    find_header,
    forwardable_headers,
    is_framed,
)

# Answers up to this size in bytes are buffered until they are complete.
_MAX_BUFFERED_BYTES = 65_536
# Maximum size in bytes of an answer that is no success.
_MAX_ERROR_BYTES = 1_048_576
_FIRST_SERVER_ERROR = 500
# A stream is established once so many events have come and so much time has
# passed since the first, in seconds.
_ESTABLISHED_EVENTS = 3
_ESTABLISHED_S = 0.5
# Statuses that state that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class Relay:
    """The relay of one answer; implements `ResponseSink`."""

    def __init__(
        self,
        exchange: Exchange,
        codec: HeaderCodec,
        last_event: int | None,
        *,
        streaming: bool,
    ) -> None:
        """Relay to this exchange the events after `last_event`, if known."""
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[AttemptOutcome] = loop.create_future()
        # How the answer ended. `done` does not always tell: cancelling a task
        # that awaits it cancels the future.
        self.ending: AttemptOutcome | None = None
        # Why the connection did not deliver a complete answer, else None.
        self.error: ConnectionFailedError | None = None
        self.last_event = last_event
        # Set once an answer has begun: at its first event, at the head of an
        # answer that is not a stream, or when it ends.
        self.begun = asyncio.Event()
        self.on_first_event: Callable[[], None] | None = None
        # Called once the stream is established.
        self.on_established: Callable[[], None] | None = None
        self.is_established = False
        # Called with the parsed head before the answer is forwarded.
        self.on_answer_info: Callable[[ResponseInfo], None] | None = None
        self.head: ResponseHead | None = None
        self._loop = loop
        self._exchange = exchange
        self._codec = codec
        self._streaming = streaming
        self.info: ResponseInfo | None = None
        self._splitter: EventSplitter | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._passthrough = False
        self._started_at = loop.time()
        self._first_at: float | None = None
        # Arrival time of the newest event, 0 before the first.
        self.last_event_at: float = 0
        self._events = 0
        # Longest pause between two events, and the number of events before it.
        self._pause_s: float = 0
        self._pause_after = 0
        self._conn: ClientConnection | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether a complete answer with a 2xx status arrived."""
        head = self.head
        if head is None or self.ending is not AttemptOutcome.answered:
            return False
        return head.is_success

    @property
    def lost_connection(self) -> bool:
        """Return whether the answer is incomplete as its connection ended.

        The end of the connection of an answer without a stated length is no
        error of the connection.
        """
        if isinstance(self.error, ConnectionLostError):
            return True
        head = self.head
        if self.ending not in INTERRUPTED or self.error is not None:
            return False
        return head is not None and not is_framed(head)

    def bind(self, conn: ClientConnection) -> None:
        """Pause this connection while the caller does not read."""
        self._conn = conn
        self._exchange.on_writable = self._on_writable

    def report(self, ending: AttemptOutcome) -> RunReport:
        """Return the measurements of this send."""
        now = self._loop.time()
        first_s = None
        stream_s: float = 0
        if self._first_at is not None:
            first_s = self._first_at - self._started_at
            stream_s = self.last_event_at - self._first_at
        return RunReport(
            ending,
            now - self._started_at,
            first_s,
            self._events,
            stream_s,
            self._pause_s,
            self._pause_after,
        )

    def deliver(self) -> None:
        """Send the buffered answer to the caller."""
        head = self.head
        if head is None:
            raise ConnectionFailedError('no buffered answer to deliver')
        self._exchange.answer(
            head.status,
            head.reason,
            forwardable_headers(head.headers),
            b''.join(self._buffered),
        )

    def detach(self) -> None:
        """Drop the callbacks and the connection, as the send has ended.

        The callbacks refer to the request, which refers to this relay.
        """
        self.on_answer_info = None
        self.on_first_event = None
        self.on_established = None
        self._conn = None

    def discard(self) -> None:
        """Free the buffered answer; it is not delivered any more."""
        self._buffered.clear()
        self._hold(-self._buffered_bytes)

    # -- called by the connection

    def on_head(self, head: ResponseHead) -> None:
        """Handle the head."""
        self.head = head
        info = self._codec.parse_response(head)
        self.info = info
        if self.on_answer_info is not None:
            self.on_answer_info(info)
        if head.is_success and not info.is_signed:
            self._finish(AttemptOutcome.unknown)
            return
        if head.is_success and self._streaming:
            self._splitter = EventSplitter()
            return
        self.begun.set()

    def on_data(self, payload: bytes) -> None:
        """Forward or buffer a part of the body."""
        if self.done.done():
            return
        if self._splitter is not None:
            self._forward_events(self._splitter, payload)
            self._hold(len(self._splitter.incomplete) - self._buffered_bytes)
            return
        if self._passthrough:
            self._exchange.write(payload)
            return
        self._buffered.append(payload)
        self._hold(len(payload))
        if self._buffered_bytes <= self._buffer_limit():
            return
        if self._is_endless_error():
            self.on_end(InvalidResponseError('an error without end'))
            return
        self._start_passthrough()

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        """Determine how the answer ended; `exc` is None if it is complete."""
        if self.done.done():
            return
        self.error = exc
        truncated = self._splitter is not None and self._splitter.incomplete
        if exc is not None or truncated:
            self._end_incomplete()
            return
        self._finish(self._classify())

    # -- internals

    def _classify(self) -> AttemptOutcome:
        head = self.head
        info = self.info
        if head is None or info is None:
            return AttemptOutcome.unknown
        if info.is_misdirected:
            return AttemptOutcome.misplaced
        if info.not_executed:
            return AttemptOutcome.rejected
        if self._splitter is not None or self._passthrough:
            if not self._exchange.started and self.last_event is not None:
                # The caller had all events of the stream and lacked its end.
                self._start_stream()
            if not self._exchange.started:
                return AttemptOutcome.unknown
            self._exchange.finish()
            return AttemptOutcome.answered
        if head.status in _NOT_EXECUTED_STATUSES and not info.is_signed:
            return AttemptOutcome.unknown
        if head.status >= _FIRST_SERVER_ERROR:
            return AttemptOutcome.failed
        return AttemptOutcome.answered

    def _forward_events(self, splitter: EventSplitter, payload: bytes) -> None:
        try:
            events = splitter.feed(payload)
        except BadEventError:
            self._end_incomplete()
            return
        now = self._loop.time()
        for event in events:
            if not self._is_next(event):
                self._end_incomplete()
                return
            self._forward_event(event, now)

    def _is_next(self, event: StreamEvent) -> bool:
        if event.number is None:
            return True
        if self.last_event is None:
            return True
        return event.number == self.last_event + 1

    def _forward_event(self, event: StreamEvent, now: float) -> None:
        if not self._exchange.started:
            self._start_stream()
        if self._first_at is None:
            self._first_at = now
            self.begun.set()
            if self.on_first_event is not None:
                self.on_first_event()
        elif now - self.last_event_at > self._pause_s:
            self._pause_s = now - self.last_event_at
            self._pause_after = self._events
        self.last_event_at = now
        self._events += 1
        self._check_established(now)
        if event.number is not None:
            self.last_event = event.number
        self._exchange.write(event.raw)

    def _check_established(self, now: float) -> None:
        if self.is_established or self._events < _ESTABLISHED_EVENTS:
            return
        if self._first_at is None or now - self._first_at < _ESTABLISHED_S:
            return
        self.is_established = True
        if self.on_established is not None:
            self.on_established()

    def _end_incomplete(self) -> None:
        begun = self._exchange.started
        self._finish(AttemptOutcome.broken if begun else AttemptOutcome.unknown)

    def _start_stream(self) -> None:
        head = self.head
        if head is not None:
            self._exchange.start(
                head.status,
                head.reason,
                forwardable_headers(head.headers),
                None,
            )

    def _start_passthrough(self) -> None:
        head = self.head
        if head is None:
            return
        self._passthrough = True
        self._exchange.start(
            head.status,
            head.reason,
            forwardable_headers(head.headers),
            _stated_length(head.headers),
        )
        self._exchange.write(b''.join(self._buffered))
        self.discard()

    def _hold(self, size: int) -> None:
        """Count bytes of the answer that are held here."""
        if not size:
            return
        self._buffered_bytes += size
        memory = self._exchange.memory
        if memory is not None:
            memory.budget.add(Holder.responses, size)

    def _buffer_limit(self) -> int:
        memory = self._exchange.memory
        if memory is None or memory.budget.may_buffer_responses:
            return _MAX_BUFFERED_BYTES
        # An answer that is no success may be a rejection, after which the
        # request is sent to another upstream. It is small.
        is_success = self.head is not None and self.head.is_success
        return 0 if is_success else _MAX_BUFFERED_BYTES

    def _is_endless_error(self) -> bool:
        """Return whether an error has no stated length, or a huge one."""
        head = self.head
        if head is None or head.is_success:
            return False
        length = _stated_length(head.headers)
        return length is None or length > _MAX_ERROR_BYTES

    def _finish(self, ending: AttemptOutcome) -> None:
        self.begun.set()
        if not self.done.done():
            self.ending = ending
            self.done.set_result(ending)

    def _on_writable(self, writable: bool) -> None:  # noqa: FBT001
        if self._conn is None:
            return
        if writable:
            self._conn.resume()
        else:
            memory = self._exchange.memory
            self._conn.pause(None if memory is None else memory.workspace)


def _stated_length(headers: Headers) -> int | None:
    text = find_header(headers, b'content-length')
    return int(text) if text is not None and text.isdigit() else None
