"""Passes one answer of an upstream on to its caller.

Events are passed on whole, in order and at once. Other answers are held
until they are complete, if they are small, so that one that breaks off can
be asked for again; a larger one is passed on as it comes. An answer counts
as a success only with the upstream's signature.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tallyhall_dispatch.jobs import Ending, RunReport

from .client import ClientConnection
from .dialect import AnswerInfo, Dialect
from .errors import BrokenError
from .events import BadEventError, EventSplitter, StreamEvent
from .exchange import Exchange
from .messages import Headers, ResponseHead, find, forwarded

# Answers up to this size are held until they are complete, in bytes.
_HELD_BYTES = 65_536
_FIRST_SERVER_ERROR = 500
# Statuses that promise that a request did not run.
_PROMISES = frozenset((408, 421, 429, 503))


class Relay:
    """One answer under way; an `AnswerSink`."""

    def __init__(
        self,
        exchange: Exchange,
        dialect: Dialect,
        last_event: int | None,
        *,
        streaming: bool,
    ) -> None:
        """Pass on to this caller, after `last_event` where one is known."""
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[Ending] = loop.create_future()
        # How the answer ended; who waits for `done` and is cancelled cancels
        # that future, so it does not tell.
        self.ending: Ending | None = None
        # Why its connection carried no whole answer, None where it did.
        self.broken: BrokenError | None = None
        self.last_event = last_event
        # Set with the first byte of an answer that is passed on or held.
        self.begun = asyncio.Event()
        self.on_first: Callable[[], None] | None = None
        # Takes what the upstream says of itself, before its answer is passed
        # on.
        self.on_said: Callable[[AnswerInfo], None] | None = None
        self.head: ResponseHead | None = None
        self._loop = loop
        self._exchange = exchange
        self._dialect = dialect
        self._streaming = streaming
        self.info: AnswerInfo | None = None
        self._splitter: EventSplitter | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._passing = False
        self._started_at = loop.time()
        self._first_at: float | None = None
        # When the newest event came, 0 before the first.
        self.last_at: float = 0
        self._events = 0
        # The longest pause between two events, and how many came before it.
        self._pause_s: float = 0
        self._pause_after = 0
        self._conn: ClientConnection | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether a whole answer with success has come."""
        head = self.head
        if head is None or self.ending is not Ending.answered:
            return False
        return head.is_success

    def bind(self, conn: ClientConnection) -> None:
        """Hold this connection back while the caller does not read."""
        self._conn = conn
        self._exchange.on_writable = self._on_writable

    def report(self, ending: Ending) -> RunReport:
        """Return what this send showed."""
        now = self._loop.time()
        first_s = None
        stream_s: float = 0
        if self._first_at is not None:
            first_s = self._first_at - self._started_at
            stream_s = self.last_at - self._first_at
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
        """Answer the caller with the answer that was held."""
        head = self.head
        if head is None:
            raise BrokenError('no answer to deliver')
        self._exchange.answer(
            head.status,
            head.reason,
            forwarded(head.headers),
            b''.join(self._held),
        )

    # -- from the connection

    def on_head(self, head: ResponseHead) -> None:
        """Take the head."""
        self.head = head
        info = self._dialect.answer(head)
        self.info = info
        if self.on_said is not None:
            self.on_said(info)
        if head.is_success and not info.proven:
            self._finish(Ending.unknown)
            return
        if head.is_success and self._streaming:
            self._splitter = EventSplitter()
            return
        self.begun.set()

    def on_data(self, payload: bytes) -> None:
        """Take a part of the body."""
        if self.done.done():
            return
        if self._splitter is not None:
            self._take_events(self._splitter, payload)
            return
        if self._passing:
            self._exchange.write(payload)
            return
        self._held.append(payload)
        self._held_bytes += len(payload)
        if self._held_bytes > _HELD_BYTES:
            self._pass_on()

    def on_end(self, exc: BrokenError | None) -> None:
        """Take that the answer is complete, or why it is not."""
        if self.done.done():
            return
        self.broken = exc
        cut = self._splitter is not None and self._splitter.held
        if exc is not None or cut:
            self._break_off()
            return
        self._finish(self._judge())

    # -- inner steps

    def _judge(self) -> Ending:
        head = self.head
        info = self.info
        if head is None or info is None:
            return Ending.unknown
        if info.misplaced:
            return Ending.misplaced
        if info.not_executed:
            return Ending.rejected
        if self._splitter is not None or self._passing:
            if not self._exchange.started:
                return Ending.unknown
            self._exchange.finish()
            return Ending.answered
        if head.status in _PROMISES and not info.proven:
            return Ending.unknown
        if head.status >= _FIRST_SERVER_ERROR:
            return Ending.failed
        return Ending.answered

    def _take_events(self, splitter: EventSplitter, payload: bytes) -> None:
        try:
            events = splitter.feed(payload)
        except BadEventError:
            self._break_off()
            return
        now = self._loop.time()
        for event in events:
            if not self._is_next(event):
                self._break_off()
                return
            self._pass_event(event, now)

    def _is_next(self, event: StreamEvent) -> bool:
        if event.number is None:
            return True
        if self.last_event is None:
            return True
        return event.number == self.last_event + 1

    def _pass_event(self, event: StreamEvent, now: float) -> None:
        if not self._exchange.started:
            self._start_stream()
        if self._first_at is None:
            self._first_at = now
            self.begun.set()
            if self.on_first is not None:
                self.on_first()
        elif now - self.last_at > self._pause_s:
            self._pause_s = now - self.last_at
            self._pause_after = self._events
        self.last_at = now
        self._events += 1
        if event.number is not None:
            self.last_event = event.number
        self._exchange.write(event.raw)

    def _break_off(self) -> None:
        begun = self._exchange.started
        self._finish(Ending.broken if begun else Ending.unknown)

    def _start_stream(self) -> None:
        head = self.head
        if head is not None:
            self._exchange.start(
                head.status,
                head.reason,
                forwarded(head.headers),
                None,
            )

    def _pass_on(self) -> None:
        head = self.head
        if head is None:
            return
        self._passing = True
        self._exchange.start(
            head.status,
            head.reason,
            forwarded(head.headers),
            _stated_length(head.headers),
        )
        self._exchange.write(b''.join(self._held))
        self._held.clear()

    def _finish(self, ending: Ending) -> None:
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
            self._conn.pause()


def _stated_length(headers: Headers) -> int | None:
    text = find(headers, b'content-length')
    return int(text) if text is not None and text.isdigit() else None
