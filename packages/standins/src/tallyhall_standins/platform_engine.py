"""Stand-in for an upstream of the users' platform, sound or not.

It answers a request at a time on a connection, as plain answers or streams
of events, and records what it ran. Each fault is one way in which such an
upstream misbehaves; tests set them for the next requests.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

import httptools

from .engine_load import EngineLoad
from .fatal_requests import FatalRequests

_SLOTS = 10


@enum.unique
class EngineFault(enum.Enum):
    """How one request goes wrong."""

    none = 'none'
    rejects = 'rejects'
    misplaced = 'misplaced'
    fails = 'fails'
    resets_first = 'resets_first'
    closes_first = 'closes_first'
    breaks_in_event = 'breaks_in_event'
    breaks_between = 'breaks_between'
    skips_event = 'skips_event'
    hangs = 'hangs'
    answers_twice = 'answers_twice'
    late_second = 'late_second'
    no_length = 'no_length'
    no_length_in_event = 'no_length_in_event'
    short_body = 'short_body'
    unsigned = 'unsigned'
    not_http = 'not_http'
    slow = 'slow'


_BROKEN_AT = 3
_BAD = frozenset((EngineFault.fails, EngineFault.slow))
# Streams with neither a length nor chunks.
_BREAKING = frozenset(
    (
        EngineFault.breaks_in_event,
        EngineFault.breaks_between,
        EngineFault.no_length_in_event,
    ),
)
_UNFRAMED = frozenset((EngineFault.no_length, EngineFault.no_length_in_event))
_SLOW_TIMES = 8
_LATE_S = 0.05
_NONE_FATAL = FatalRequests()
HEALTH_PATH = '/health'


def _sound(target: str, running: int) -> EngineFault:
    return EngineFault.none


def entry_fields(service: str, address: str, slots: int) -> dict[str, Any]:
    """Return the entry of a ready upstream in the platform's form."""
    return {
        'service': service,
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'seq': 1,
        'cold-left-ms': 0,
    }


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRequest:
    """One request as it arrived, at a time of the loop's clock.

    bad: whether its answer was drawn to be bad.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    at: float = 0
    bad: bool = False


class EngineStandIn:
    """One upstream on one port."""

    def __init__(
        self,
        incarnation: str,
        *,
        events: int = 6,
        first_s: float = 0.005,
        event_s: float = 0.002,
        fatal: FatalRequests = _NONE_FATAL,
    ) -> None:
        """Answer streams with this many events at this pace.

        fatal: the requests under which it ends.
        """
        self.fatal = fatal
        # Draws the fault of a request by its path and by what runs beside it.
        self.draw: Callable[[str, int], EngineFault] = _sound
        # Put into the text of each event.
        self.tag = ''
        # Says in all its answers that it leaves.
        self.leaving = False
        # Turns all requests away and asks for so many seconds of rest.
        self.rest_s: float | None = None
        # Names in all its answers what it takes in a second.
        self.limit_per_s: float | None = None
        # How much it is slowed, and the load that it reports, if any.
        self.load = EngineLoad()
        # Further header lines of all its answers.
        self.says: tuple[str, ...] = ()
        # Set once it has ended, with all that ran.
        self.ended = asyncio.Event()
        self.incarnation = incarnation
        self.events = events
        self.first_s = first_s
        self.event_s = event_s
        self.faults: collections.deque[EngineFault] = collections.deque()
        self.seen: list[SeenRequest] = []
        self.running = 0
        self.most_running = 0
        self.left = 0
        self.connections = 0
        # Questions for its health.
        self.probes = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def ran(self) -> list[SeenRequest]:
        """Return the requests that ran here."""
        return [request for request in self.seen if request.ran]

    async def listen(self, host: str, port: int) -> None:
        """Serve on this address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop to accept connections."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """End as a lost process does: nothing listens, all is reset."""
        self.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.ended.set()

    def record(self, seen: SeenRequest) -> None:
        """Keep a request that has arrived."""
        self.seen.append(seen)

    async def answer_instead(self, writer: asyncio.StreamWriter) -> bool:
        """Answer a request in another way; return whether that was done."""
        return False

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        visit = _Visit(self, writer)
        try:
            await visit.run(reader)
        except (ConnectionError, asyncio.CancelledError):
            self.left += 1
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()


class _Visit:
    """One connection of a caller."""

    def __init__(
        self,
        engine: EngineStandIn,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._engine = engine
        self._writer = writer
        self._target = b''
        self._headers: dict[str, str] = {}
        self._body = b''
        self._whole = asyncio.Event()
        self._closed = False
        # Whether streams are sent in chunks; else they end with the connection.
        self._framed = True

    async def run(self, reader: asyncio.StreamReader) -> None:
        while not self._closed:
            parser = httptools.HttpRequestParser(self)
            self._target = b''
            self._headers = {}
            self._body = b''
            self._whole.clear()
            while not self._whole.is_set():
                payload = await reader.read(65_536)
                if not payload:
                    return
                parser.feed_data(payload)
            method = parser.get_method().decode()
            await self._beside_reader(reader, method)

    # -- parser

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._whole.set()

    # -- answers

    async def _beside_reader(
        self,
        reader: asyncio.StreamReader,
        method: str,
    ) -> None:
        answer = asyncio.create_task(self._answer(method))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                (answer, gone),
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            answer.cancel()
            gone.cancel()
            raise
        if answer.done():
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone
            answer.result()
            return
        # A reset is an exception of the reader, which nobody else takes.
        gone.exception()
        self._engine.left += 1
        self._closed = True
        answer.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await answer

    async def _answer(self, method: str) -> None:
        if method == 'GET' and self._target.decode() == HEALTH_PATH:
            self._tell_health()
            return
        engine = self._engine
        fault = engine.draw(self._target.decode(), engine.running)
        if engine.faults:
            fault = engine.faults.popleft()
        expected = self._headers.get('x-tallyhall-expect-instance')
        if expected not in {None, engine.incarnation}:
            fault = EngineFault.misplaced
        if self._engine.rest_s is not None:
            fault = EngineFault.rejects
        refused = fault in {EngineFault.rejects, EngineFault.misplaced}
        request_id = self._headers.get('x-tallyhall-request-id', '')
        engine.record(
            SeenRequest(
                request_id,
                method,
                self._target.decode(),
                dict(self._headers),
                self._body,
                ran=not refused,
                at=asyncio.get_running_loop().time(),
                bad=fault in _BAD,
            ),
        )
        engine.running += 1
        engine.most_running = max(engine.most_running, engine.running)
        try:
            if not await engine.answer_instead(self._writer):
                await self._by_fault(fault, request_id)
        finally:
            engine.running -= 1

    async def _by_fault(self, fault: EngineFault, request_id: str) -> None:
        if fault is EngineFault.hangs:
            await asyncio.Event().wait()
        if fault is EngineFault.rejects:
            self._send(503, b'', self._rejection())
            return
        if fault is EngineFault.misplaced:
            self._send(421, b'', ())
            return
        if fault is EngineFault.resets_first:
            self._reset()
            return
        if fault is EngineFault.closes_first:
            self._closed = True
            return
        times: float = _SLOW_TIMES if fault is EngineFault.slow else 1
        times *= self._engine.load.slowdown
        await asyncio.sleep(self._engine.first_s * times)
        if self._engine.fatal.ends_before_head(self._headers, self._body):
            self._engine.end()
            return
        if fault is EngineFault.not_http:
            self._writer.write(b'\x00\x01 no answer at all\r\n\r\n')
            return
        if fault is EngineFault.fails:
            self._send(500, b'engine error', self._signed(request_id))
            return
        if 'x-tallyhall-token-counts' in self._headers:
            await self._stream(fault, request_id)
            return
        await self._plain(fault, request_id)

    async def _plain(self, fault: EngineFault, request_id: str) -> None:
        body = f'answer to {request_id}'.encode()
        signed = self._signed(request_id)
        if fault is EngineFault.unsigned:
            signed = ()
        if fault is EngineFault.no_length:
            self._head(200, (*signed, 'Connection: close'))
            self._writer.write(body)
            self._closed = True
            return
        if fault is EngineFault.short_body:
            self._head(200, (*signed, f'Content-Length: {len(body) + 5}'))
            self._writer.write(body)
            self._reset()
            return
        self._send(200, body, signed)
        if fault is EngineFault.answers_twice:
            self._send(200, b'a second answer', signed)
        if fault is EngineFault.late_second:
            await self._writer.drain()
            await asyncio.sleep(_LATE_S)
            self._send(200, b'a second answer', signed)

    async def _stream(self, fault: EngineFault, request_id: str) -> None:
        framing = 'Transfer-Encoding: chunked'
        if fault in _UNFRAMED:
            framing = 'Connection: close'
            self._framed = False
        media = 'Content-Type: text/event-stream'
        self._head(200, (*self._signed(request_id), media, framing))
        first = int(self._headers.get('last-event-id', '0')) + 1
        last = self._engine.fatal.last_event(self._headers)
        for number in range(first, self._engine.events + 1):
            if last is not None and number >= first + last:
                await self._writer.drain()
                self._engine.end()
                return
            if number == _BROKEN_AT and fault in _BREAKING:
                self._break_off(fault, number)
                return
            if number == _BROKEN_AT and fault is EngineFault.skips_event:
                continue
            text = f't{number}{self._engine.tag}'
            self._chunk(f'id: {number}\ndata: {text}\n\n'.encode())
            await self._writer.drain()
            times: float = _SLOW_TIMES if fault is EngineFault.slow else 1
            times *= self._engine.load.slowdown
            await asyncio.sleep(self._engine.event_s * times)
        self._end_stream()

    def _end_stream(self) -> None:
        if self._framed:
            self._writer.write(b'0\r\n\r\n')
        else:
            self._closed = True

    def _break_off(self, fault: EngineFault, number: int) -> None:
        """End a stream before this event is whole."""
        if fault is not EngineFault.breaks_between:
            self._chunk(f'id: {number}\nda'.encode())
        if fault is EngineFault.no_length_in_event:
            self._closed = True
        else:
            self._reset()

    def _tell_health(self) -> None:
        self._engine.probes += 1
        line = f'X-Tallyhall-Instance-Id: {self._engine.incarnation}'
        self._send(503 if self._engine.leaving else 200, b'', (line,))

    def _rejection(self) -> tuple[str, ...]:
        lines = ('X-Tallyhall-Not-Executed: 1',)
        if self._engine.rest_s is None:
            return lines
        return (*lines, f'Retry-After: {self._engine.rest_s}')

    def _signed(self, request_id: str) -> tuple[str, ...]:
        return (
            f'X-Tallyhall-Response-Signature: s.{self._engine.incarnation}',
            f'X-Tallyhall-Request-Id: {request_id}',
        )

    def _send(self, status: int, body: bytes, lines: tuple[str, ...]) -> None:
        self._head(status, (*lines, f'Content-Length: {len(body)}'))
        self._writer.write(body)

    def _head(self, status: int, lines: tuple[str, ...]) -> None:
        if self._engine.leaving:
            lines = (*lines, 'Server-Leaving: 1')
        if self._engine.limit_per_s is not None:
            lines = (*lines, f'Server-Limit: {self._engine.limit_per_s}')
        reported = self._engine.load.header_lines(self._engine.running)
        lines = (*lines, *reported, *self._engine.says)
        head = '\r\n'.join((f'HTTP/1.1 {status} Status', *lines, '', ''))
        self._writer.write(head.encode('latin-1'))

    def _chunk(self, payload: bytes) -> None:
        if not self._framed:
            self._writer.write(payload)
            return
        self._writer.write(b'%x\r\n%b\r\n' % (len(payload), payload))

    def _reset(self) -> None:
        self._closed = True
        transport = self._writer.transport
        if not transport.is_closing():
            asyncio.get_running_loop().call_later(0.01, transport.abort)
