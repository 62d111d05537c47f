"""Single messages between instances, without a stream between them.

In a large fleet an instance keeps streams to a few hubs only. Datagrams reach
any instance without a connection; they may be lost, repeated or reordered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tallyhall_dispatch.options import Listening

Receive = Callable[[bytes, Listening], None]


class DatagramPort(asyncio.DatagramProtocol):
    """Sends and receives datagrams at one address."""

    def __init__(self) -> None:
        """Drop everything until the port is open."""
        # Called with each datagram and its sender.
        self.on_datagram: Receive = _ignore
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, place: Listening) -> None:
        """Open the port; raise OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(place.host, place.port)
        )
        self._transport = endpoint[0]

    def send(self, payload: bytes, place: Listening) -> None:
        """Send a datagram; a failure is a loss."""
        if self._transport is not None:
            self._transport.sendto(payload, (place.host, place.port))

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    # -- called by the event loop

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on."""
        host, port = addr[:2]
        self.on_datagram(data, Listening(host, port))

    def error_received(self, exc: Exception) -> None:
        """Ignore that nothing listens at an address."""


def _ignore(payload: bytes, sender: Listening) -> None:
    """Drop a datagram."""
