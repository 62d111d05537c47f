"""One request of a fault run ends each upstream that begins to run it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from .mortal import FATAL, MortalUpstreams
from .platform_load import Caller
from .soak_site import EVENTS, FRAIL, INSTANCES, Site, Violation

_UPSTREAMS = 5
_PAUSE_S = 0.15
# As many as may end before all that are in touch must know, and as many
# retries as may reach upstreams afterwards.
_BORNE = 3
_RETRIED = 3
# Faults in which an instance may lose, or not hear, what one saw last.
HIDING = frozenset(
    (
        'kill',
        'kill_all',
        'pause',
        'peer_link',
        'stop',
        'store',
        'store_link',
    ),
)
_OK = 200
# Usual requests of the same service at the end, and how many are served.
_FINAL_REQUESTS = 10
_FINAL_SERVED = 8


@contextlib.asynccontextmanager
async def frail_upstreams(site: Site) -> AsyncIterator[None]:
    """Have upstreams that end under the request, and check them at the end."""
    frail = MortalUpstreams(site.fleet.store, FRAIL)
    await frail.start(_UPSTREAMS, events=EVENTS)
    try:
        yield
        site.ended = frail.ended
        await _check_frail(site)
    finally:
        frail.close()


async def ask_fatal(site: Site, seed: int) -> None:
    """Ask the same again and again, each time anew and at any instance."""
    rng = random.Random(seed)
    caller = Caller(rng)
    serial = 0
    while True:
        serial += 1
        await _ask(site, caller, rng.randrange(INSTANCES), f'f{serial}', FATAL)
        await asyncio.sleep(_PAUSE_S)


async def _check_frail(site: Site) -> None:
    """Check how many ended, and that usual requests are served."""
    hidden = sum(fault.split()[1] in HIDING for fault in site.faults)
    if site.ended > _BORNE + _RETRIED + hidden:
        detail = f'{site.ended} upstreams, {hidden} faults that hide ends'
        site.violations.append(Violation('ended under one request', detail))
    caller = Caller(site.rng)
    served = 0
    for serial in range(_FINAL_REQUESTS):
        chosen = serial % INSTANCES
        request_id = f'frail-{serial}'
        served += await _ask(site, caller, chosen, request_id, b'usual')
    if served < _FINAL_SERVED:
        detail = f'{served} of {_FINAL_REQUESTS} usual ones at the end'
        site.violations.append(Violation('innocent refused', detail))


async def _ask(
    site: Site,
    caller: Caller,
    chosen: int,
    request_id: str,
    body: bytes,
) -> bool:
    tried = await caller.ask(
        site.fleet.entries[chosen].name,
        site.fronts[chosen],
        FRAIL,
        request_id,
        streams=True,
        body=body,
    )
    return tried.status == _OK and tried.whole
