"""A small HTTP/1.1 reader and writer for the stand-ins, standard library only."""

from __future__ import annotations

import asyncio


class Head:
    """First line and headers of a message; header names in lower case."""

    def __init__(self, line: str, pairs: list[tuple[str, str]]) -> None:
        self.line = line
        self.pairs = pairs
        self.headers = {name.lower(): text for name, text in pairs}

    @property
    def status(self) -> int:
        return int(self.line.split(' ', 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError(f'head cut off: {exc.partial[:80]!r}') from exc
        return None
    lines = raw.decode('latin-1').split('\r\n')[:-2]
    pairs = []
    for line in lines[1:]:
        name, _, text = line.partition(':')
        pairs.append((name, text.strip()))
    return Head(lines[0], pairs)


async def read_request_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    if 'chunked' in head.headers.get('transfer-encoding', ''):
        return b''.join([part async for part in chunks(reader)])
    return await reader.readexactly(int(head.headers.get('content-length', '0')))


async def chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raise if it is cut off."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        if not size:
            while await reader.readuntil(b'\r\n') != b'\r\n':
                pass
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


def encode(line: str, pairs: list[tuple[str, str]], body: bytes = b'') -> bytes:
    lines = [line, *(f'{name}: {text}' for name, text in pairs), '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
