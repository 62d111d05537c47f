"""Until when a request may wait for a place."""

from __future__ import annotations

from .desired import Route, RouteKind

# Callers leave a stream after this long without an event: the longest of
# 2 s, four objectives and eight of its longest pauses.
_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4
_PATIENCE_GAPS = 8
# Part of a caller's patience after which a waiting request is given up: it
# leaves the upstream time for the first event.
_WAIT_PART = 0.7


def longest_wait_s(route: Route, limit_s: float) -> float:
    """Return how long a request with this limit may wait for a place."""
    wait_s = _WAIT_PART * limit_s
    if route.kind is not RouteKind.streaming:
        return wait_s
    patience_s = max(
        _PATIENCE_S,
        _PATIENCE_OBJECTIVES * route.objective_s,
        _PATIENCE_GAPS * route.gap_s,
    )
    return min(wait_s, _WAIT_PART * patience_s)
