"""Clients that do not behave in a fault run, at one listener at a time."""

from __future__ import annotations

import asyncio
import random

from .crowd_forms import Listener, forms_of
from .crowd_run import crowd_spec, run_crowd
from .soak_site import Site

_CALM_S = (0.2, 1.5)
_CROWD_S = (0.5, 3.0)
_MOST_CLIENTS = 8


async def send_crowds(site: Site, ends_at: float) -> None:
    """Send crowds, again and again, until this time."""
    rng = random.Random(site.rng.random())
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        await asyncio.sleep(rng.uniform(*_CALM_S))
        entry = rng.choice(site.fleet.entries)
        listener = rng.choice(list(Listener))
        name = rng.choice(sorted(forms_of(listener)))
        clients = rng.randint(1, _MOST_CLIENTS)
        site.faults.append(
            f'{loop.time():.2f} {clients} clients {listener} {name}'
        )
        form = forms_of(listener)[name]
        seconds = rng.uniform(*_CROWD_S)
        await run_crowd(crowd_spec(entry, listener, form, clients, seconds))
