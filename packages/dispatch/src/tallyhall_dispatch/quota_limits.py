"""What a workspace may use, by its quota and by how much is known of others."""

from __future__ import annotations

import msgspec

from .desired import Workspace
from .topology import is_mesh

# Use above this part of a quota is told to all with every beat, so that
# those that do not hear each other know it from one that hears all; what is
# used below it cannot exceed a quota together with their own.
_HIGH_PART = 0.5
# Use below this part of a quota is calm: what all admit in a surge until a
# silence of 1.5 beats is seen stays in the quota, with the beats of a mesh and
# with the longest ones of a large fleet.
_CALM_PART = 0.65
_CALM_PART_MESH = 0.8
# Part of the granted slack that lone instances may use together; the rest
# covers what is admitted between two reports.
_SLACK_PART = 0.5
# Part of what a quota may be exceeded by that is given to requests above it
# while places are free. The rest is for what is admitted between two reports.
_SPARE_PART = 0.5
# Of what is left while the use is calm, so much may be admitted here before it
# is counted, and at any time by one request in a large fleet: a large request
# does not fit into an even share.
_CALM_SHARE = 1 / 8
# In a large fleet at most that many parts of what is left are shared out among
# all, since the more instances there are, the more of them admit something
# until they hear of each other: 25 are eighths at 200 instances.
_SHARES_AT_ONCE = 25
# Of what a quota may be exceeded by, so much may be admitted unheard of while
# all news come in time.
_UNHEARD_PART = 0.25
# Least time between two questions for the use of all from an instance, in
# seconds, and how many of them a hub gets in a second at most.
_NEWS_S = 0.1
_MOST_NEWS_PER_S = 1000


class QuotaBounds(msgspec.Struct, frozen=True):
    """How quotas are measured and by how much they may be exceeded."""

    window_s: float
    overshoot: float
    slack: float


class Fleet(msgspec.Struct, frozen=True):
    """How much of the fleet reports here; heard is a part of one.

    known_at: what this instance had admitted by then is known to all that
    it hears, None where it hears nobody else. counted_at: to one that tells
    all, None while any may be cut off.
    """

    instances: int = 1
    heard: float = 1
    known_at: float | None = None
    counted_at: float | None = None

    @property
    def is_mesh(self) -> bool:
        """Return whether each instance hears all others itself."""
        return is_mesh(self.instances)

    @property
    def news_s(self) -> float:
        """Return how often hubs are told and asked of a quota used much."""
        return max(_NEWS_S, self.instances / _MOST_NEWS_PER_S)


class QuotaLimits(msgspec.Struct, frozen=True):
    """The amounts that bind one workspace now."""

    workspace: Workspace
    bounds: QuotaBounds
    fleet: Fleet

    @property
    def quota(self) -> float:
        """Return what may be used in any window."""
        workspace = self.workspace
        return workspace.rate * self.bounds.window_s + workspace.burst

    @property
    def beyond(self) -> float:
        """Return by how much the operators let a quota be exceeded."""
        return self.quota * self.bounds.overshoot + self.bounds.slack

    @property
    def ceiling(self) -> float:
        """Return a quota with what requests above it may have together."""
        return self.quota + _SPARE_PART * self.beyond

    @property
    def allowed(self) -> float:
        """Return what may be used of a quota where a part is not heard."""
        if self.fleet.heard >= 1:
            return self.quota
        alone = self.beyond * _SLACK_PART / self.fleet.instances
        return min(self.quota, self.quota * self.fleet.heard + alone)

    @property
    def high(self) -> float:
        """Return the use above which all are told of it."""
        return _HIGH_PART * self.quota

    @property
    def generous_part(self) -> float:
        """Return the most of what is left that one may admit unheard of."""
        return min(_CALM_SHARE, _SHARES_AT_ONCE / self.fleet.instances)

    def is_calm(self, used: float) -> bool:
        """Return whether what others admit meanwhile does not decide."""
        part = _CALM_PART_MESH if self.fleet.is_mesh else _CALM_PART
        return used < part * self.quota

    def reserve(self, unheard: float) -> float:
        """Return what must be left for what others admit, unheard of yet."""
        return max(0, unheard - _UNHEARD_PART * self.beyond)

    def left(self, known: float) -> float:
        """Return what all may admit yet, of a use that all know."""
        left = self.ceiling if self.fleet.heard >= 1 else self.allowed
        if self.fleet.is_mesh:
            return left - known
        # Hubs do not tell of less.
        return left - max(known, self.high)
