"""The clock by which an instance judges how old something is."""

from __future__ import annotations

import asyncio
import time


class SinceBootLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while its machine is suspended.

    The usual steady clock does not count that time: after a suspension keys,
    quotas, entries and what others told would be held for as fresh as before.
    """

    def time(self) -> float:
        """Return the seconds since boot, with those of suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
