"""The number of requests that one upstream may run at once.

Additive increase while the limit is in use and tokens come fast enough,
multiplicative decrease when the time between tokens (or the latency of a
plain call against its best) grows past the target. An upstream that falls
silent with streams open is cut at once, so that it gets no new work.
"""

from __future__ import annotations

import dataclasses

_DECREASE = 0.8
_STALL_DECREASE = 0.5
_HEADROOM = 0.85
_SETTLE_S = 0.5
_RAISE_S = 0.25
_PLAIN_FACTOR = 3.0
_START = 8.0
_FLOOR_DRIFT = 1.02
_MIN_PLAIN_S = 0.02


@dataclasses.dataclass(slots=True)
class AdaptiveLimit:
    """One upstream's concurrency limit.

    gap_s: target seconds between tokens. ceiling: the table's own bound.
    """

    gap_s: float
    ceiling: int
    limit: float = _START
    best_s: float = 0
    changed: float = 0
    raised: float = 0
    stalled: bool = False

    @property
    def slots(self) -> int:
        """Return the whole number of requests allowed now."""
        return max(1, min(self.ceiling, int(self.limit)))

    def on_gap(
        self,
        gap_s: float,
        needed_s: float,
        running: int,
        now: float,
    ) -> None:
        """Take a measured time between tokens with `running` streams.

        needed_s: what the tightest of the streams needs to end in time.
        """
        self.stalled = False
        target = min(self.gap_s, needed_s)
        if gap_s > target:
            self._lower(_DECREASE, running, now)
        elif gap_s < target * _HEADROOM:
            self._raise(running, now)

    def on_stall(self, running: int, now: float) -> None:
        """Take that open streams brought no token for a whole report."""
        self.stalled = True
        self._lower(_STALL_DECREASE, running, now)

    def on_call(self, total_s: float, running: int, now: float) -> None:
        """Take the latency of one complete plain call."""
        if not self.best_s:
            self.best_s = total_s
        self.best_s = min(self.best_s * _FLOOR_DRIFT, total_s)
        target = max(self.best_s, _MIN_PLAIN_S) * _PLAIN_FACTOR
        if total_s > target:
            self._lower(_DECREASE, running, now)
        else:
            self._raise(running, now)

    def _lower(self, factor: float, running: int, now: float) -> None:
        # One decrease a settling time: the effect of the last one has to show
        # before the next, since running streams cannot be taken back.
        if now - self.changed < _SETTLE_S:
            return
        self.changed = now
        self.limit = max(1.0, min(self.limit, running + 1) * factor)

    def _raise(self, running: int, now: float) -> None:
        if running < self.slots - 1 or now - self.raised < _RAISE_S:
            return
        if now - self.changed < _SETTLE_S:
            return
        self.raised = now
        self.limit = min(float(self.ceiling), self.limit + 1)
