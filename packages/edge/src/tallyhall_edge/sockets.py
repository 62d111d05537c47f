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

# An upstream may answer and close before it has read a longer request than
# this, in bytes. Its machine then resets the connection, up to this time in
# seconds after the end of the stream.
_MAX_READ_AT_ONCE_BYTES = 4096
_MAX_RESET_DELAY_S = 0.05
# The value of SO_LINGER with which a socket is reset when it is closed.
_NO_LINGER = struct.pack('ii', 1, 0)


def set_keepalive(transport: asyncio.Transport) -> None:
    """Enable the detection of dead peers on a connection."""
    sock = _socket_of(transport)
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, limit in _KEEPALIVE_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, limit)


def discard_on_close(transport: asyncio.Transport) -> None:
    """Have the kernel discard what is not acknowledged when it is closed.

    It would go on sending it otherwise, to an upstream that nobody waits for.
    """
    sock = _socket_of(transport)
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the peer has not acknowledged.

    Those that the kernel holds count as none if it does not tell.
    """
    queued = _query(transport, termios.TIOCOUTQ)
    return queued + transport.get_write_buffer_size()


def received_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that were received and not read, 0 if unknown."""
    return _query(transport, termios.FIONREAD)


def pending_error(transport: asyncio.Transport) -> int:
    """Return the error number of a connection, as of a reset; 0 without."""
    sock = _socket_of(transport)
    if sock is None or sock.fileno() < 0:
        return 0
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def reset_delay_s(sent_bytes: int) -> float:
    """Return how long after the end of its stream a peer may still reset it.

    sent_bytes: what it was sent before.
    """
    return _MAX_RESET_DELAY_S if sent_bytes > _MAX_READ_AT_ONCE_BYTES else 0


def _query(transport: asyncio.Transport, request: int) -> int:
    sock = _socket_of(transport)
    if sock is None or sock.fileno() < 0:
        return 0
    answer = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), request, answer)
    except OSError:
        return 0
    return answer[0]


def _socket_of(transport: asyncio.Transport) -> socket.socket | None:
    sock: socket.socket | None = transport.get_extra_info('socket')
    return sock
