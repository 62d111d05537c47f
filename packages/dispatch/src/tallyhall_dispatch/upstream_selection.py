"""Selection of an upstream for a job, among those with a free slot.

The upstreams of a service differ in speed by a factor of five. A job is sent to
the upstream that is expected to complete it first, but not to one on which its
response would be late while another upstream could meet the deadline.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from .forecast import Forecast
from .group import UpstreamGroup
from .jobs import Job
from .switches import Switches
from .upstream_state import UpstreamState
from .urgency_stats import ResponseLengths

# Expected costs are multiplied by a random factor of up to this.
_MAX_JITTER = 1.1
# An upstream in another availability zone must be better by this factor,
# because traffic between zones is charged for.
_CROSS_ZONE_FACTOR = 1.6
# A job waits for an upstream that meets its pause limit until only this part of
# the time to its deadline is left. On a slow upstream it is still on time in
# half of the cases.
_PAUSE_WAIT_PART = 0.5


class UpstreamSelector:
    """Selects upstreams of one group."""

    def __init__(
        self,
        group: UpstreamGroup,
        event_tokens: int,
        rng: random.Random,
        switches: Switches,
    ) -> None:
        """Select from this group.

        event_tokens: the number of tokens in one event of a response.
        """
        self._group = group
        self._event_tokens = event_tokens
        self._rng = rng
        self._switches = switches
        self._lengths = ResponseLengths()

    def answered(self, job: Job, events: int) -> None:
        """Update the expected response length from that of a job."""
        self._lengths.record(job.urgency, events)

    def best(
        self,
        job: Job,
        free: Iterable[UpstreamState],
        forecast: Forecast,
    ) -> UpstreamState | None:
        """Return the upstream with the lowest expected cost.

        Returns None if the job should wait for another upstream.
        """
        if job.version is not None:
            forecast = self._group.forecast_for(job, forecast)
        best: UpstreamState | None = None
        lowest: float = 0
        events = self._expected_events(job)
        for view in self._candidates(job, free, forecast):
            # Keeps instances without samples, and those that have just received
            # the same load report, from all selecting the same one.
            cost = self._cost(view, job, events, forecast.now)
            cost *= self._rng.uniform(1, _MAX_JITTER)
            if view.upstream.zone != job.zone:
                cost *= _CROSS_ZONE_FACTOR
            if best is None or cost < lowest:
                best = view
                lowest = cost
        return best

    def _expected_events(self, job: Job) -> float:
        """Return the expected number of events in the response.

        The token limit that callers state is ten times the usual length, so the
        lengths of earlier responses are used instead.
        """
        stated = job.output_tokens / max(1, self._event_tokens)
        if not self._switches.lengths:
            return stated
        return min(stated, self._lengths.events(job.urgency, stated))

    def _cost(
        self, view: UpstreamState, job: Job, events: float, now: float
    ) -> float:
        if job.suspect_digest:
            # If it terminates the upstream, all requests running there fail.
            return 1 + len(view.runs)
        if not self._switches.speeds:
            return 1 / view.free_slots(self._group.share, now)
        return view.total_s(job, events, now)

    def _candidates(
        self,
        job: Job,
        free: Iterable[UpstreamState],
        forecast: Forecast,
    ) -> Iterator[UpstreamState]:
        """Yield the free upstreams to which a job may be sent.

        If any upstream could meet the deadline, those are skipped on which the
        first event or a later pause would make the response late.
        """
        can_meet_deadline = forecast.can_meet_deadline(job, forecast.now)
        needs_fast_upstream = (
            can_meet_deadline
            and self._waits_for_fast_upstream(job, forecast.now)
        )
        for view in free:
            if not may_start(view, job, forecast.now):
                continue
            if can_meet_deadline and self._would_start_late(
                view, job, forecast.now
            ):
                continue
            if needs_fast_upstream and not view.meets_pause_limit(
                job, self._event_tokens
            ):
                continue
            yield view

    def _would_start_late(
        self,
        view: UpstreamState,
        job: Job,
        now: float,
    ) -> bool:
        if not self._switches.forecasts:
            return False
        return view.first_s(job, now) > job.due_at - now

    def _waits_for_fast_upstream(self, job: Job, now: float) -> bool:
        """Return whether a job waits for an upstream without long pauses.

        A slow upstream is accepted once the job has waited for a part of the
        time to its deadline, or if no upstream is fast enough.
        """
        if not job.pause_s or not self._switches.pauses:
            return False
        if job.due_at - now < _PAUSE_WAIT_PART * (job.due_at - job.asked_at):
            return False
        return any(
            view.meets_pause_limit(job, self._event_tokens)
            for view in self._group.usable(now)
            if view.may_run(job)
        )


def may_start(view: UpstreamState, job: Job, now: float) -> bool:
    """Return whether a job may start at an upstream now.

    A suspect does not start while another one is in prefill there: if the
    upstream terminated, it would be unknown which of them was the cause.
    """
    if not view.may_run(job):
        return False
    if now < job.backoffs.get(view.incarnation, now):
        return False
    return not (job.suspect_digest and view.has_suspect_in_prefill)
