"""Upstream processes in a soak that are stopped and continued by signals.

They reject a share of what arrives, and read what came meanwhile when they go
on. The retries that reach them must stay within the budget of their service.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
from collections.abc import AsyncIterator

from .platform_fleet import RETRY_LIMITS, restart_together
from .platform_load import Caller, end_tasks, under_load
from .retry_checks import arrived_retries, fullest_window
from .soak_site import PAUSING, Site, Violation
from .upstream_processes import UpstreamProcess, upstream_processes

_UPSTREAMS = 4
_SLOTS = 6
_WORK_S = 0.02
_REJECTED = 0.3
_PER_S = 15.0
_CALM_S = (0.2, 2.5)
_PAUSED_S = (0.3, 5.0)
# How often all instances are lost in one pause at most.
_MOST_LOSSES = 3
_DOWN_S = 0.2


@contextlib.asynccontextmanager
async def pausing_upstreams(
    site: Site, seed: int, seconds: float
) -> AsyncIterator[None]:
    """Run upstream processes under load and pauses; check them at the end.

    seconds: how long instances are lost, if they are.
    """
    async with upstream_processes(
        site.fleet,
        PAUSING,
        _UPSTREAMS,
        _SLOTS,
        seed=seed,
        work_s=_WORK_S,
        rejected=_REJECTED,
    ) as upstreams:
        pauses = _Pauses(site, upstreams, seed, seconds)
        async with pauses.running():
            yield
        pauses.check()


class _Pauses:
    """The upstreams of the service, and what was asked of them."""

    def __init__(
        self,
        site: Site,
        upstreams: list[UpstreamProcess],
        seed: int,
        seconds: float,
    ) -> None:
        self._site = site
        self._upstreams = upstreams
        self._rng = random.Random(seed)
        # Draws of its own, so that the pauses of a seed stay the same.
        self._losses_rng = random.Random(seed)
        self._requests: list[float] = []
        self._numbers = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._losses_end_at = self._loop.time() + seconds

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ask, stop and continue; all go on at the end."""
        load = under_load(self._ask, self._rng, _PER_S)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._continue_all)
            pausing = asyncio.create_task(self._pause())
            stack.push_async_callback(end_tasks, pausing)
            await stack.enter_async_context(load)
            yield

    def check(self) -> None:
        """Check that the retries that arrived stayed within the budget."""
        retries = arrived_retries(self._upstreams)
        worst = fullest_window(retries, self._requests, RETRY_LIMITS)
        self._site.late_retries += len(retries)
        if worst.is_exceeded:
            detail = f'{PAUSING}: {worst}'
            self._site.violations.append(Violation('retry budget', detail))

    def _continue_all(self) -> None:
        for upstream in self._upstreams:
            upstream.send(signal.SIGCONT)

    async def _ask(self) -> None:
        self._requests.append(self._loop.time())
        number = self._rng.randrange(len(self._site.fronts))
        await Caller(self._rng).ask(
            self._site.fleet.entries[number].name,
            self._site.fronts[number],
            PAUSING,
            f'p{next(self._numbers)}',
            streams=False,
        )

    async def _pause(self) -> None:
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(*_CALM_S))
            count = rng.randint(1, _UPSTREAMS)
            for_s = rng.uniform(*_PAUSED_S)
            self._site.faults.append(
                f'{self._loop.time():.2f} pause {count} {for_s:.2f}'
            )
            chosen = rng.sample(self._upstreams, count)
            pauses = [one.pause(for_s) for one in chosen]
            if self._site.troubles.losses:
                pauses.append(self._lose_all(for_s))
            await asyncio.gather(*pauses)

    async def _lose_all(self, within_s: float) -> None:
        """Kill all instances, again and again within this time at random."""
        times = self._losses_rng.randrange(_MOST_LOSSES + 1)
        for _ in range(times):
            await asyncio.sleep(within_s / (times + 1))
            if self._loop.time() > self._losses_end_at:
                return
            self._site.faults.append(f'{self._loop.time():.2f} lose all')
            entries = self._site.fleet.entries
            await restart_together(entries, signal.SIGKILL, _DOWN_S)
