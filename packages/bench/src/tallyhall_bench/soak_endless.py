"""Answers without end in a fault run, at a few upstreams at a time."""

from __future__ import annotations

import asyncio
import random

from tallyhall_standins.endless import ENDLESS_ANSWERS, EndlessEngine

from .soak_site import Site

_CALM_S = (0.2, 1.5)
_ENDLESS_S = (0.5, 3.0)
# Upstreams that answer without end at a time.
_MOST = 3


async def answer_endlessly(site: Site, ends_at: float) -> None:
    """Let upstreams answer without end, again and again, until this time."""
    rng = random.Random(site.rng.random())
    engines = [
        engine
        for engine in site.fleet.engines
        if isinstance(engine, EndlessEngine)
    ]
    forms = sorted(ENDLESS_ANSWERS)
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        await asyncio.sleep(rng.uniform(*_CALM_S))
        chosen = rng.sample(engines, rng.randint(1, _MOST))
        for engine in chosen:
            form = rng.choice(forms)
            engine.endless = ENDLESS_ANSWERS[form]
            site.faults.append(f'{loop.time():.2f} endless {form}')
        await asyncio.sleep(rng.uniform(*_ENDLESS_S))
        for bad in chosen:
            bad.endless = None
