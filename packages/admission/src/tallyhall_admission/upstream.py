"""What the owner knows of one upstream."""

from __future__ import annotations

import dataclasses

from .concurrency import AdaptiveLimit
from .estimate import Speed
from .prefix import PrefixCache

_CACHE_TOKENS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """One upstream as the instance list shows it."""

    name: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of one upstream at its owner.

    reported: requests in the upstream's own last load report. broken_until:
    no new work before this time, after a connect failed.
    """

    info: UpstreamInfo
    limit: AdaptiveLimit
    speed: Speed = dataclasses.field(default_factory=Speed)
    cache: PrefixCache = dataclasses.field(
        default_factory=lambda: PrefixCache(_CACHE_TOKENS),
    )
    running: int = 0
    reported: float = 0
    sent_since_report: int = 0
    broken_until: float = 0

    def is_open(self, now: float) -> bool:
        """Return whether it may get new work at all."""
        return not self.info.leaving and now >= self.broken_until

    def free(self) -> int:
        """Return the number of free slots."""
        return max(0, self.limit.slots - self.running)
