"""Time limit for a request to wait for a slot."""

from __future__ import annotations

from .desired import Route, RouteKind

# Callers abandon a stream after this long without an event: the maximum of 2 s,
# four times its latency objective and eight times its pause limit.
_MIN_IDLE_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_OBJECTIVES = 4
_IDLE_TIMEOUT_PAUSES = 8
# Part of these timeouts that a request may spend in the queue. The rest leaves
# the upstream time for the first event.
_QUEUE_TIME_PART = 0.7


def max_queue_time_s(route: Route, limit_s: float) -> float:
    """Return how long a request with this timeout may wait for a slot."""
    wait_s = _QUEUE_TIME_PART * limit_s
    if route.kind is not RouteKind.streaming:
        return wait_s
    idle_timeout_s = max(
        _MIN_IDLE_TIMEOUT_S,
        _IDLE_TIMEOUT_OBJECTIVES * route.objective_s,
        _IDLE_TIMEOUT_PAUSES * route.gap_s,
    )
    return min(wait_s, _QUEUE_TIME_PART * idle_timeout_s)
