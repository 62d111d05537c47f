"""In which order urgencies are served when not all can be.

The most urgent jobs always go first. Strict order among the rest would
starve the last urgency as soon as the engines are full, although its jobs
may be the smallest. So the others take turns: the urgency of which the
least part was served in time goes first, and a more urgent one keeps a head
start, so that it is not served less often than a less urgent one.
"""

from __future__ import annotations

from .windows import SlidingSum

# Weight of the newest job in the served part of its urgency: fifty jobs,
# some two seconds of one class, replace two thirds of it.
_NEWEST = 0.02
# Part by which a less urgent class must be served worse to go first.
_HEAD_START = 0.05
_MOST_URGENT = 0
_FIRST = -1.0
# Grants are counted over this long, in seconds, in steps of a tenth: about
# the time for which jobs wait.
_RATE_S = 1.0
_STEPS = 10


class ServedShares:
    """The part of the jobs of each urgency that was served in time."""

    def __init__(self) -> None:
        """Start as if all had been served."""
        self._shares: dict[int, float] = {}

    def note(self, urgency: int, *, served: bool) -> None:
        """Take what became of a job."""
        share = self._shares.get(urgency, 1)
        self._shares[urgency] = share + _NEWEST * (served - share)

    def rank(self, urgency: int) -> float:
        """Return the rank of an urgency; the least goes first."""
        if urgency <= _MOST_URGENT:
            return _FIRST
        return self._shares.get(urgency, 1) + _HEAD_START * urgency


class AnswerLengths:
    """How many events the answers of each urgency have.

    Callers state the most tokens that they take, ten times what comes; by
    that, the pace of an engine would hide how much it has to read first.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._events: dict[int, float] = {}

    def note(self, urgency: int, events: int) -> None:
        """Take how long an answer was."""
        known = self._events.get(urgency, events)
        self._events[urgency] = known + _NEWEST * (events - known)

    def events(self, urgency: int, unknown: float) -> float:
        """Return the expected events of an answer, or what is given."""
        return self._events.get(urgency, unknown)


class GrantRates:
    """How many places a second went to each urgency."""

    def __init__(self) -> None:
        """Start without grants."""
        self._grants: dict[int, SlidingSum] = {}

    def note(self, urgency: int, now: float) -> None:
        """Take that a job was granted a place."""
        grants = self._grants.get(urgency)
        if grants is None:
            grants = SlidingSum(_RATE_S, _STEPS)
            self._grants[urgency] = grants
        grants.add(1, now)

    def per_s(self, urgency: int, now: float) -> float:
        """Return the rate of one urgency."""
        grants = self._grants.get(urgency)
        return 0 if grants is None else grants.total(now) / _RATE_S

    def above(self, urgency: int, now: float) -> float:
        """Return the rate of all that are more urgent."""
        return sum(
            self.per_s(other, now) for other in self._grants if other < urgency
        )
