"""Ports of the loopback address for runs side by side on one machine.

A port that was drawn is opened later, often by another process. It must
neither be drawn by another run nor used for an outgoing connection
meanwhile: ports come from below the kernel's range, in blocks, and a block
belongs to the process that holds its marker, an abstract socket that ends
with the process and is seen wherever the ports are.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

HOST = '127.0.0.1'
# Below 32768, from which the kernel draws ports; above those of services.
_FIRST = 10_000
_AFTER = 32_500
# One run of tests/platform and tests/unit draws from 12 blocks of the 90.
_BLOCK = 250


class NoPortError(RuntimeError):
    """All ports are drawn, by this process or others."""


class Ports:
    """The ports of this process, each drawn once."""

    def __init__(self) -> None:
        """Hold no block yet."""
        self._markers: list[socket.socket] = []
        self._ports = self._all()

    def draw(self) -> int:
        """Return a port at which nobody listens; raise NoPortError."""
        port = self._next_free()
        if port is None:
            # Other processes may have ended since the last look.
            self._ports = self._all()
            port = self._next_free()
        if port is None:
            raise NoPortError(f'no port is left below {_AFTER}')
        return port

    def _next_free(self) -> int | None:
        return next(filter(_is_free, self._ports), None)

    def _all(self) -> Iterator[int]:
        for first in range(_FIRST, _AFTER, _BLOCK):
            if self._claim(first):
                yield from range(first, first + _BLOCK)

    def _claim(self, first: int) -> bool:
        marker = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            marker.bind(f'\0tallyhall-ports-{first}')
        except OSError:
            marker.close()
            return False
        self._markers.append(marker)
        return True


_OWN = Ports()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody else draws while this process runs."""
    return [_OWN.draw() for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
