"""Tells the end of an upstream from a connection that was lost.

Connections are reset, cut and go silent while their upstreams run on. Only
where nothing listens any more right after a connection was lost has the
upstream ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tallyhall_core.suspects import EndedRun
from tallyhall_dispatch.desired import Upstream

from .client import ClientConnection
from .errors import NotSentError

# The connections of a process that ends are lost within milliseconds of each
# other, in seconds.
_GATHER_S = 0.005
# An upstream refuses or accepts at once; one that does neither may be cut off,
# and its requests do not wait for longer.
_CONNECT_S = 0.2

OnEnd = Callable[[Upstream, tuple[EndedRun, ...]], None]


class EndProbe:
    """Looks at upstreams on which requests lost their connections."""

    def __init__(self, on_end: OnEnd) -> None:
        """Call `on_end` for an upstream that has ended, with what it ran."""
        self._on_end = on_end
        # What was lost at each upstream that is being looked at.
        self._lost: dict[str, list[EndedRun]] = {}
        self._looks: dict[str, asyncio.Task[None]] = {}

    def lost(self, upstream: Upstream, run: EndedRun) -> None:
        """Take that the connection of a run was lost."""
        incarnation = upstream.incarnation
        self._lost.setdefault(incarnation, []).append(run)
        if incarnation in self._looks:
            return
        look = asyncio.create_task(self._look(upstream))
        self._looks[incarnation] = look

    async def settle(self, content: str) -> None:
        """Wait until it is known whether an upstream has ended under it."""
        looks = [
            self._looks[incarnation]
            for incarnation, runs in self._lost.items()
            if any(run.content == content for run in runs)
        ]
        if looks:
            await asyncio.wait(looks)

    async def _look(self, upstream: Upstream) -> None:
        await asyncio.sleep(_GATHER_S)
        has_ended = await _refuses(upstream)
        incarnation = upstream.incarnation
        runs = tuple(dict.fromkeys(self._lost.pop(incarnation)))
        self._looks.pop(incarnation)
        if has_ended:
            self._on_end(upstream, runs)


async def _refuses(upstream: Upstream) -> bool:
    """Return whether nothing listens at the address of an upstream."""
    try:
        conn = await ClientConnection.open(
            upstream.host,
            upstream.port,
            _CONNECT_S,
        )
    except NotSentError as exc:
        return isinstance(exc.__cause__, ConnectionRefusedError)
    conn.close()
    return False
