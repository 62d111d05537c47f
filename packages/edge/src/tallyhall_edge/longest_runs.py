"""The time that the longest recent runs of each route took."""

from __future__ import annotations

import collections

from tallyhall_dispatch.gate import Admitted

# Part of the difference by which a shorter run lowers the longest time: after
# 50 runs that are all much shorter, a third of it is left.
_DECAY = 0.02


class LongestRuns:
    """Times in seconds that answers took, a slowly falling maximum a route."""

    def __init__(self) -> None:
        """Start without a run."""
        # By service and the name of the route.
        self._longest_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )

    def record(self, admitted: Admitted, took_s: float) -> None:
        """Record how long a complete answer took from the send of a request."""
        routes = self._longest_s[admitted.service]
        longest_s = routes.get(admitted.route.name, 0)
        if took_s < longest_s:
            took_s = longest_s - _DECAY * (longest_s - took_s)
        routes[admitted.route.name] = took_s

    def longest_s(self, admitted: Admitted) -> float | None:
        """Return the time of the longest recent run of a request's route.

        Without one, that of all routes of its service; None if there is none.
        """
        routes = self._longest_s.get(admitted.service, {})
        own_s = routes.get(admitted.route.name)
        return max(routes.values(), default=None) if own_s is None else own_s
