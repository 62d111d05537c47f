"""Upstreams whose answers go on until the connection is closed."""

from __future__ import annotations

import asyncio
import dataclasses
import types
from collections.abc import Mapping
from typing import Any

from .platform_engine import EngineStandIn

_PIECE = 65_536
_DRIP_S = 0.2
_OK = b'HTTP/1.1 200 OK\r\n'
_LINES = (
    b'X-Tallyhall-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_CHUNKED = b''.join((_OK, _LINES))
_CHUNK = b'1000\r\n%b\r\n' % bytes(4096)
_OTHER = b'HTTP/1.1 200 OK\r\nX-Tallyhall-Request-Id: other\r\n'
_LAST_CHUNK = b''.join((_CHUNKED, b'1\r\nx\r\n0\r\n'))


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer that begins like others and never ends.

    more: what is sent again and again, with a pause of so many seconds.
    """

    begin: bytes
    more: bytes
    pause_s: float = 0

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Send until cancelled, or until the connection is lost."""
        writer.write(self.begin)
        while not writer.transport.is_closing():
            writer.write(self.more)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


# By what is without end.
ENDLESS_ANSWERS: Mapping[str, EndlessAnswer] = types.MappingProxyType(
    {
        'reason phrase': EndlessAnswer(b'HTTP/1.1 200 O', b'y' * _PIECE),
        'header line': EndlessAnswer(b'%bX: ' % _OK, b'y' * _PIECE),
        'header lines': EndlessAnswer(_OK, b'X: yyyyyyyyyyyyyyyy\r\n' * 3000),
        'trailers': EndlessAnswer(_LAST_CHUNK, b'X: yyy\r\n' * 9000),
        'trailer': EndlessAnswer(b'%bX: ' % _LAST_CHUNK, b'y' * _PIECE),
        'chunk extension': EndlessAnswer(
            b'%b1;x=' % _CHUNKED,
            b'y' * _PIECE,
        ),
        'interim answers': EndlessAnswer(
            b'',
            b'HTTP/1.1 102 Processing\r\n\r\n' * 2500,
        ),
        'other answer': EndlessAnswer(
            b'%bTransfer-Encoding: chunked\r\n\r\n' % _OTHER,
            _CHUNK * 16,
        ),
        'other answers': EndlessAnswer(
            b'',
            b'%bContent-Length: 9\r\n\r\nsome-body' % _OTHER * 1000,
        ),
        'error': EndlessAnswer(
            b'HTTP/1.1 500 Broken\r\n%b' % _LINES,
            _CHUNK * 16,
        ),
        'slow head': EndlessAnswer(b'%bX: ' % _OK, b'y', _DRIP_S),
    }
)


class EndlessEngine(EngineStandIn):
    """A sound upstream until an endless answer is set."""

    def __init__(self, incarnation: str, **pace: Any) -> None:
        """Answer as the sound one does, with the same pace."""
        super().__init__(incarnation, **pace)
        self.endless: EndlessAnswer | None = None
        # How long each such answer was received, in seconds.
        self.received_s: list[float] = []

    async def answer_instead(self, writer: asyncio.StreamWriter) -> bool:
        """Answer without end, if so set."""
        if self.endless is None:
            return False
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            await self.endless.send(writer)
        finally:
            self.received_s.append(loop.time() - began_at)
        return True
