"""Reads calls of registered instances only.

Any client can connect to the port for peers. A call that is not read holds its
flow-control window and no message.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from grpc import StatusCode, aio

# Maximum time in seconds from a call to the entry of its instance in the store;
# an instance is told of new ones within a second.
_REGISTRATION_TIMEOUT_S = 3.0


class Registry(Protocol):
    """What is known of the registered instances."""

    def is_registered(self, host: str) -> bool:
        """Return whether an instance is or was registered at this address."""

    async def wait_for_change(self) -> None:
        """Return once other instances are registered."""


async def check_host(
    context: aio.ServicerContext[Any, Any], registry: Registry
) -> None:
    """Wait until the caller is a registered instance; else abort the call."""
    host = _host_of(context.peer())
    try:
        async with asyncio.timeout(_REGISTRATION_TIMEOUT_S):
            while not registry.is_registered(host):
                await registry.wait_for_change()
    except TimeoutError:
        await context.abort(
            StatusCode.PERMISSION_DENIED, 'not a registered instance'
        )


def _host_of(peer: str) -> str:
    """Return the IP address of a peer that gRPC names, `ipv4:HOST:PORT`."""
    return peer.partition(':')[2].rpartition(':')[0]
