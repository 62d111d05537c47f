"""Upstreams in a soak that answer uploads before they have read them.

Such an answer has no length and breaks off; no caller may get a part of it as a
whole answer.
"""

from __future__ import annotations

import contextlib
import itertools
import random
from collections.abc import AsyncIterator

from tallyhall_standins.early import PART, EarlyUpstream
from tallyhall_standins.platform_engine import entry_fields

from .platform_load import Caller, under_load
from .ports import HOST, free_ports
from .soak_site import EARLY, Site, Violation

_UPSTREAMS = 2
_SLOTS = 6
_PER_S = 6.0
_UPLOAD_BYTES = (5000, 60_000)


@contextlib.asynccontextmanager
async def early_upstreams(site: Site, seed: int) -> AsyncIterator[None]:
    """Run upstreams that break off under load, beside sound ones."""
    rng = random.Random(seed)
    for number in range(_UPSTREAMS):
        await site.fleet.add_engine(f'{EARLY}-sound-{number}', EARLY, _SLOTS)
    uploads = _Uploads(site, rng)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(_UPSTREAMS):
            port = free_ports(1)[0]
            upstream = EarlyUpstream()
            uploads.upstreams.append(upstream)
            await stack.enter_async_context(upstream.serving(HOST, port))
            fields = entry_fields(EARLY, f'{HOST}:{port}', _SLOTS)
            site.fleet.store.put(f'servers/{EARLY}-{number}', fields)
        async with under_load(uploads.ask, rng, _PER_S):
            yield


class _Uploads:
    """Uploads to the instances, past all links."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._numbers = itertools.count(1)
        # Those that break off.
        self.upstreams: list[EarlyUpstream] = []

    async def ask(self) -> None:
        """Send an upload and check what comes."""
        entry = self._rng.choice(self._site.fleet.entries)
        tried = await Caller(self._rng).ask(
            entry.name,
            entry.front,
            EARLY,
            f'e{next(self._numbers)}',
            streams=False,
            body=bytes(self._rng.randint(*_UPLOAD_BYTES)),
        )
        self._site.uploads += 1
        if tried.whole and PART in tried.body:
            delays_s = [
                upstream.delays_s.get(tried.request_id)
                for upstream in self.upstreams
            ]
            detail = f'{tried.request_id}, reset after {delays_s} s'
            self._site.violations.append(Violation('whole answers', detail))
