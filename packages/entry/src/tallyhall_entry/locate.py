"""Where callers should connect: the answer of the locate address."""

from __future__ import annotations

import random
from collections.abc import Sequence

from tallyhall_platform.registry import InstanceEntry

# Addresses in one answer at the most; more are not read.
_MOST_ADDRESSES = 64


def front_addresses(
    entries: Sequence[InstanceEntry],
    own: str | None,
    rng: random.Random,
) -> list[str]:
    """Return the addresses to offer: all live ones, a sample of many.

    own: this instance's address while it takes requests; it is offered also
    before the store has its entry.
    """
    addresses = {entry.front for entry in entries}
    if own is not None:
        addresses.add(own)
    found = sorted(addresses)
    if len(found) > _MOST_ADDRESSES:
        return rng.sample(found, _MOST_ADDRESSES)
    return found
