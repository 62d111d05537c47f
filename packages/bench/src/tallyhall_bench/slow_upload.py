"""A caller that sends the body of its request slowly, over some seconds."""

from __future__ import annotations

import asyncio
import random

from tallyhall_dispatch.options import Listening

from .platform_load import KEY, Tried, request_head

_PIECES = 6
_PIECE_BYTES = 500


async def ask_slowly(
    place: Listening,
    route: str,
    request_id: str,
    rng: random.Random,
    upload_s: float,
    deadline_s: float,
) -> Tried:
    """Send a request whose body takes up to `upload_s`; return what came."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    status, head, body, is_whole = 0, b'', b'', False
    try:
        reader, writer = await asyncio.open_connection(place.host, place.port)
        size = _PIECES * _PIECE_BYTES
        writer.write(request_head(route, request_id, KEY, size, deadline_s))
        pause_s = rng.uniform(0, upload_s) / _PIECES
        for _ in range(_PIECES):
            await asyncio.sleep(pause_s)
            writer.write(bytes(_PIECE_BYTES))
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ', 2)[1])
        body = await reader.readexactly(_length(head))
        is_whole = True
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        is_whole = False
    return Tried(
        request_id,
        route,
        str(place),
        status,
        body,
        b'x-tallyhall-response-signature' in head.lower(),
        is_whole,
        loop.time() - began_at,
    )


def _length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0
