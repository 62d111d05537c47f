"""Resets of the connections between instances in a soak, in numbers.

Those that others have opened to one instance are reset; those that it has
opened itself stay. Whatever was on its way to it is lost.
"""

from __future__ import annotations

import asyncio
import random

from .soak_site import Site

_EVERY_S = (0.1, 1.0)
# How long the same instance loses its connections again and again, in seconds.
_SAME_S = (1.0, 4.0)


async def reset_peers(site: Site, seed: int, ends_at: float) -> None:
    """Reset connections to one instance after the other until this time."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        link = rng.choice(site.peer_links)
        until = min(ends_at, loop.time() + rng.uniform(*_SAME_S))
        site.faults.append(f'{loop.time():.2f} resets')
        while loop.time() < until:
            link.reset_all()
            site.resets += 1
            await asyncio.sleep(rng.uniform(*_EVERY_S))
