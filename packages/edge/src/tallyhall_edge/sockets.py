"""Options of TCP sockets, and what the kernel tells of them."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

# Milliseconds without acknowledgement after which a peer counts as dead.
_USER_TIMEOUT_MS = 3000
# Idle connections are probed after one second and dropped after three failed
# probes, one second apart.
_KEEPALIVE_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)

# The value of SO_LINGER with which a socket is reset when it is closed.
_NO_LINGER = struct.pack('ii', 1, 0)


def set_keepalive(transport: asyncio.Transport) -> None:
    """Enable the detection of dead peers on a connection."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, limit in _KEEPALIVE_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, limit)


def discard_on_close(sock: socket.socket | None) -> None:
    """Have the kernel discard what is not acknowledged when it is closed.

    It would go on sending it otherwise, to an upstream that nobody waits for.
    """
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def unacknowledged_bytes(sock: socket.socket | None) -> int:
    """Return the bytes that a peer has not acknowledged, 0 if unknown."""
    return _query(sock, termios.TIOCOUTQ)


def received_bytes(sock: socket.socket | None) -> int:
    """Return the bytes that were received and not read, 0 if unknown."""
    return _query(sock, termios.FIONREAD)


def _query(sock: socket.socket | None, request: int) -> int:
    if sock is None or sock.fileno() < 0:
        return 0
    answer = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), request, answer)
    except OSError:
        return 0
    return answer[0]
