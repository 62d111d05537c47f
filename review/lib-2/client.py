"""A caller of the system: one attempt a call, on a new or a kept connection."""

from __future__ import annotations

import asyncio
import dataclasses

from http11 import chunks, encode, read_head

HOST = 'shop.example'
KEY = 'key-1'


@dataclasses.dataclass
class Tried:
    """One attempt; status 0 where no head of an answer came."""

    request_id: str
    route: str
    instance: str
    at: float
    status: int = 0
    signed: bool = False
    whole: bool = False
    body: bytes = b''
    ended_at: float = 0
    error: str = ''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def served(self) -> bool:
        return 200 <= self.status < 300 and self.whole and self.signed

    @property
    def begun(self) -> bool:
        return 200 <= self.status < 300 and bool(self.body)

    def line(self, since: float) -> str:
        return (
            f'{self.at - since:8.3f} {self.request_id} {self.route} at '
            f'{self.instance}: {self.status} whole={self.whole} '
            f'bytes={len(self.body)} after {self.ended_at - self.at:.3f} s '
            f'{self.error}'
        )


async def ask(
    instance: str,
    port: int,
    route: str,
    request_id: str,
    *,
    method: str = 'POST',
    body: bytes = b'',
    deadline_s: float = 12,
    key: str | None = KEY,
    more: list[tuple[str, str]] | None = None,
    path: str | None = None,
) -> Tried:
    """Send one request on a new connection; give up at its deadline."""
    loop = asyncio.get_running_loop()
    tried = Tried(request_id, route, instance, loop.time())
    writer = None
    try:
        async with asyncio.timeout(deadline_s + 1):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection('127.0.0.1', port), 1
            )
            pairs = [
                ('Host', HOST),
                ('X-Tallyhall-Request-Id', request_id),
                ('X-Tallyhall-Deadline-Ms', str(int(deadline_s * 1000))),
                *([] if key is None else [('Authorization', f'Bearer {key}')]),
                *(more or []),
                ('Content-Length', str(len(body))),
            ]
            line = f'{method} {path or f"/{route}/x"} HTTP/1.1'
            writer.write(encode(line, pairs, body))
            await read_answer(reader, tried)
    except TimeoutError:
        tried.error = 'no end of an answer in time'
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        tried.error = repr(exc)[:120]
    finally:
        tried.ended_at = loop.time()
        if writer is not None:
            writer.close()
    return tried


async def read_answer(reader: asyncio.StreamReader, tried: Tried) -> None:
    head = await read_head(reader)
    if head is None:
        raise ConnectionError('closed without an answer')
    tried.status = head.status
    tried.headers = head.headers
    tried.signed = 'x-tallyhall-response-signature' in head.headers
    if 'chunked' in head.headers.get('transfer-encoding', ''):
        async for part in chunks(reader):
            tried.body += part
    elif 'content-length' in head.headers:
        size = int(head.headers['content-length'])
        while len(tried.body) < size:
            part = await reader.read(min(65536, size - len(tried.body)))
            if not part:
                raise ConnectionError('body cut off')
            tried.body += part
    else:
        while part := await reader.read(65536):
            tried.body += part
    tried.whole = True
