"""Loads the library of the streams once callers can be answered.

It takes 50 ms of processor time, a third of a start. A thread loads it, so
that callers are answered meanwhile.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .streams import Streams

# The library is loaded in turns of this length, in seconds: each wake-up of the
# loop waits for the end of one, 0.8 ms in place of 1.6 with the interpreter's
# usual 5 ms (mean of 38 to 57 wake-ups, three runs each).
_LOADING_TURN_S = 0.0005
# Put back by whoever has loaded it, also where two load it at a time.
_USUAL_TURN_S = sys.getswitchinterval()
_STREAMS = f'{__package__}.streams'


async def load_streams() -> type[Streams]:
    """Return the class of the streams, which the first call loads."""
    if _STREAMS in sys.modules:
        return _imported()
    loop = asyncio.get_running_loop()
    sys.setswitchinterval(_LOADING_TURN_S)
    try:
        return await loop.run_in_executor(None, _imported)
    finally:
        sys.setswitchinterval(_USUAL_TURN_S)


def _imported() -> type[Streams]:
    from .streams import Streams as Loaded  # noqa: PLC0415, WPS433

    return Loaded
