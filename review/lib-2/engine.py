"""Stand-in of an engine (PROTOCOL.md, "Engines"): sound unless a case says so.

It answers plain requests with a body, and requests with token counts with a
stream of events, in chunks. It refuses what names another instance, and says so
if it is full. A case changes what it must by overriding methods.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time

from http11 import Head, encode, read_head, read_request_body


@dataclasses.dataclass
class Run:
    """One request at one engine; times of the loop's clock."""

    engine: str
    request_id: str
    target: str
    headers: dict[str, str]
    size: int
    at: float
    ran: bool = False
    began_at: float | None = None
    ended_at: float | None = None
    how: str = ''


class Engine:
    slots = 12
    queue = 24

    def __init__(
        self, name: str, service: str, *, version: str = 'v1', zone: str = 'a'
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.port = 0
        self.runs: list[Run] = []
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.events = 8
        self.first_s = 0.02
        self.event_s = 0.01
        self.plain_s = 0.02
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def fields(self) -> dict:
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': 1,
            'born': self.born,
        }

    async def listen(self, port: int) -> None:
        self.port = port
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=1 << 20
        )

    def crash(self) -> None:
        """End as a crashed process: nothing listens, connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    # -- what cases override

    async def work(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it; return whether to keep the connection."""
        if 'x-tallyhall-token-counts' in run.headers:
            return await self.stream(run, writer)
        await asyncio.sleep(self.plain_s)
        return await self.plain(run, writer)

    async def plain(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        body = self.body(run)
        await self.send(
            writer,
            200,
            [*self.signed(run), ('Content-Length', str(len(body)))],
            body,
        )
        return True

    async def stream(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.first_s)
        await self.send(
            writer,
            200,
            [
                *self.signed(run),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'),
            ],
        )
        for event in self.event_texts(run):
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    # -- parts of answers

    def body(self, run: Run) -> bytes:
        return f'answer of {self.name} to {run.request_id}'.encode()

    def event_texts(self, run: Run):
        first = int(run.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            yield f'id: {number}\ndata: {self.name} {number}\n\n'.encode()

    def signed(self, run: Run) -> list[tuple[str, str]]:
        return [
            ('X-Tallyhall-Request-Id', run.request_id),
            ('X-Tallyhall-Response-Signature', f'sig.{self.name}'),
        ]

    async def send(self, writer, status, pairs, body: bytes = b'') -> None:
        load = f'{self.running},{self.waiting},{self.slots}'
        pairs = [*pairs, ('X-Tallyhall-Server-Load', load)]
        writer.write(encode(f'HTTP/1.1 {status} Status', pairs, body))
        await writer.drain()

    async def reject(self, run: Run, writer, status: int = 503) -> None:
        pairs = [
            ('X-Tallyhall-Request-Id', run.request_id),
            ('X-Tallyhall-Not-Executed', '1'),
            ('Content-Length', '0'),
        ]
        await self.send(writer, status, pairs)

    # -- connections

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            keep = True
            while keep:
                head = await read_head(reader)
                if head is None:
                    return
                keep = await self._one(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _one(self, head: Head, reader, writer) -> bool:
        method, target, _ = head.line.split(' ')
        body = await read_request_body(reader, head)
        if target == '/health':
            pairs = [('X-Tallyhall-Instance-Id', self.name), ('Content-Length', '0')]
            await self.send(writer, 200, pairs)
            return True
        now = asyncio.get_running_loop().time
        run = Run(
            self.name,
            head.headers.get('x-tallyhall-request-id', ''),
            target,
            head.headers,
            len(body),
            now(),
        )
        self.runs.append(run)
        expected = head.headers.get('x-tallyhall-expect-instance')
        if expected not in {None, self.name}:
            run.how = 'misdirected'
            await self.reject(run, writer, 421)
            return True
        if self.waiting >= self.queue:
            run.how = 'full'
            await self.reject(run, writer)
            return True
        return await self._beside(reader, self._in_slot(run, writer), run)

    async def _in_slot(self, run: Run, writer) -> bool:
        now = asyncio.get_running_loop().time
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        run.ran = True
        run.began_at = now()
        self.running += 1
        try:
            return await self.work(run, writer)
        finally:
            run.ended_at = now()
            self.running -= 1
            self.slot.release()

    async def _beside(self, reader, work, run: Run) -> bool:
        """Do the work; drop it when the connection closes."""
        task = asyncio.ensure_future(work)
        gone = asyncio.ensure_future(self.until_closed(reader))
        try:
            await asyncio.wait((task, gone), return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                run.how = 'dropped'
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                keep = await task
                run.how = run.how or 'answered'
                return keep
            run.how = run.how or 'cut'
            return False
        finally:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone

    async def until_closed(self, reader) -> None:
        """Return when the peer closes its side; what comes meanwhile stays."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


def as_json(run: Run) -> str:
    return json.dumps(dataclasses.asdict(run))
