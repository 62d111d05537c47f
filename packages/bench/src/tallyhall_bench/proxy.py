"""A small fault-injecting TCP proxy on the loopback address.

Stands between a caller and an entry, or an entry and an upstream: delays,
cuts after a number of bytes, holds connections half open, freezes, and lets
whole answers overtake each other.
"""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
import time
from collections.abc import Callable

_HOST = '127.0.0.1'
_READ_BYTES = 65_536
_BACKLOG = 512
_CONNECT_S = 2.0
_RELEASE_S = 20.0


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """What goes wrong now; -1 means no cut.

    cut_down_after: bytes towards the caller; 0 cuts when the first one comes.
    cut_up_after: bytes towards the target; 0 cuts before the first.
    half_open: drop answers but keep the connection. hold: connections whose
    answers wait until as many are complete, and then go out in reverse order.
    """

    delay_s: float = 0
    cut_down_after: int = -1
    cut_up_after: int = -1
    cuts: int = 1
    half_open: bool = False
    refuse: bool = False
    hold: int = 0


class FaultProxy:
    """Forwards connections to one target, with faults."""

    def __init__(self, target: str) -> None:
        """Listen at a free port and forward to `target`."""
        self.faults = ProxyFaults()
        self.connections = 0
        self._target = target
        self._running = threading.Event()
        self._running.set()
        self._closed = False
        self._lock = threading.Lock()
        self._held: list[Callable[[], None]] = []
        self._server = socket.create_server((_HOST, 0), backlog=_BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> FaultProxy:
        """Return itself."""
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop listening."""
        self.close()

    @property
    def address(self) -> str:
        """Return the address to use in place of the target's."""
        return f'{_HOST}:{self._server.getsockname()[1]}'

    def freeze(self) -> None:
        """Forward nothing until `thaw`."""
        self._running.clear()

    def thaw(self) -> None:
        """Forward again."""
        self._running.set()

    def close(self) -> None:
        """Stop listening; open connections end by themselves."""
        self._closed = True
        self._running.set()
        self._server.close()

    # -- internals

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            self.connections += 1
            if self.faults.refuse:
                client.close()
                continue
            threading.Thread(
                target=self._serve,
                args=(client,),
                daemon=True,
            ).start()

    def _serve(self, client: socket.socket) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            upstream = socket.create_connection(
                (host, int(port)),
                _CONNECT_S,
            )
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        faults = self.faults
        up = self._take_cut(faults.cut_up_after)
        down = self._take_cut(faults.cut_down_after)
        threading.Thread(
            target=self._pump,
            args=(client, upstream, up),
            daemon=True,
        ).start()
        if faults.hold:
            self._hold_answer(client, upstream)
        else:
            self._pump(upstream, client, down, answers=True)

    def _take_cut(self, after: int) -> int:
        with self._lock:
            if after < 0 or self.faults.cuts <= 0:
                return -1
            self.faults.cuts -= 1
            return after

    def _pump(
        self,
        source: socket.socket,
        target: socket.socket,
        cut_after: int,
        *,
        answers: bool = False,
    ) -> None:
        left = cut_after
        with contextlib.suppress(OSError):
            if answers and not left:
                # Cut the answer, not the request that is still on its way.
                source.recv(1)
            while left:
                part = source.recv(_READ_BYTES)
                self._running.wait()
                if self.faults.delay_s:
                    time.sleep(self.faults.delay_s)
                if not part:
                    break
                if answers and self.faults.half_open:
                    continue
                if left > 0:
                    part = part[:left]
                    left -= len(part)
                target.sendall(part)
        _shut(source)
        _shut(target)

    def _hold_answer(
        self,
        client: socket.socket,
        upstream: socket.socket,
    ) -> None:
        """Collect a whole answer; send it after those that came later."""
        parts = []
        upstream.settimeout(_RELEASE_S)
        with contextlib.suppress(OSError):
            part = upstream.recv(_READ_BYTES)
            while part:
                parts.append(part)
                if _looks_complete(b''.join(parts)):
                    break
                part = upstream.recv(_READ_BYTES)
        answer = b''.join(parts)

        def release() -> None:  # noqa: WPS430
            with contextlib.suppress(OSError):
                client.sendall(answer)
            _shut(client)
            _shut(upstream)

        with self._lock:
            self._held.append(release)
            if len(self._held) < self.faults.hold:
                return
            ready = list(reversed(self._held))
            self._held = []
        for let_go in ready:
            let_go()


def _looks_complete(raw: bytes) -> bool:
    head, mark, body = raw.partition(b'\r\n\r\n')
    if not mark:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return body.endswith(b'0\r\n\r\n')


def _shut(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
