"""The load, speed and recent failures of one upstream.

The upstreams of a service differ in speed by a factor of five and slow down as
their batch fills. Both effects are estimated from the requests that they run.
Temporary slowdowns by other workloads on their machines are not part of the
estimates; they are known from the load reports of the upstreams.
"""

from __future__ import annotations

import math

import msgspec

from .desired import Upstream
from .jobs import COMPLETE, NOT_SENT, AttemptOutcome, Job, RunReport
from .load_reports import UpstreamLoad
from .token_bucket import TokenBucket
from .usual_time import UsualTime, moving_average

# Defaults until the first sample: seconds per event, seconds per prompt token,
# and seconds per plain request.
DEFAULT_EVENT_S = 0.03
DEFAULT_PREFILL_TOKEN_S = 0.00003
DEFAULT_PLAIN_S = 0.05
# Minimum prompt length, in tokens, for a sample of the prefill speed. Fixed
# costs dominate the time of shorter prompts.
_MIN_PREFILL_TOKENS = 400
# Lower bound for the time that a request occupies its slot, in seconds.
_MIN_HOLD_S = 0.005
# Part of the time to the first event that does not depend on the prompt, in
# seconds.
FIXED_FIRST_EVENT_S = 0.03
# Seconds for which a failing upstream is ejected. Each further consecutive
# failure doubles the time, up to the maximum.
_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
# Consecutive failures after which an upstream is ejected. Single lost responses
# and single errors occur on healthy upstreams too.
_FAILURES_TO_EJECT = 3

# Minimum number of events in a response for a sample of its longest pause.
# Short responses seldom contain a long pause.
_MIN_PAUSE_EVENTS = 6
# Number of mean deviations added to the average longest pause, so that
# responses with longer pauses than usual are still on time.
_PAUSE_DEVIATIONS = 1.0

_FAILURES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.unknown,
        AttemptOutcome.broken,
        AttemptOutcome.unsent,
    ),
)

# Endings at which the upstream may not have read the request.
_UNANSWERED = frozenset((AttemptOutcome.unknown, AttemptOutcome.left))


class RunningJob(msgspec.Struct):
    """A job that runs on an upstream.

    prefill_tokens_ahead: prompt tokens that were in prefill when the job
    started. slowdown: of the upstream at that time, None if another instance
    granted the job.
    """

    job: Job
    prefill_tokens_ahead: int
    slowdown: float | None
    in_prefill: bool = True


class Ejection(msgspec.Struct, frozen=True):
    """The ejection of an upstream, on the clock of the event loop.

    job: key of the job whose end caused it.
    """

    upstream: str
    job: str
    ending: AttemptOutcome
    failures: int
    since: float
    until: float

    @property
    def reported_by(self) -> str:
        """Return the instance that ran the job, the first part of its key."""
        return self.job.partition('/')[0]


class UpstreamState:
    """The state of one upstream incarnation, as known to this instance."""

    def __init__(
        self,
        upstream: Upstream,
        load: UpstreamLoad,
        *,
        one_owner: bool = True,
    ) -> None:
        """Create the state of an upstream that has not run anything yet.

        one_owner: whether one instance grants all its slots.
        """
        self.upstream = upstream
        self._load = load
        self._one_owner = one_owner
        # Cached because it is read for each pair of job and upstream, and is
        # constant while other fields of the upstream change.
        self.incarnation = upstream.incarnation
        self.runs: dict[str, RunningJob] = {}
        # Prompt tokens of the runs whose response has not started.
        self.prefill_tokens = 0
        # Time per event, per prompt token and of a plain request.
        self._event = UsualTime()
        self._token = UsualTime()
        self._plain = UsualTime()
        # Moving average and mean deviation of the longest pause in a response.
        self._pause_s: float | None = None
        self._pause_deviation_s: float = 0
        # Time that a request holds its slot. It has no default, so that no
        # request is refused because of one.
        self._hold = UsualTime()
        # The last ejection, None if the upstream has not failed since it last
        # answered.
        self.ejection: Ejection | None = None
        self._consecutive_failures = 0
        # Requests that were given up before an answer began, since the last
        # one that was not. The upstream may read them later.
        self._left_unread = 0
        # For the rate limit announced by the upstream, None if there is none.
        self.bucket: TokenBucket | None = None

    @property
    def service_time_s(self) -> float | None:
        """Return how long a request usually holds its slot, None if unknown."""
        return self._hold.usual_s

    def slot_release_rate(self, now: float) -> float:
        """Return how many slots become free per second, 0 if unknown."""
        if self.service_time_s is None:
            return 0
        hold_s = self.service_time_s * self._load.slowdown(now)
        rate = self.upstream.slots / max(_MIN_HOLD_S, hold_s)
        return rate if self.bucket is None else min(rate, self.bucket.rate)

    def token_s(self, now: float) -> float:
        """Return the expected prefill time per prompt token."""
        usual_s = self._token.usual_s or DEFAULT_PREFILL_TOKEN_S
        return usual_s * self._load.slowdown(now)

    def free_slots(self, share: float, now: float) -> int:
        """Return how many more requests may run in this share of the slots.

        If one instance grants all slots, runs that only the upstream knows of
        occupy slots too. They count against all slots and not against the
        share: while instances cannot reach each other, the rest of the slots is
        left to the others. At least one slot is never counted as occupied by
        unknown runs, so that an upstream with a frozen or wrong report still
        gets requests, whose responses bring its next report.
        """
        slots = self.upstream.slots
        free = max(1, math.ceil(slots * share)) - len(self.runs)
        if not self._load.has_unknown_runs or not self._one_owner:
            return free
        unknown = self._load.unknown_runs(now)
        return min(free, max(1, slots - unknown) - len(self.runs))

    def has_slot(self, share: float, now: float) -> bool:
        """Return whether a request may start here now."""
        if self.free_slots(share, now) <= 0:
            return False
        if self.bucket is None:
            return True
        return self.bucket.may_send(now, self._unread())

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected because of its failures."""
        return self.ejection is not None and now < self.ejection.until

    @property
    def has_suspect_in_prefill(self) -> bool:
        """Return whether a suspect runs here that has no response yet."""
        return any(
            run.in_prefill and run.job.suspect_digest
            for run in self.runs.values()
        )

    def may_run(self, job: Job) -> bool:
        """Return whether a job may be sent here at all.

        A stream goes on only at the version that began it, which is not new.
        """
        if self.incarnation in job.excluded:
            return False
        if job.version is not None:
            return job.version == self.upstream.version
        return not (job.resumable and self.upstream.is_new)

    def first_s(self, job: Job, now: float) -> float:
        """Return the expected time to the first event of a job."""
        return self._first_s(job, self._load.slowdown(now))

    def total_s(self, job: Job, events: float, now: float) -> float:
        """Return the expected time to the last of this number of events."""
        slowdown = self._load.slowdown(now)
        first_s = self._first_s(job, slowdown)
        if not job.output_tokens:
            load = 1 + len(self.runs) / self.upstream.slots
            return load * first_s
        event_s = self._event.usual_s or DEFAULT_EVENT_S
        return first_s + events * event_s * slowdown

    def meets_pause_limit(self, job: Job, event_tokens: int) -> bool:
        """Return whether no pause in the response should exceed the limit.

        The engines of a service differ in speed by a factor of five. On an
        engine that needs longer for one event than the route allows, a response
        is late no matter how early it starts. Unlike speeds, pauses include
        temporary slowdowns, as the next one may begin during any response.
        """
        if not job.pause_s or self._pause_s is None:
            return True
        if job.output_tokens < _MIN_PAUSE_EVENTS * event_tokens:
            return True
        longest_s = self._pause_s + _PAUSE_DEVIATIONS * self._pause_deviation_s
        return longest_s <= job.pause_s

    def grant(self, job: Job, now: float) -> None:
        """Record that a job starts here."""
        self._load.add_run()
        self._add(job, self._load.slowdown(now))

    def add_running(self, job: Job) -> None:
        """Record that a job runs here that another instance granted."""
        self._load.adopt_run()
        self._add(job, None)

    def drop(self, key: str) -> None:
        """Remove a job without taking samples from it."""
        run = self.runs.pop(key, None)
        if run is not None:
            self._load.drop_run()
            self._end_prefill(run)

    def record_first_byte(self, key: str) -> None:
        """Record that the prefill of a job is complete."""
        run = self.runs.get(key)
        if run is not None:
            self._left_unread = 0
            self._end_prefill(run)

    def finish(self, key: str, report: RunReport, now: float) -> None:
        """Remove a job that ended and update the estimates from its report."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        self._load.end_run(now)
        self._record_read(run, report.ending)
        self._end_prefill(run)
        if self.bucket is not None and report.ending in NOT_SENT:
            self.bucket.return_token()
        self._update_ejection(key, report.ending, now)
        slowdown = self._slowdown_during(run, now)
        if report.total_s:
            self._hold.record(report.total_s, slowdown)
        if report.ending is AttemptOutcome.answered:
            self._sample_speed(run, report, slowdown)

    def _first_s(self, job: Job, slowdown: float) -> float:
        if not job.output_tokens:
            return (self._plain.usual_s or DEFAULT_PLAIN_S) * slowdown
        tokens = self.prefill_tokens + job.prompt_tokens
        token_s = self._token.usual_s or DEFAULT_PREFILL_TOKEN_S
        return FIXED_FIRST_EVENT_S + tokens * token_s * slowdown

    def _add(self, job: Job, slowdown: float | None) -> None:
        self.runs[job.key] = RunningJob(job, self.prefill_tokens, slowdown)
        self.prefill_tokens += job.prompt_tokens
        if self.bucket is not None:
            self.bucket.take_token()

    def _slowdown_during(self, run: RunningJob, now: float) -> float:
        """Return the mean of the slowdowns at the start and end of a run."""
        slowdown = self._load.slowdown(now)
        if run.slowdown is None:
            return slowdown
        return (run.slowdown + slowdown) / 2

    def _sample_speed(
        self, run: RunningJob, report: RunReport, slowdown: float
    ) -> None:
        """Update the usual speed from a run during this slowdown."""
        if not run.job.output_tokens:
            self._plain.record(report.total_s, slowdown)
            return
        if report.events > 1:
            event_s = report.stream_s / (report.events - 1)
            self._event.record(event_s, slowdown)
        if report.events >= _MIN_PAUSE_EVENTS:
            self._sample_pause(report.pause_s)
        tokens = run.prefill_tokens_ahead + run.job.prompt_tokens
        if report.first_s is not None and tokens >= _MIN_PREFILL_TOKENS:
            prefill_s = max(0, report.first_s - FIXED_FIRST_EVENT_S)
            self._token.record(prefill_s / tokens, slowdown)

    def _sample_pause(self, pause_s: float) -> None:
        if self._pause_s is not None:
            deviation_s = abs(pause_s - self._pause_s)
            self._pause_deviation_s = moving_average(
                self._pause_deviation_s, deviation_s
            )
        self._pause_s = moving_average(self._pause_s, pause_s)

    def _unread(self) -> int:
        """Return how many requests the upstream may not have read yet.

        Returns 0 while no answer is waited for, so that a request is sent to
        find out whether it reads.
        """
        waiting = sum(run.in_prefill for run in self.runs.values())
        return waiting + self._left_unread if waiting else 0

    def _record_read(self, run: RunningJob, ending: AttemptOutcome) -> None:
        """Record whether the upstream has read what it was sent."""
        if ending in COMPLETE:
            self._left_unread = 0
        elif run.in_prefill and ending in _UNANSWERED:
            self._left_unread += 1

    def _end_prefill(self, run: RunningJob) -> None:
        if run.in_prefill:
            run.in_prefill = False
            self.prefill_tokens -= run.job.prompt_tokens

    def _update_ejection(
        self, key: str, ending: AttemptOutcome, now: float
    ) -> None:
        if ending is AttemptOutcome.answered:
            self._consecutive_failures = 0
            self.ejection = None
            return
        if ending not in _FAILURES:
            return
        self._consecutive_failures += 1
        # If nothing listens there, one refused connection is sufficient.
        threshold = 1 if ending is AttemptOutcome.unsent else _FAILURES_TO_EJECT
        excess = self._consecutive_failures - threshold
        if excess < 0:
            return
        ejection_s = min(_MAX_EJECTION_S, _EJECTION_S * 2**excess)
        self.ejection = Ejection(
            self.incarnation,
            key,
            ending,
            self._consecutive_failures,
            now,
            now + ejection_s,
        )
