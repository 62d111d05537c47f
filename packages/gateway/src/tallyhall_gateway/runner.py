"""One run: the dispatch of a request to its upstream, in its own thread.

The permit is checked after the connection stands and before the first byte,
so a permit that lay too long is never used. From the first byte on the
request stays with this upstream: a broken stream is resumed there from the
last good event.
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
from .ticket import Head, Part, Ticket, Usage
from .upstream import UpstreamCall, cancel_stream, read_whole, refuses

_OK = 200
_NOT_FOUND = 404
_RESUMES = 3
_RESUME_PAUSE_S = 0.1
REQUEST_ID_HEADER = 'x-request-id'


@dataclasses.dataclass(slots=True)
class _Timing:
    started: float
    first: float = 0


class Run:
    """A dispatch under way."""

    def __init__(
        self,
        start: StartRun,
        call: Call,
        ticket: Ticket,
        meter: StreamMeter,
        deadline: float,
    ) -> None:
        """Prepare; `deadline` bounds every read, on the monotonic clock."""
        self.start = start
        self.call = call
        self.ticket = ticket
        self._meter = meter
        self._deadline = deadline
        self._cancelled = threading.Event()
        self._lock = threading.Lock()
        self._conn: UpstreamCall | None = None
        self._timing = _Timing(time.monotonic())
        self._check = OrderCheck(start.id)
        self._usage = Usage(0, 0, 0)
        self._has_last = False

    def execute(self, on_sent: Callable[[StartRun], None]) -> RunResult:
        """Run to the end and return how it ended; never raises.

        `on_sent` is called right before the first byte is written.
        """
        self._timing.started = time.monotonic()
        try:
            outcome = self._run(on_sent)
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
        return self._result(outcome, ended=self._has_ended(outcome))

    def cancel(self) -> None:
        """Stop the run from another thread."""
        self._cancelled.set()
        with self._lock:
            conn = self._conn
        if conn is not None:
            conn.cut()

    # -- internals

    def _run(self, on_sent: Callable[[StartRun], None]) -> Outcome:
        if self.start.resume:
            return self._resume()
        with contextlib.closing(self._open()) as conn:
            conn.connect()
            if time.monotonic() >= self.start.until:
                raise NotSentError('the permit lay too long')
            if self._cancelled.is_set():
                raise NotSentError('cancelled')
            on_sent(self.start)
            if self.call.kind == 'plain':
                return self._run_plain(conn)
            outcome = self._run_model(conn)
        if outcome is not None:
            return outcome
        return self._resume()

    def _run_plain(self, conn: UpstreamCall) -> Outcome:
        resp = conn.exchange(
            self.call.method,
            self.call.path,
            self.call.body,
            self._headers(),
        )
        content = read_whole(resp)
        content_type = resp.headers.get('content-type', '')
        self.ticket.head = Head(resp.status, content_type)
        self.ticket.add(Part(content))
        self.ticket.complete(Usage(0, 0, 0), time.monotonic())
        return Outcome.complete

    def _run_model(self, conn: UpstreamCall) -> Outcome | None:
        """Return the outcome, or None where the stream is to be resumed."""
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
        """Read on from the last good event, on the same upstream.

        An engine that has sent nothing yet may hear of the resume before it
        has read the request itself, so its "not found" is asked again.
        """
        for _ in range(_RESUMES):
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
        path = f'/v1/streams/{self.start.id}?from={self._check.expected}'
        try:
            conn.connect()
            resp = conn.exchange('GET', path, b'', {})
            if resp.status == _NOT_FOUND and self._check.expected:
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
        """Pass events on until the end marker; raise StreamBrokenError."""
        for event in events:
            if not self._check.accept(event):
                continue
            # The end marker may come in a later connection than this event.
            self._has_last = event.is_last
            self._pass_on(event)
        if not self._has_last:
            raise StreamBrokenError('no last event before the end marker')
        self.ticket.complete(self._usage, time.monotonic())

    def _pass_on(self, event: StreamEvent) -> None:
        now = time.monotonic()
        if event.tokens and not self._timing.first:
            self._timing.first = now
            self._meter.first_token(
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

    def _open(self) -> UpstreamCall:
        left = max(0.1, self._deadline - time.monotonic())
        conn = UpstreamCall(self.start.address, left)
        with self._lock:
            self._conn = conn
        if self._cancelled.is_set():
            # The cancellation may have cut the connection before this one.
            conn.cut()
        return conn

    def _headers(self) -> dict[str, str]:
        headers = {REQUEST_ID_HEADER: self.start.id}
        if self.call.content_type:
            headers['content-type'] = self.call.content_type
        return headers

    def _has_ended(self, outcome: Outcome) -> bool:
        """Return whether the upstream of a run that broke has ended."""
        return outcome == Outcome.broken and refuses(self.start.address)

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
            shown=self.ticket.is_shown,
            ended=ended,
        )
