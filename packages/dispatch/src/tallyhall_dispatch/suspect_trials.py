"""Trials of suspects, which run one at a time.

A suspect is a request content that was running when an upstream terminated. It
runs again only as a trial, so that it cannot terminate several upstreams.
"""

from __future__ import annotations

from collections.abc import Iterable

from .upstream_state import UpstreamState

# Seconds that a suspect waits after a trial of the same content was
# interrupted. All instances know within 0.1 s whether its upstream terminated.
_TRIAL_OUTCOME_S = 0.1


class SuspectTrials:
    """The suspects of one service whose last trial has no known outcome."""

    def __init__(self) -> None:
        """Start without trials."""
        # Until when the outcome of the last trial is unknown, by suspect.
        self._pending: dict[str, float] = {}

    def record_interrupted(self, suspect: str, now: float) -> None:
        """Record that the trial of a suspect was interrupted."""
        self._pending = {
            other: until
            for other, until in self._pending.items()
            if now < until
        }
        self._pending[suspect] = now + _TRIAL_OUTCOME_S

    def is_on_trial(
        self, suspect: str, views: Iterable[UpstreamState], now: float
    ) -> bool:
        """Return whether a job with this content is on trial."""
        if now < self._pending.get(suspect, 0):
            return True
        return any(
            run.in_prefill and run.job.suspect_digest == suspect
            for view in views
            for run in view.runs.values()
        )
