"""Distinguishes a terminated upstream from a lost connection.

Connections may be reset, cut or fall silent while their upstream keeps
running. An upstream counts as terminated only if its address refuses
connections right after a connection to it was lost, also to other instances.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tallyhall_core.suspects import InterruptedRun
from tallyhall_dispatch.desired import Upstream

# Delay before an upstream is probed, in seconds. The connections of a process
# that terminates are lost within milliseconds of each other; the delay collects
# all of them.
_COLLECT_S = 0.005
# Timeout of a probe, in seconds. An upstream host refuses or accepts at once;
# one that does neither may be unreachable, and its requests must not wait
# longer than this.
_CONNECT_TIMEOUT_S = 0.2

EndCallback = Callable[[Upstream, tuple[InterruptedRun, ...]], None]
# Returns whether nothing listens at the address of an upstream, within about
# the given number of seconds.
RefusalCheck = Callable[[Upstream, float], Awaitable[bool]]


class TerminationProbe:
    """Probes upstreams whose connections were lost during requests."""

    def __init__(self, on_end: EndCallback, refuses: RefusalCheck) -> None:
        """Call `on_end` with a terminated upstream and the runs it had."""
        self._on_end = on_end
        self._refuses = refuses
        # Interrupted runs of each upstream that is being probed.
        self._lost: dict[str, list[InterruptedRun]] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}

    def record_connection_lost(
        self, upstream: Upstream, run: InterruptedRun
    ) -> None:
        """Record a run whose connection was lost and probe its upstream."""
        incarnation = upstream.incarnation
        self._lost.setdefault(incarnation, []).append(run)
        if incarnation in self._probes:
            return
        probe = asyncio.create_task(self._probe(upstream))
        self._probes[incarnation] = probe

    async def wait_for_probes(self, content: str) -> None:
        """Wait for the probes of all upstreams that ran this content."""
        probes = [
            self._probes[incarnation]
            for incarnation, runs in self._lost.items()
            if any(run.content == content for run in runs)
        ]
        if probes:
            await asyncio.wait(probes)

    async def _probe(self, upstream: Upstream) -> None:
        await asyncio.sleep(_COLLECT_S)
        has_ended = await self._refuses(upstream, _CONNECT_TIMEOUT_S)
        incarnation = upstream.incarnation
        runs = tuple(dict.fromkeys(self._lost.pop(incarnation)))
        self._probes.pop(incarnation)
        if has_ended:
            self._on_end(upstream, runs)
