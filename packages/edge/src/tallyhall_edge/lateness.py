"""Measures how late an answer was, and which steps contributed."""

from __future__ import annotations

import msgspec

from .request_context import RequestContext

_MILLI = 1000


class Lateness(msgspec.Struct, frozen=True):
    """The delays of an answer that was complete but late, in milliseconds.

    late_ms: time from the caller's first attempt to the first byte, beyond the
    objective; 0 if only a pause was too long. since_first_ms: time from the
    caller's first attempt to this one. waited_ms: waits for slots. resent_ms:
    time between the first and the last send, without waits. first_ms: time from
    the last send to the first byte. forecast_ms: forecast of first_ms.
    pause_ms: longest pause. pause_aim_ms: longest pause that is on time, 0 if
    the route has no such limit. is_resumed: whether the longest pause lay
    between two sends.
    """

    late_ms: int
    since_first_ms: int
    waited_ms: int
    resent_ms: int
    first_ms: int
    forecast_ms: int
    pause_ms: int
    pause_aim_ms: int
    is_resumed: bool


def lateness(context: RequestContext, ended_at: float) -> Lateness | None:
    """Return the delays of a late answer, None if it was in time."""
    route = context.admitted.route
    begun_at = context.exchange.started_at or ended_at
    elapsed_s = begun_at - context.exchange.received_at + context.since_first_s
    late_s = max(0, elapsed_s - route.objective_s)
    pause_s = max(context.pause_s, context.resumed_pause_s)
    paused = 0 < route.gap_s < pause_s
    if not late_s and not paused:
        return None
    # The last send of a resumed stream may come after its first byte.
    sent_at = min(context.sent_at, begun_at)
    wait_s = min(context.total_wait_s, begun_at - context.exchange.received_at)
    between_s = sent_at - context.first_sent_at - context.retry_wait_s
    return Lateness(
        _millis(late_s),
        _millis(context.since_first_s),
        _millis(wait_s),
        _millis(max(0, between_s)),
        _millis(begun_at - sent_at),
        _millis(context.forecast_s),
        _millis(pause_s),
        _millis(route.gap_s),
        context.resumed_pause_s > context.pause_s,
    )


def _millis(span_s: float) -> int:
    return round(span_s * _MILLI)
