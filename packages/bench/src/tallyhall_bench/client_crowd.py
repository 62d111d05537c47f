"""A crowd of clients that do not behave, as a process of its own.

Each client keeps one connection open and sends as fast as it is read. A client
whose connection is closed comes back. The crowd ends by itself.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections.abc import Iterator

import msgspec

_READ_BYTES = 65_536
# What one client sends over and over, at least so many bytes.
_ROUND_BYTES = 65_536
# Time in seconds after which a client whose connection was closed comes back.
_RETURN_S = 0.05
_POLL_S = 0.02


class Form(msgspec.Struct, frozen=True):
    """What each client sends.

    opening: sent once on each connection. repeated: sent without end after
    that, with `%d` replaced by a serial number; nothing if it is empty.
    pause_s: between two sends of `piece` bytes; 0 to send as fast as it is
    read. reads: whether answers are read.
    """

    opening: bytes = b''
    repeated: bytes = b''
    pause_s: float = 0
    piece: int = _ROUND_BYTES
    reads: bool = False


class CrowdSpec(msgspec.Struct, frozen=True):
    """What a crowd does.

    port: on the loopback address. source: the address it comes from.
    """

    port: int
    clients: int
    seconds: float
    source: str
    form: Form


class _Client:
    """One connection of a client, without blocking."""

    def __init__(self, spec: CrowdSpec, serials: Iterator[int]) -> None:
        self.sock: socket.socket | None = None
        self._spec = spec
        self._serials = serials
        self._unsent = b''
        self._due_at: float = 0

    def connect(self, selector: selectors.BaseSelector, now: float) -> None:
        """Open a connection if it is time to."""
        if now < self._due_at:
            return
        sock = socket.socket()
        sock.bind((self._spec.source, 0))
        sock.setblocking(False)
        sock.connect_ex(('127.0.0.1', self._spec.port))
        self.sock = sock
        self._unsent = self._spec.form.opening
        selector.register(sock, self._events, self)

    def close(self, selector: selectors.BaseSelector, due_at: float) -> None:
        """Close the connection; another one is due at this time."""
        sock = self.sock
        if sock is None:
            return
        selector.unregister(sock)
        sock.close()
        self.sock = None
        self._due_at = due_at

    def read(self) -> bool:
        """Read what there is; return whether the connection is open."""
        assert self.sock is not None  # noqa: S101
        try:
            return bool(self.sock.recv(_READ_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, now: float) -> bool:
        """Send what the server takes; return whether the connection is open."""
        assert self.sock is not None  # noqa: S101
        if now < self._due_at:
            return True
        if not self._unsent:
            self._unsent = self._next_round()
        try:
            sent = self.sock.send(self._unsent[: self._spec.form.piece])
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._unsent = self._unsent[sent:]
        self._due_at = now + self._spec.form.pause_s
        return True

    @property
    def _events(self) -> int:
        events = selectors.EVENT_READ if self._spec.form.reads else 0
        if self._spec.form.opening or self._spec.form.repeated:
            events |= selectors.EVENT_WRITE
        # Something must be waited for; a silent client sees only the end.
        return events or selectors.EVENT_READ

    def _next_round(self) -> bytes:
        message = self._spec.form.repeated
        if not message:
            return b''
        count = 1 + _ROUND_BYTES // len(message)
        if b'%d' not in message:
            return message * count
        return b''.join(message % next(self._serials) for _ in range(count))


def run_crowd(spec: CrowdSpec) -> None:
    """Send until the time of the crowd is over."""
    selector = selectors.DefaultSelector()
    serials = iter(range(sys.maxsize))
    clients = [_Client(spec, serials) for _ in range(spec.clients)]
    form = spec.form
    ends_at = time.monotonic() + spec.seconds
    while time.monotonic() < ends_at:
        _connect_absent(clients, selector)
        for key, events in selector.select(_POLL_S):
            _serve(key.data, events, selector)
        if not form.repeated or form.pause_s:
            time.sleep(form.pause_s / 2 or _POLL_S)
    for client in clients:
        client.close(selector, ends_at)


def _connect_absent(
    clients: list[_Client], selector: selectors.BaseSelector
) -> None:
    now = time.monotonic()
    for client in clients:
        if client.sock is None:
            client.connect(selector, now)


def _serve(
    client: _Client,
    events: int,
    selector: selectors.BaseSelector,
) -> None:
    now = time.monotonic()
    is_open = True
    if events & selectors.EVENT_READ:
        is_open = client.read()
    if is_open and events & selectors.EVENT_WRITE:
        is_open = client.send(now)
    if not is_open:
        client.close(selector, now + _RETURN_S)


def main() -> int:
    """Run the crowd that the first argument describes."""
    run_crowd(msgspec.json.decode(sys.argv[1], type=CrowdSpec))
    return 0


if __name__ == '__main__':
    sys.exit(main())
