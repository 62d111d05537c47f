"""Selects the addresses that clients are told to connect to."""

from __future__ import annotations

import random
from collections.abc import Sequence

from tallyhall_platform.entries import InstanceEntry

# Maximum number of addresses in a response; clients ignore any more.
_MAX_ADDRESSES = 64


def front_addresses(
    entries: Sequence[InstanceEntry],
    own: str,
    rng: random.Random,
    *,
    leaving: bool,
) -> list[str]:
    """Return the addresses to advertise, a random sample if there are many.

    This instance's own address is included even before the store has its
    entry, and is left out once the instance is leaving.
    """
    addresses = {entry.front for entry in entries}
    if leaving:
        addresses.discard(own)
    else:
        addresses.add(own)
    found = sorted(addresses)
    if len(found) > _MAX_ADDRESSES:
        return rng.sample(found, _MAX_ADDRESSES)
    return found
