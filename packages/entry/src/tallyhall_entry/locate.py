"""Which addresses callers are told to connect to."""

from __future__ import annotations

import random
from collections.abc import Sequence

from tallyhall_platform.entries import InstanceEntry

# Addresses in one answer at the most; more are not read.
_MOST_ADDRESSES = 64


def front_addresses(
    entries: Sequence[InstanceEntry],
    own: str,
    rng: random.Random,
    *,
    leaving: bool,
) -> list[str]:
    """Return the addresses to offer: all live ones, a sample of many.

    This instance is offered also before the store has its entry, and no
    more once it is leaving.
    """
    addresses = {entry.front for entry in entries}
    if leaving:
        addresses.discard(own)
    else:
        addresses.add(own)
    found = sorted(addresses)
    if len(found) > _MOST_ADDRESSES:
        return rng.sample(found, _MOST_ADDRESSES)
    return found
