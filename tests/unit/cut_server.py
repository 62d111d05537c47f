"""A server whose answers end after a number of bytes."""

import contextlib
import socket
import struct
import threading
from collections.abc import Iterator

_HOST = '127.0.0.1'
_REQUEST_BYTES = 65_536
_RESET = struct.pack('ii', 1, 0)


class CutServer:
    """Sends the same bytes on each connection and closes it."""

    def __init__(self, sock: socket.socket) -> None:
        """Answer on a listening socket."""
        self.answer = b''
        self.resets = False
        self._sock = sock

    @property
    def address(self) -> str:
        """Return its host and port."""
        return f'{_HOST}:{self._sock.getsockname()[1]}'

    def run(self) -> None:
        """Answer until the socket is closed."""
        with contextlib.suppress(OSError):
            while self._sock.fileno() >= 0:
                conn, _ = self._sock.accept()
                with conn, contextlib.suppress(OSError):
                    self._answer(conn)

    def _answer(self, conn: socket.socket) -> None:
        conn.recv(_REQUEST_BYTES)
        conn.sendall(self.answer)
        if self.resets:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


@contextlib.contextmanager
def cut_server() -> Iterator[CutServer]:
    """Run a server in a thread of this process."""
    with socket.create_server((_HOST, 0)) as sock:
        server = CutServer(sock)
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        yield server
        sock.shutdown(socket.SHUT_RDWR)
    thread.join()
