"""Estimates when a caller made its first attempt, from its stated timeout.

A caller that retries states the rest of its timeout. The time since its first
attempt is the difference to the timeout that callers of the route state at
first. The latency objective of a request counts from the first attempt: a retry
that has already missed it must not take a slot from a request that can still
meet it.
"""

from __future__ import annotations

import msgspec

from .desired import Route

# Seconds after which a stated timeout of a route expires, because callers may
# state other timeouts after a change of the desired state.
_TTL_S = 10.0
# Maximum difference at a first attempt, in seconds, caused by the network and
# by opening the connection.
_MAX_OVERHEAD_S = 0.15
# Maximum time from the first attempt to a retry, in seconds. Callers honour
# retry delays of up to 3 s and wait up to 1 s for a connection. A larger
# difference means that the caller uses a different timeout.
_MAX_RETRY_AGE_S = 5.0


class _StatedTimeout(msgspec.Struct):
    limit_s: float
    at: float


class FirstAttempts:
    """The longest timeouts stated by the callers, per route and workspace.

    They are kept per workspace, so that callers of one workspace cannot make
    those of another one look late.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._stated: dict[tuple[str, str], _StatedTimeout] = {}

    def elapsed_s(
        self,
        route: Route,
        workspace: str,
        limit_s: float | None,
        now: float,
    ) -> float:
        """Return the seconds since the first attempt, 0 for a first attempt.

        limit_s: the stated rest of the caller's timeout. A value above the
        timeout of the route is ignored, as it says nothing about other callers.
        """
        if limit_s is None or limit_s > route.timeout_s:
            return 0
        callers = (route.name, workspace)
        known = self._stated.get(callers)
        if known is None or now - known.at > _TTL_S:
            known = _StatedTimeout(0, now)
            self._stated[callers] = known
        if limit_s >= known.limit_s:
            known.limit_s = limit_s
            known.at = now
            return 0
        elapsed_s = known.limit_s - limit_s
        if elapsed_s < _MAX_OVERHEAD_S or elapsed_s > _MAX_RETRY_AGE_S:
            return 0
        return elapsed_s
