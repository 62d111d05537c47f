"""Imports the gRPC library in a thread, once callers can be answered.

The import takes 50 ms of processor time, a third of the start of an instance.
In a thread it does not keep callers from being answered.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .streams import GrpcStreams

# Switch interval of the interpreter during the import, in seconds. Each wake-up
# of the event loop waits for the importing thread to yield: 0.8 ms instead of
# 1.6 ms with the default of 5 ms (mean of 38 to 57 wake-ups, three runs each).
_LOADING_SWITCH_INTERVAL_S = 0.0005
# Read once, so that the default is restored even if two imports overlap.
_DEFAULT_SWITCH_INTERVAL_S = sys.getswitchinterval()
_STREAMS_MODULE = f'{__package__}.streams'


async def load_streams() -> type[GrpcStreams]:
    """Return the Streams class, importing it on the first call."""
    if _STREAMS_MODULE in sys.modules:
        return _import_streams()
    loop = asyncio.get_running_loop()
    sys.setswitchinterval(_LOADING_SWITCH_INTERVAL_S)
    try:
        return await loop.run_in_executor(None, _import_streams)
    finally:
        sys.setswitchinterval(_DEFAULT_SWITCH_INTERVAL_S)


def _import_streams() -> type[GrpcStreams]:
    from .streams import GrpcStreams as Loaded  # noqa: PLC0415, WPS433

    return Loaded
