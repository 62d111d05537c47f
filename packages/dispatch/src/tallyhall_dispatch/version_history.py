"""Which software versions each service has had, as one instance has seen it.

If a service had a single version for longer than any caller takes to come back,
a stream that is resumed began at that version: no record of it is needed. This
holds only for a view of the store that was complete all the while and is
recent, which `VersionHistory` checks.

A version that this instance does not know yet has been registered for less time
than its view is old. Streams that may be resumed begin only on versions that
have been known for `versions.NEW_VERSION_S`, which is longer.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

from .desired import Upstream
from .versions import NEW_VERSION_S

# Age of the view, in seconds, up to which its versions are evidence. Watches
# confirm the view at most 2.4 s late, relays 3 s.
MAX_VIEW_AGE_S = 3.3


class VersionHistory:
    """The versions of all services and when each was last registered."""

    def __init__(self) -> None:
        """Start without a view of the store."""
        # Time up to which the view is complete, and since when it has been.
        self._confirmed_at = -math.inf
        self._complete_since = math.inf
        self._present: dict[str, set[str]] = {}
        # When each version that is not registered any more was last seen.
        self._last_seen: dict[str, dict[str, float]] = collections.defaultdict(
            dict,
        )

    def update(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace the registered upstreams."""
        present: dict[str, set[str]] = {}
        for upstream in upstreams:
            versions = present.setdefault(upstream.service, set())
            versions.add(upstream.version)
        for service, versions in self._present.items():
            for gone in versions - present.get(service, set()):
                self._last_seen[service][gone] = now
        self._present = present

    def confirm(self, confirmed_at: float) -> None:
        """Record that the view holds all that the store held at this time.

        A version that came and left between two confirmations may be unknown.
        It can have begun streams only if they are far apart.
        """
        if confirmed_at - self._confirmed_at > NEW_VERSION_S:
            self._complete_since = confirmed_at
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def sole_version(
        self,
        service: str,
        within_s: float,
        now: float,
        max_age_s: float = MAX_VIEW_AGE_S,
    ) -> str | None:
        """Return the only version of a service in the last seconds.

        Returns None if there were several, or if the view does not prove that
        there were not: it is older than `max_age_s`, or not complete for the
        whole time.
        """
        if now - self._confirmed_at > max_age_s:
            return None
        if self._complete_since > now - within_s:
            return None
        known = self.versions(service, within_s, now)
        return next(iter(known)) if len(known) == 1 else None

    def versions(
        self, service: str, within_s: float, now: float
    ) -> frozenset[str]:
        """Return the versions that were registered in the last seconds."""
        recent = (
            version
            for version, seen_at in self._last_seen[service].items()
            if seen_at >= now - within_s
        )
        return frozenset((*self._present.get(service, ()), *recent))
