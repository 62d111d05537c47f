"""An event loop whose clock includes the time the machine is suspended."""

from __future__ import annotations

import asyncio
import time


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock keeps running while the machine is suspended.

    The default monotonic clock does not include that time: after a suspension
    API keys, quotas, entries and peer reports would seem as fresh as before.
    """

    def time(self) -> float:
        """Return the seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
