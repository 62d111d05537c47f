"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from tallyhall_dispatch.options import Listening

_READ_BYTES = 65_536


@enum.unique
class LinkFault(enum.Enum):
    """What the link does to bytes.

    up_cut and down_cut swallow one direction; silent both, on the
    connections that are open, while new ones work; unanswered both, also on
    new ones. refused resets new connections, while open ones work.
    """

    none = 'none'
    delayed = 'delayed'
    up_cut = 'up_cut'
    down_cut = 'down_cut'
    silent = 'silent'
    refused = 'refused'
    unanswered = 'unanswered'


class _Pipe:
    """One connection through the link."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.writers = writers
        self.silenced = False

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultyLink:
    """Forwards connections from its own address to a target."""

    def __init__(self, target: Listening) -> None:
        """Forward soundly until told otherwise."""
        self.fault = LinkFault.none
        self.delay_s: float = 0.05
        self._target = target
        self._place: Listening | None = None
        self._pipes: set[_Pipe] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, place: Listening) -> None:
        """Open the link's own address."""
        self._place = place
        self._server = await asyncio.start_server(
            self._accept,
            place.host,
            place.port,
        )

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pipe in tuple(self._pipes):
            pipe.reset()

    def silence_open(self) -> None:
        """Let the open connections fall silent for good."""
        for pipe in self._pipes:
            pipe.silenced = True

    def close(self) -> None:
        """Close everything: new connections find nothing that listens."""
        self.reset_all()
        if self._server is not None:
            self._server.close()

    async def reopen(self) -> None:
        """Listen again at the link's address after `close`."""
        if self._place is not None:
            await self.listen(self._place)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault is LinkFault.refused:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host,
                self._target.port,
            )
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe((writer, far_writer))
        self._pipes.add(pipe)
        # The run's end cancels what still waits for bytes.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(pipe, reader, far_writer, LinkFault.up_cut),
                self._pump(pipe, far_reader, writer, LinkFault.down_cut),
            )
        self._pipes.discard(pipe)

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            passes = True
            while passes:
                passes = await self._pass_on(pipe, reader, writer, cut)
            if not self._swallows(pipe, cut):
                writer.close()
            return
        pipe.reset()

    async def _pass_on(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> bool:
        payload = await reader.read(_READ_BYTES)
        if not payload:
            return False
        if self.fault is LinkFault.delayed:
            await asyncio.sleep(self.delay_s)
        if not self._swallows(pipe, cut):
            writer.write(payload)
            await writer.drain()
        return True

    def _swallows(self, pipe: _Pipe, cut: LinkFault) -> bool:
        return pipe.silenced or self.fault in {cut, LinkFault.unanswered}
