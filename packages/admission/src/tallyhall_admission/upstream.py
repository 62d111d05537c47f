"""State of one upstream at the owner of its service."""

from __future__ import annotations

import dataclasses

from .concurrency import AdaptiveLimit
from .estimate import SpeedEstimate
from .prefix import PrefixCache

_DEFAULT_CACHE_TOKENS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """Entry of an upstream in the instance list."""

    name: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of one upstream at the owner of its service.

    reported_requests: requests in the last load report of the upstream.
    backoff_until: end of the backoff after a failed connection.
    """

    info: UpstreamInfo
    limit: AdaptiveLimit
    speed: SpeedEstimate = dataclasses.field(default_factory=SpeedEstimate)
    cache: PrefixCache = dataclasses.field(
        default_factory=lambda: PrefixCache(_DEFAULT_CACHE_TOKENS),
    )
    running: int = 0
    reported_requests: float = 0
    sent_since_report: int = 0
    backoff_until: float = 0

    def is_available(self, now: float) -> bool:
        """Return whether it accepts new requests."""
        return not self.info.leaving and now >= self.backoff_until

    def free_slots(self) -> int:
        """Return the number of free slots."""
        return max(0, self.limit.slots - self.running)
