"""An upstream that answers requests before it has read them."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import AsyncIterator, Sequence

SIGNATURE = b'X-Tallyhall-Response-Signature: s\r\n'
# The part of a body after which it breaks off.
PART = b'part of a body'
# The body of an answer after the whole request.
WHOLE = b'the whole body'
OK_HEAD = b'HTTP/1.1 200 OK\r\n'
# What is read of a request, in bytes.
_READ_BYTES = 2000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# The ways in which it breaks off: times in seconds between the end of the
# stream and the reset after it, None for a connection that is closed with bytes
# of the request unread.
RESETS_AFTER_S: Sequence[float | None] = (None, 0, 0.002, 0.01)


class EarlyUpstream:
    """Answers once the head of a request is there, reads no more, breaks off.

    Connections break off in turn in the ways that it is given.
    """

    def __init__(
        self,
        head: bytes = OK_HEAD,
        resets_after_s: Sequence[float | None] = RESETS_AFTER_S,
    ) -> None:
        """Answer with this head and a part of a body."""
        self.asked = 0
        # The time in seconds between the end of the stream and the reset, by
        # request id, as it was; infinite until the reset.
        self.delays_s: dict[str, float] = {}
        self._answer = b'%b%b\r\n%b' % (head, SIGNATURE, PART)
        self._resets_after_s = resets_after_s
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def serving(self, host: str, port: int) -> AsyncIterator[None]:
        """Serve at this address."""
        with socket.create_server((host, port)) as listener:
            listener.setblocking(False)
            serving = asyncio.create_task(self._serve(listener))
            yield
            serving.cancel()
            for task in tuple(self._tasks):
                task.cancel()

    async def _serve(self, listener: socket.socket) -> None:
        while True:
            sock, _ = await self._loop.sock_accept(listener)
            sock.setblocking(False)
            task = asyncio.create_task(self._answer_early(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer_early(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(ConnectionError):
            received = await self._loop.sock_recv(sock, _READ_BYTES)
            if not received:
                return
            ways = self._resets_after_s
            reset_after_s = ways[self.asked % len(ways)]
            self.asked += 1
            request_id = _request_id(received)
            await self._loop.sock_sendall(sock, self._answer)
            if reset_after_s is None:
                self.delays_s[request_id] = 0
                return
            ended_at = self._loop.time()
            self.delays_s[request_id] = math.inf
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(reset_after_s)
            self.delays_s[request_id] = self._loop.time() - ended_at
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )


async def answer_after_upload(
    size: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer without a length, but once a body of this size was read."""
    with contextlib.suppress(asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(size)
        writer.write(b'%b%b\r\n%b' % (OK_HEAD, SIGNATURE, WHOLE))
    writer.close()


def _request_id(received: bytes) -> str:
    for line in received.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == b'x-tallyhall-request-id':
            return text.strip().decode()
    return ''
