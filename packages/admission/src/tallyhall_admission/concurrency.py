"""Adaptive concurrency limit of one upstream.

AIMD control: additive increase while the limit is in use and latency is below
the target, multiplicative decrease when the time between tokens, or the
latency of a plain call relative to its baseline, exceeds the target. If an
upstream has open streams but returns no tokens, the limit is decreased
immediately so that the upstream gets no new requests.
"""

from __future__ import annotations

import dataclasses

_DECREASE_FACTOR = 0.8
_STALL_DECREASE_FACTOR = 0.5
_INCREASE_THRESHOLD = 0.85
_SETTLING_TIME_S = 0.5
_INCREASE_INTERVAL_S = 0.25
_CALL_LATENCY_FACTOR = 3.0
_INITIAL_LIMIT = 8.0
_BASELINE_DRIFT = 1.02
_MIN_BASELINE_S = 0.02


@dataclasses.dataclass(slots=True)
class AdaptiveLimit:
    """Concurrency limit of one upstream.

    gap_s: target seconds between tokens. ceiling: maximum from the table.
    baseline_s: minimum latency of plain calls, rising slowly so that it
    follows lasting changes.
    """

    gap_s: float
    ceiling: int
    limit: float = _INITIAL_LIMIT
    baseline_s: float = 0
    decreased_at: float = 0
    increased_at: float = 0
    stalled: bool = False

    @property
    def slots(self) -> int:
        """Return the limit as a whole number of requests."""
        return max(1, min(self.ceiling, int(self.limit)))

    def on_token_gap(
        self,
        gap_s: float,
        required_s: float,
        running: int,
        now: float,
    ) -> None:
        """Adjust to a measured time between tokens with `running` streams.

        required_s: the time between tokens at which the stream with the
        least slack still meets its deadline.
        """
        self.stalled = False
        target = min(self.gap_s, required_s)
        if gap_s > target:
            self._decrease(_DECREASE_FACTOR, running, now)
        elif gap_s < target * _INCREASE_THRESHOLD:
            self._increase(running, now)

    def on_stall(self, running: int, now: float) -> None:
        """Decrease because open streams sent no token in a report interval."""
        self.stalled = True
        self._decrease(_STALL_DECREASE_FACTOR, running, now)

    def on_call(self, total_s: float, running: int, now: float) -> None:
        """Adjust to the latency of a completed plain call."""
        if not self.baseline_s:
            self.baseline_s = total_s
        self.baseline_s = min(self.baseline_s * _BASELINE_DRIFT, total_s)
        target = max(self.baseline_s, _MIN_BASELINE_S) * _CALL_LATENCY_FACTOR
        if total_s > target:
            self._decrease(_DECREASE_FACTOR, running, now)
        else:
            self._increase(running, now)

    def _decrease(self, factor: float, running: int, now: float) -> None:
        # At most one decrease per settling time: running streams continue,
        # so the effect of a decrease shows only after some have ended.
        if now - self.decreased_at < _SETTLING_TIME_S:
            return
        self.decreased_at = now
        self.limit = max(1.0, min(self.limit, running + 1) * factor)

    def _increase(self, running: int, now: float) -> None:
        if (
            running < self.slots - 1
            or now - self.increased_at < _INCREASE_INTERVAL_S
        ):
            return
        if now - self.decreased_at < _SETTLING_TIME_S:
            return
        self.increased_at = now
        self.limit = min(float(self.ceiling), self.limit + 1)
