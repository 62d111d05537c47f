"""Upstreams of several versions in a soak: they come and leave all the while.

Callers take broken streams up at any instance; some name streams that never
were, or those of others. No stream may hold events of two versions.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator

from tallyhall_standins.platform_engine import EngineFault

from .platform_load import Caller, Resume, end_tasks, keep_calling
from .soak_site import VERSIONED, Site, Violation
from .stream_callers import StreamCallers

_VERSIONS = ('v1', 'v2', 'v3')
_MAX_UPSTREAMS = 6
_SLOTS = 6
_EVENTS = 20
_EVENT_S = 0.03
_PER_S = 12.0
_FALSE_PER_S = 2.0
_GAP_S = 0.7
_BROKEN_PART = 0.3


class _Versions:
    """The upstreams of the service, and what its callers got."""

    def __init__(self, site: Site, seed: int) -> None:
        self.rng = random.Random(seed)
        self.site = site
        self.versions: dict[str, str] = {}
        self.serving: set[str] = set()
        self.callers = StreamCallers(
            site.fleet.entries, self.rng, VERSIONED, self.serving_with
        )
        self._numbers = itertools.count(1)

    def serving_with(self, name: str) -> set[str]:
        """Return the serving upstreams that have the version of one."""
        version = self.versions[name]
        return {one for one in self.serving if self.versions[one] == version}

    async def add(self, version: str) -> None:
        """Start an upstream of a version."""
        name = f'{version}-{next(self._numbers)}'
        engine = await self.site.fleet.add_engine(
            name,
            VERSIONED,
            _SLOTS,
            version=version,
            events=_EVENTS,
            event_s=_EVENT_S,
        )
        engine.tag = f'@{name}'
        engine.draw = self._draw
        self.versions[name] = version
        self.serving.add(name)

    async def change(self) -> None:
        """Let upstreams come, end and leave; at times one version is left."""
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * _GAP_S))
            if len(self.serving) < self.rng.randint(1, _MAX_UPSTREAMS):
                await self.add(self.rng.choice(_VERSIONS))
                continue
            name = self.rng.choice(sorted(self.serving))
            self.serving.discard(name)
            if self.rng.randrange(2):
                self.site.fleet.end_engine(name)
            else:
                await self.site.fleet.drain_engine(name, _GAP_S)

    async def ask_falsely(self) -> None:
        """Take up a stream that never was, or one that has not begun."""
        number = self.rng.randrange(2 * len(self.callers.streams) + 1)
        resume = Resume(f'{number:016x}', self.rng.randrange(1, _EVENTS))
        entry = self.rng.choice(self.site.fleet.entries)
        await Caller(self.rng).ask(
            entry.name,
            entry.front,
            VERSIONED,
            f'false-{next(self._numbers)}',
            streams=True,
            headers=resume.headers,
        )

    def check(self) -> None:
        """Record streams that hold events of two versions."""
        for stream in self.callers.streams:
            held = {self.versions[maker] for maker in stream.makers}
            if len(held) > 1:
                detail = f'{stream.request_id} {stream.makers}'
                self.site.violations.append(Violation('two versions', detail))

    def _draw(self, target: str, running: int) -> EngineFault:
        """Break some streams, which then go on within their answer."""
        is_broken = self.rng.random() < _BROKEN_PART
        return EngineFault.breaks_between if is_broken else EngineFault.none


@contextlib.asynccontextmanager
async def versioned_upstreams(site: Site, seed: int) -> AsyncIterator[None]:
    """Run the service while the context lasts, then check its streams."""
    versions = _Versions(site, seed)
    for version in _VERSIONS[:2]:
        await versions.add(version)
        await versions.add(version)
    work = (
        keep_calling(versions.callers.call, versions.rng, _PER_S),
        keep_calling(versions.ask_falsely, versions.rng, _FALSE_PER_S),
        versions.change(),
    )
    tasks = [asyncio.create_task(one) for one in work]
    yield
    await end_tasks(*tasks)
    versions.check()
    streams = versions.callers.streams
    site.streams = sum(stream.began for stream in streams)
    site.taken_up = sum(
        take.went_on for stream in streams for take in stream.taken_up
    )
