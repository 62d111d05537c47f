"""An event loop whose clock stands still while callbacks run.

A test and the product under test share one process, so a busy machine stops
both at once: a timeout of the product and the bound of the test then expire
together. On this loop a process that was not scheduled for a while sees hardly
any time pass.
"""

import asyncio
import enum
import selectors
import time
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from tests.closing_loop import ClosingLoop

_Ready = list[tuple[selectors.SelectorKey, int]]

# The same in each run, so that simulations repeat exactly, in seconds.
_STARTED_AT = 1000.0


class Outside(enum.Enum):
    """What works while the loop waits, and so how its clock passes."""

    nothing = enum.auto()
    """Only timers are waited for: the clock jumps to the next one."""

    sockets = enum.auto()
    """Small messages on loopback: it jumps once none arrives any more."""

    threads = enum.auto()
    """Threads, full socket buffers, constant load: it follows the real clock,
    but for the time in which the process was not scheduled."""


# Longest look at the sockets at a time, in seconds of real time: small messages
# have arrived by then.
_LOOK_S = {Outside.nothing: 0, Outside.sockets: 0.001, Outside.threads: 0.01}
# What one look counts, in seconds, so that a loop that never waits sees time
# pass as well.
_TICK_S = {Outside.nothing: 0, Outside.sockets: 1e-5, Outside.threads: 0}
# Most that counts between two looks if the real clock is followed, in seconds.
_STALL_S = 0.02


class PausedLoop(ClosingLoop):
    """An event loop with a clock of its own, in seconds."""

    def __init__(self) -> None:
        """Create a loop for tests with sockets."""
        self._clock = _PausedSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        return self._clock.now

    def wait_for(self, outside: Outside) -> None:
        """Set what works while the loop waits."""
        self._clock.outside = outside


def run(main: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine on a paused loop, and its wall clock with it."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        loop = runner.get_loop()
        ahead_s = time.time() - loop.time()
        with mock.patch.object(time, 'time', lambda: loop.time() + ahead_s):
            runner.run(main)


def wait_for(outside: Outside) -> None:
    """Set what works while the running loop waits, if it is a paused one."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, PausedLoop):
        loop.wait_for(outside)


class _PausedSelector(selectors.DefaultSelector):
    """Moves a clock on as the loop waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _STARTED_AT
        self.outside = Outside.sockets
        self._looked_at = time.monotonic()

    def select(self, timeout: float | None = None) -> _Ready:
        ready = super().select(0)
        self._follow()
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return super().select()
        ends_at = self.now + timeout
        while not ready and self.now < ends_at:
            left_s = ends_at - self.now
            ready = super().select(min(left_s, _LOOK_S[self.outside]))
            self._follow()
            if not ready and self.outside is not Outside.threads:
                self.now = ends_at
        return ready

    def _follow(self) -> None:
        looked_at = time.monotonic()
        self.now += _TICK_S[self.outside]
        if self.outside is Outside.threads:
            self.now += min(looked_at - self._looked_at, _STALL_S)
        self._looked_at = looked_at
