"""A loopback proxy of datagrams; it loses them while its link has a fault."""

from __future__ import annotations

import asyncio
import functools

from tallyhall_dispatch.options import Listening
from tallyhall_transport.datagrams import DatagramPort

from .faulty_link import FaultyLink, LinkFault


class DatagramLink:
    """Forwards datagrams between its own address and a target."""

    def __init__(self, link: FaultyLink, target: Listening) -> None:
        """Lose datagrams while this link, of the same address, has a fault."""
        self._link = link
        self._target = target
        self._outer = DatagramPort()
        # By sender, the port from which its datagrams are forwarded.
        self._inner: dict[Listening, DatagramPort] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, place: Listening) -> None:
        """Open the link's own address."""
        self._outer.on_datagram = self._on_datagram
        await self._outer.listen(place)

    def close(self) -> None:
        """Close all ports."""
        for port in (self._outer, *self._inner.values()):
            port.close()

    def _on_datagram(self, payload: bytes, sender: Listening) -> None:
        task = asyncio.create_task(self._forward(payload, sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, payload: bytes, sender: Listening) -> None:
        port = self._inner.get(sender)
        if port is None:
            port = DatagramPort()
            self._inner[sender] = port
            port.on_datagram = functools.partial(self._return, sender)
            await port.listen(Listening(self._target.host, 0))
        if self._link.fault is LinkFault.none:
            port.send(payload, self._target)

    def _return(
        self, sender: Listening, payload: bytes, target: Listening
    ) -> None:
        if self._link.fault is LinkFault.none:
            self._outer.send(payload, sender)
