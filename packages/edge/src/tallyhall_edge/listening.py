"""Listens for TCP connections, a few of which are accepted at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Length of the queue of the kernel. If it is full, a SYN is dropped and sent
# again, which delays its caller by seconds.
_BACKLOG = 1024
# Connections accepted in one iteration of the event loop. Each has a descriptor
# until the next one, even if there is no room for it.
_ACCEPTED_AT_ONCE = 16


async def listen(
    new_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> asyncio.Server:
    """Listen on an address; raise OSError if it is in use."""
    sock = _bound_socket(host, port)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        new_protocol, sock=sock, backlog=_ACCEPTED_AT_ONCE
    )
    # The event loop takes its argument for the queue of the kernel as well.
    sock.listen(_BACKLOG)
    return server


def _bound_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket at an address; raise OSError if it is in use.

    The event loop disables Nagle's algorithm only if the protocol is named.
    """
    sock = socket.socket(proto=socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
