"""A run: dispatches one request to its upstream, in a thread of its own.

The permit is checked after the connection is established and before the first
byte is sent, so that an expired permit is never used. Once the first byte has
been sent, the request stays with this upstream: an interrupted stream is
resumed there after the last valid event.
"""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
from collections.abc import Callable, Iterator

from tallyhall_node.actions import Outcome, RunResult, StartRun

from .calls import Call
from .errors import NotSentError, StreamBrokenError
from .meter import StreamMeter
from .sse import OrderCheck, StreamEvent, read_events
from .ticket import Part, ResponseHead, Ticket, Usage
from .upstream import (
    UpstreamConnection,
    cancel_stream,
    read_body,
    refuses_connections,
)

_OK = 200
_NOT_FOUND = 404
_MAX_RESUMES = 3
_RESUME_PAUSE_S = 0.1
REQUEST_ID_HEADER = 'x-request-id'


@dataclasses.dataclass(slots=True)
class _Timing:
    started: float
    first: float = 0


class Run:
    """Dispatch of one request to an upstream."""

    def __init__(
        self,
        start: StartRun,
        call: Call,
        ticket: Ticket,
        meter: StreamMeter,
        deadline: float,
    ) -> None:
        """Create a run whose reads end at `deadline` (monotonic clock)."""
        self.start = start
        self.call = call
        self.ticket = ticket
        self._meter = meter
        self._deadline = deadline
        self._cancelled = threading.Event()
        self._lock = threading.Lock()
        self._conn: UpstreamConnection | None = None
        self._timing = _Timing(time.monotonic())
        self._order_check = OrderCheck(start.id)
        self._usage = Usage(0, 0, 0)
        self._received_last = False

    def execute(self, before_send: Callable[[StartRun], None]) -> RunResult:
        """Execute the run and return its result.

        `before_send` is called right before the first byte is sent. Failures of
        the upstream are returned as outcomes, not raised.
        """
        self._timing.started = time.monotonic()
        try:
            outcome = self._run(before_send)
        except NotSentError:
            outcome = Outcome.not_sent
        except StreamBrokenError:
            outcome = Outcome.broken
        finally:
            self._meter.ended(self.start.id)
        if self._cancelled.is_set() and outcome != Outcome.not_sent:
            outcome = Outcome.stopped
            if self.call.kind == 'model':
                cancel_stream(self.start.address, self.start.id)
        return self._result(
            outcome, ended=self._has_upstream_terminated(outcome)
        )

    def cancel(self) -> None:
        """Stop the run; called from another thread."""
        self._cancelled.set()
        with self._lock:
            conn = self._conn
        if conn is not None:
            conn.abort()

    # -- internals

    def _run(self, before_send: Callable[[StartRun], None]) -> Outcome:
        if self.start.resume:
            return self._resume()
        with contextlib.closing(self._open()) as conn:
            conn.connect()
            if time.monotonic() >= self.start.until:
                raise NotSentError('the permit has expired')
            if self._cancelled.is_set():
                raise NotSentError('cancelled')
            before_send(self.start)
            if self.call.kind == 'plain':
                return self._run_plain(conn)
            outcome = self._run_model(conn)
        if outcome is not None:
            return outcome
        return self._resume()

    def _run_plain(self, conn: UpstreamConnection) -> Outcome:
        resp = conn.exchange(
            self.call.method,
            self.call.path,
            self.call.body,
            self._headers(),
        )
        content = read_body(resp)
        content_type = resp.headers.get('content-type', '')
        self.ticket.head = ResponseHead(resp.status, content_type)
        self.ticket.add(Part(content))
        self.ticket.complete(Usage(0, 0, 0), time.monotonic())
        return Outcome.complete

    def _run_model(self, conn: UpstreamConnection) -> Outcome | None:
        """Return the outcome, or None if the stream has to be resumed."""
        try:
            resp = conn.exchange(
                'POST',
                self.call.path,
                self.call.body,
                self._headers(),
            )
            if resp.status != _OK:
                return Outcome.failed
            self._read_stream(read_events(resp))
        except StreamBrokenError:
            return None
        return Outcome.complete

    def _resume(self) -> Outcome:
        """Resume the stream after the last valid event, on the same upstream.

        The request to resume may overtake the original request. Therefore a
        404 response is retried as long as no event has been received.
        """
        for _ in range(_MAX_RESUMES):
            if self._cancelled.is_set():
                return Outcome.stopped
            if time.monotonic() >= self._deadline:
                return Outcome.broken
            outcome = self._resume_once()
            if outcome is not None:
                return outcome
            self._cancelled.wait(_RESUME_PAUSE_S)
        return Outcome.broken

    def _resume_once(self) -> Outcome | None:
        conn = self._open()
        path = f'/v1/streams/{self.start.id}?from={self._order_check.expected}'
        try:
            conn.connect()
            resp = conn.exchange('GET', path, b'', {})
            if resp.status == _NOT_FOUND and self._order_check.expected:
                return Outcome.broken
            if resp.status != _OK:
                return None
            self._read_stream(read_events(resp))
        except (NotSentError, StreamBrokenError):
            return None
        finally:
            conn.close()
        return Outcome.complete

    def _read_stream(self, events: Iterator[StreamEvent]) -> None:
        """Forward events up to the end marker; raise StreamBrokenError."""
        for event in events:
            if not self._order_check.accept(event):
                continue
            # The end marker may be received on a later connection.
            self._received_last = event.is_last
            self._forward(event)
        if not self._received_last:
            raise StreamBrokenError('end marker without a preceding last event')
        self.ticket.complete(self._usage, time.monotonic())

    def _forward(self, event: StreamEvent) -> None:
        now = time.monotonic()
        if event.tokens and not self._timing.first:
            self._timing.first = now
            self._meter.start_stream(
                self.start.id,
                self.call.spec.service,
                self.start.upstream,
                now,
            )
        else:
            self._meter.add(self.start.id, event.tokens)
        usage = event.usage
        if usage is not None:
            self._usage = Usage(
                usage.prompt_tokens,
                usage.prompt_tokens_details.cached_tokens,
                usage.completion_tokens,
            )
        self.ticket.add(Part(event.model_dump_json().encode(), event.tokens))

    def _open(self) -> UpstreamConnection:
        left = max(0.1, self._deadline - time.monotonic())
        conn = UpstreamConnection(self.start.address, left)
        with self._lock:
            self._conn = conn
        if self._cancelled.is_set():
            # The cancellation may have aborted only the previous connection.
            conn.abort()
        return conn

    def _headers(self) -> dict[str, str]:
        headers = {REQUEST_ID_HEADER: self.start.id}
        if self.call.content_type:
            headers['content-type'] = self.call.content_type
        return headers

    def _has_upstream_terminated(self, outcome: Outcome) -> bool:
        """Return whether the run failed because its upstream terminated."""
        return outcome == Outcome.broken and refuses_connections(
            self.start.address
        )

    def _result(self, outcome: Outcome, *, ended: bool) -> RunResult:
        now = time.monotonic()
        first = self._timing.first or now
        return RunResult(
            self.start.id,
            self.start.upstream,
            outcome,
            first_s=first - self._timing.started,
            total_s=now - self._timing.started,
            prompt_tokens=self._usage.prompt_tokens,
            cached_tokens=self._usage.cached_tokens,
            output_tokens=self._usage.output_tokens,
            shown=self.ticket.has_output,
            ended=ended,
        )
