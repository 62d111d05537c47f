"""What is known of one upstream: its load, its speed, its recent failures.

Upstreams of one service differ in speed by a factor of five and slow down
as their batch fills. Both are learned from the requests that run there.
"""

from __future__ import annotations

import math

import msgspec

from .desired import Upstream
from .jobs import NOT_SENT, Ending, Job, RunReport
from .token_bucket import TokenBucket

# Weight of the newest observation in a mean: ten replace four fifths of it.
_NEWEST = 0.15
# Guesses until the first observation: seconds an event, seconds a prompt
# token, seconds to answer a plain request.
FIRST_PACE_S = 0.03
FIRST_TOKEN_S = 0.00003
FIRST_PLAIN_S = 0.05
# Shortest prompt, in tokens, from which the speed of reading is learned:
# below it, fixed costs hide it.
_LEARNING_TOKENS = 400
# A request holds its place at least this long, in seconds.
_LEAST_HOLD_S = 0.005
# Fixed part of the time to the first event, in seconds.
FIRST_FIXED_S = 0.03
# An upstream that failed is left out for this long, in seconds; each
# further failure in a row doubles it up to the longest.
_ASIDE_S = 0.5
_LONGEST_ASIDE_S = 4.0
# Failures in a row after which an upstream is left out; single lost answers
# and single errors happen on sound ones.
_FAILURES_BORNE = 3

# Events from which on the longest pause of an answer is learned: short answers
# seldom meet one.
_PAUSE_EVENTS = 6
# Deviations that are added to the mean of the longest pauses, so that answers
# are on time that pause longer than most.
_PAUSE_DEVIATIONS = 1.0

_FAILURES = frozenset(
    (Ending.failed, Ending.unknown, Ending.broken, Ending.unsent),
)


class Run(msgspec.Struct):
    """A job that was granted to an upstream."""

    job: Job
    ahead_tokens: int
    reading: bool = True


class EngineView:
    """One incarnation of an upstream as seen from here."""

    def __init__(self, upstream: Upstream) -> None:
        """Start with nothing observed."""
        self.upstream = upstream
        # Looked at for each job and upstream; it stays while the rest changes.
        self.incarnation = upstream.incarnation
        self.runs: dict[str, Run] = {}
        # Prompt tokens of the runs whose answer has not begun.
        self.reading_tokens = 0
        # Unknown until the first observation, which replaces the guess: an
        # engine that is twice as slow must not need ten jobs to show it.
        self._pace_s: float | None = None
        self._token_s: float | None = None
        self._plain_s: float | None = None
        # The longest pause of an answer: its mean, and how far it is from it.
        self._pause_s: float | None = None
        self._pause_off_s: float = 0
        # Nobody is refused by a guess, so there is none for this one.
        self.hold_s: float | None = None
        self._aside_until: float = 0
        self._failures = 0
        # Of the limit that it names, None if it names none.
        self.tokens: TokenBucket | None = None

    @property
    def free_rate(self) -> float:
        """Return how many places become free in a second, 0 if unknown."""
        if self.hold_s is None:
            return 0
        rate = self.upstream.slots / max(_LEAST_HOLD_S, self.hold_s)
        return rate if self.tokens is None else min(rate, self.tokens.rate)

    @property
    def token_s(self) -> float:
        """Return the expected time to read a token of a prompt."""
        return self._token_s or FIRST_TOKEN_S

    def free(self, share: float) -> int:
        """Return how many more requests may run, of this share of places."""
        places = math.ceil(self.upstream.slots * share)
        return max(1, places) - len(self.runs)

    def has_place(self, share: float, now: float) -> bool:
        """Return whether a request may begin here now."""
        if self.free(share) <= 0:
            return False
        return self.tokens is None or self.tokens.has_token(now)

    def is_aside(self, now: float) -> bool:
        """Return whether recent failures keep this upstream out of use."""
        return now < self._aside_until

    @property
    def reads_suspect(self) -> bool:
        """Return whether a suspect has begun here and shown nothing yet."""
        return any(
            run.reading and run.job.suspect for run in self.runs.values()
        )

    def first_s(self, job: Job) -> float:
        """Return the expected time to the first event of a job."""
        if not job.output_tokens:
            return self._plain_s or FIRST_PLAIN_S
        tokens = self.reading_tokens + job.prompt_tokens
        return FIRST_FIXED_S + tokens * self.token_s

    def total_s(self, job: Job, events: float) -> float:
        """Return the expected time to the last of so many events of a job."""
        if not job.output_tokens:
            load = 1 + len(self.runs) / self.upstream.slots
            return load * (self._plain_s or FIRST_PLAIN_S)
        return self.first_s(job) + events * (self._pace_s or FIRST_PACE_S)

    def keeps_pace(self, job: Job, event_tokens: int) -> bool:
        """Return whether an answer from here has no pause that is too long.

        Engines of one service differ in speed by a factor of five. Where an
        event takes as long as its route allows, an answer is late however
        soon it begins.
        """
        if not job.pause_s or self._pause_s is None:
            return True
        if job.output_tokens < _PAUSE_EVENTS * event_tokens:
            return True
        longest_s = self._pause_s + _PAUSE_DEVIATIONS * self._pause_off_s
        return longest_s <= job.pause_s

    def grant(self, job: Job) -> None:
        """Take a job as running here."""
        self.runs[job.key] = Run(job, self.reading_tokens)
        self.reading_tokens += job.prompt_tokens
        if self.tokens is not None:
            self.tokens.take()

    def drop(self, key: str) -> None:
        """Forget a job without learning from it."""
        run = self.runs.pop(key, None)
        if run is not None:
            self._has_read(run)

    def first_byte(self, key: str) -> None:
        """Take that a job's prompt has been read."""
        run = self.runs.get(key)
        if run is not None:
            self._has_read(run)

    def finish(self, key: str, report: RunReport, now: float) -> None:
        """Take how a job ended, and learn from it."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        self._has_read(run)
        if self.tokens is not None and report.ending in NOT_SENT:
            self.tokens.give_back()
        self._note_failure(report.ending, now)
        if report.total_s:
            self.hold_s = _mean(self.hold_s, report.total_s)
        if report.ending is not Ending.answered:
            return
        if not run.job.output_tokens:
            self._plain_s = _mean(self._plain_s, report.total_s)
            return
        if report.events > 1:
            pace_s = report.stream_s / (report.events - 1)
            self._pace_s = _mean(self._pace_s, pace_s)
        if report.events >= _PAUSE_EVENTS:
            self._learn_pause(report.pause_s)
        tokens = run.ahead_tokens + run.job.prompt_tokens
        if report.first_s is not None and tokens >= _LEARNING_TOKENS:
            reading_s = max(0, report.first_s - FIRST_FIXED_S)
            self._token_s = _mean(self._token_s, reading_s / tokens)

    def _learn_pause(self, pause_s: float) -> None:
        if self._pause_s is not None:
            off_s = abs(pause_s - self._pause_s)
            self._pause_off_s = _mean(self._pause_off_s, off_s)
        self._pause_s = _mean(self._pause_s, pause_s)

    def _has_read(self, run: Run) -> None:
        if run.reading:
            run.reading = False
            self.reading_tokens -= run.job.prompt_tokens

    def _note_failure(self, ending: Ending, now: float) -> None:
        if ending is Ending.answered:
            self._failures = 0
            self._aside_until = 0
            return
        if ending not in _FAILURES:
            return
        self._failures += 1
        # Nothing listens there: one refused connection says enough.
        borne = 1 if ending is Ending.unsent else _FAILURES_BORNE
        over = self._failures - borne
        if over >= 0:
            aside_s = min(_LONGEST_ASIDE_S, _ASIDE_S * 2**over)
            self._aside_until = now + aside_s


def _mean(old: float | None, newest: float) -> float:
    if old is None:
        return newest
    return old + _NEWEST * (newest - old)
