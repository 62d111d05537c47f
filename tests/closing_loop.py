"""An event loop that leaves no open connection behind when it is closed.

A `StreamWriter` that is collected after its loop was closed raises. Where that
happens while a module is parsed, the report of it parses another one, and
Python 3.11 fails with a SystemError in whatever test comes next.
"""

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class ClosingLoop(asyncio.SelectorEventLoop):
    """Aborts all connections before it closes."""

    def close(self) -> None:
        """Abort what is still open, then close."""
        transports = _open_transports(self)
        if transports and not self.is_closed():
            for transport in transports:
                transport.abort()
            self.run_until_complete(asyncio.sleep(0))
        super().close()


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine on the real clock and return its result."""
    with asyncio.Runner(loop_factory=ClosingLoop) as runner:
        return runner.run(main)


def _open_transports(
    loop: asyncio.AbstractEventLoop,
) -> Collection[asyncio.Transport]:
    # The loop knows its transports by descriptor, and tells nobody.
    known = loop.__dict__['_transports'].values()
    return [transport for transport in known if not transport.is_closing()]
