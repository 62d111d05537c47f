"""When a caller first tried, told by the limit that it states.

A caller that comes back states what is left of its limit, so the time since
its first try is what lacks of the limit that the route's callers state at
first. What a request is worth counts from its first try: one that comes back
past its objective must not take a place from one that can still be in time.
"""

from __future__ import annotations

import msgspec

from .desired import Route

# A limit that is stated counts for a route for this long, in seconds; another
# desired state may come with other limits.
_KEPT_S = 10.0
# What lacks of a limit at a first try, in seconds: its way and its connection.
_WAY_S = 0.15
# Nobody comes back later than this after a first try, in seconds: callers wait
# for up to 3 s when told to, and a second for a connection. What lacks more is
# another caller's limit.
_LONGEST_S = 5.0


class _Stated(msgspec.Struct):
    limit_s: float
    at: float


class FirstTries:
    """The longest limits that callers of a workspace state on each route.

    Those of another workspace cannot make them look late.
    """

    def __init__(self) -> None:
        """Start without callers."""
        self._stated: dict[tuple[str, str], _Stated] = {}

    def since_s(
        self,
        route: Route,
        workspace: str,
        limit_s: float | None,
        now: float,
    ) -> float:
        """Return the seconds since the first try, 0 for a first one.

        limit_s: how long the caller waits yet, as it states. One above the
        route's own limit tells nothing of the others'.
        """
        if limit_s is None or limit_s > route.timeout_s:
            return 0
        callers = (route.name, workspace)
        known = self._stated.get(callers)
        if known is None or now - known.at > _KEPT_S:
            known = _Stated(0, now)
            self._stated[callers] = known
        if limit_s >= known.limit_s:
            known.limit_s = limit_s
            known.at = now
            return 0
        lacks_s = known.limit_s - limit_s
        if lacks_s < _WAY_S or lacks_s > _LONGEST_S:
            return 0
        return lacks_s
