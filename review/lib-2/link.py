"""A loopback proxy between one instance and one engine or peer."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """Passes bytes on, until it is cut.

    refuse: new connections find nothing that listens, open ones are reset.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        # Ends of connections that swallow what they get.
        self.silent: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        self.port = port
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', port)

    def refuse(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self) -> None:
        """Reset the open connections; new ones work at once."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self.silent.update(self.writers)

    async def restore(self) -> None:
        if self.server is None:
            await self.listen(self.port)

    async def _serve(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self.target
            )
        except OSError:
            writer.transport.abort()
            return
        both = (writer, far_writer)
        self.writers.update(both)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, both),
                self._pump(far_reader, writer, both),
            )
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.difference_update(both)
            self.silent.difference_update(both)

    async def _pump(self, reader, writer, both) -> None:
        try:
            while data := await reader.read(65536):
                if writer in self.silent:
                    continue
                writer.write(data)
                await writer.drain()
            if writer in self.silent:
                return
            # The end of one direction ends the other after what is on its way.
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
        except (ConnectionError, OSError):
            for one in both:
                one.transport.abort()
