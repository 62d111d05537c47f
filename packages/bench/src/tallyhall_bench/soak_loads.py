"""Upstreams on shared machines in a fault run, and wrong load reports."""

from __future__ import annotations

import asyncio
import random

from tallyhall_standins.engine_load import EngineLoad, LoadFault, SlowPhases

from .scrape import load_reports, scrape
from .soak_checks import check_recovery
from .soak_site import Site, Violation

# As in docs/HARD-LOAD.md: a sixth of the upstreams is slowed at any moment.
_SLOWED_SHARE = 0.17
_SLOWED_S = 0.6
_SLOTS = 4
# Number of upstreams whose reports are wrong at the same time.
_WRONG = 3


def share_machines(site: Site, seed: int) -> None:
    """Slow all upstreams from time to time and let them report it."""
    rng = random.Random(seed)
    for engine in site.fleet.engines:
        phases = SlowPhases(
            random.Random(rng.random()), _SLOWED_SHARE, _SLOWED_S
        )
        engine.load = EngineLoad(_SLOTS, phases)


async def report_wrongly(site: Site, seed: int) -> None:
    """Let some upstreams report wrong loads until cancelled."""
    rng = random.Random(seed)
    wrong = [fault for fault in LoadFault if fault is not LoadFault.none]
    while True:
        engines = rng.sample(site.fleet.engines, _WRONG)
        for engine in engines:
            engine.load.fault = rng.choice(wrong)
        try:
            await asyncio.sleep(rng.uniform(0.2, 3))
        finally:
            for changed in engines:
                changed.load.fault = LoadFault.none


async def check_sharing(site: Site) -> None:
    """Check recovery, and that owners are told of reports meanwhile."""
    before = await _told(site)
    await check_recovery(site)
    if await _told(site) <= before:
        site.violations.append(Violation('load reports', 'no owner was told'))


async def _told(site: Site) -> float:
    scraped = [await scrape(entry.metrics) for entry in site.fleet.entries]
    return sum(load_reports(metrics, 'told') for metrics in scraped)
