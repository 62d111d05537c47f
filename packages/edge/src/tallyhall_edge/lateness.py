"""How late an answer was, and the parts of its way that made it so."""

from __future__ import annotations

import msgspec

from .visit import Visit

_MILLI = 1000


class Lateness(msgspec.Struct, frozen=True):
    """An answer that was complete and late; all in milliseconds.

    late_ms: beyond the objective, from the caller's first try to the first
    byte; 0 where only a pause was too long. since_first_ms: until the caller
    came back. waited_ms: for places. resent_ms: between the first and the last
    send, without waits. first_ms: from the last send to the first byte.
    forecast_ms: what was expected of that. pause_ms: the longest pause.
    pause_aim_ms: the longest that is on time, 0 where any is. is_resumed:
    whether that pause lay between two sends.
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


def lateness(visit: Visit, ended_at: float) -> Lateness | None:
    """Return how late the answer of a visit was, None if it was in time."""
    route = visit.admitted.route
    begun_at = visit.exchange.started_at or ended_at
    taken_s = begun_at - visit.exchange.received_at + visit.since_first_s
    late_s = max(0, taken_s - route.objective_s)
    pause_s = max(visit.pause_s, visit.resumed_pause_s)
    paused = 0 < route.gap_s < pause_s
    if not late_s and not paused:
        return None
    # The last send of a stream that went on may come after its first byte.
    sent_at = min(visit.sent_at, begun_at)
    waits_s = min(visit.all_waits_s, begun_at - visit.exchange.received_at)
    between_s = sent_at - visit.first_sent_at - visit.later_waits_s
    return Lateness(
        _millis(late_s),
        _millis(visit.since_first_s),
        _millis(waits_s),
        _millis(max(0, between_s)),
        _millis(begun_at - sent_at),
        _millis(visit.forecast_s),
        _millis(pause_s),
        _millis(route.gap_s),
        visit.resumed_pause_s > visit.pause_s,
    )


def _millis(span_s: float) -> int:
    return round(span_s * _MILLI)
