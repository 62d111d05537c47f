"""Judges whether this instance itself reaches its upstreams.

An attempt that fails says either that the upstream is gone or that the link to
it is. One instance cannot tell these apart by a single upstream. If several
upstreams fail one after the other while none answers, the link of the instance
is the likelier cause: it counts as isolated until an upstream answers again.
Answers that are overdue are weaker evidence than connections that fail, as busy
upstreams are slow, too: they only make the instance check its links.
"""

from __future__ import annotations

import enum

import msgspec

# Upstreams that must fail, without an answer of any between, for the instance
# to count as isolated.
_MIN_FAILED_UPSTREAMS = 2
# Time for which no direct connection is opened to an upstream that this
# instance did not reach, while others may. It doubles with each further
# failure, up to the maximum.
_AVOID_S = 1.0
_MAX_AVOID_S = 8.0


@enum.unique
class LinkFailure(enum.Enum):
    """How an upstream failed before anything came from it.

    refused: a new connection was refused or reset. timed_out: it was given up.
    overdue: a request has no answer.
    """

    refused = 'refused'
    timed_out = 'timed_out'
    overdue = 'overdue'


class _Avoided(msgspec.Struct):
    """An upstream to which no direct connection is opened for now."""

    until: float
    failures: int = 1


class LinkMonitor:
    """The direct links of one instance to its upstreams.

    Upstreams are named by their incarnations; times are those of the event
    loop, in seconds.
    """

    def __init__(self) -> None:
        """Start with all links sound."""
        # When the instance became isolated, None if it is not.
        self.isolated_since: float | None = None
        # Upstreams that failed since the last answer on a new connection.
        self._failed: dict[str, LinkFailure] = {}
        self._avoided: dict[str, _Avoided] = {}
        # When any upstream last sent anything on a direct connection.
        self._heard_at: float = float('-inf')

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance does not reach any upstream."""
        return self.isolated_since is not None

    @property
    def failed(self) -> frozenset[str]:
        """Return the upstreams that failed since the last answer."""
        return frozenset(self._failed)

    def update_upstreams(self, known: frozenset[str]) -> None:
        """Replace the set of upstreams that take requests."""
        for failed in self._failed.keys() - known:
            self._failed.pop(failed)
        for gone in self._avoided.keys() - known:
            self._avoided.pop(gone)

    def is_direct(self, incarnation: str, now: float) -> bool:
        """Return whether a new connection to an upstream should be direct."""
        if self.is_isolated:
            return False
        avoided = self._avoided.get(incarnation)
        return avoided is None or now >= avoided.until

    def record_data(self, now: float) -> None:
        """Record that something was received on a direct connection."""
        self._heard_at = now

    def record_answer(self, incarnation: str) -> bool:
        """Record that an upstream answers on a new direct connection.

        Returns whether the instance was isolated until now.
        """
        was_isolated = self.is_isolated
        self._failed.clear()
        self._avoided.pop(incarnation, None)
        if was_isolated:
            self._avoided.clear()
        self.isolated_since = None
        return was_isolated

    @property
    def is_silent(self) -> bool:
        """Return whether a failed upstream just did not answer.

        Open connections may then be dead without a sign of it.
        """
        return any(
            failure is not LinkFailure.refused
            for failure in self._failed.values()
        )

    def record_failure(
        self, incarnation: str, failure: LinkFailure, now: float
    ) -> bool:
        """Record that a new direct connection failed before any answer.

        Returns whether the instance counts as isolated from now on.
        """
        self._failed[incarnation] = failure
        failed = sum(
            known is not LinkFailure.overdue for known in self._failed.values()
        )
        return failed >= _MIN_FAILED_UPSTREAMS and self.confirm_isolated(now)

    def confirm_isolated(self, now: float) -> bool:
        """Record that upstreams that were asked did not answer.

        Returns whether the instance counts as isolated from now on; it does
        not if others have answered meanwhile.
        """
        if self.is_isolated or len(self._failed) < _MIN_FAILED_UPSTREAMS:
            return False
        self.isolated_since = now
        return True

    def record_silence(self, incarnation: str, asked_at: float) -> bool:
        """Record that a request that was sent at `asked_at` has no answer yet.

        It counts only if nothing came from any upstream since. Returns whether
        the links must be checked.
        """
        if self.is_isolated or self._heard_at >= asked_at:
            return False
        self._failed.setdefault(incarnation, LinkFailure.overdue)
        return len(self._failed) >= _MIN_FAILED_UPSTREAMS

    def avoid(self, incarnation: str, now: float) -> None:
        """Open no direct connection to an upstream for a while."""
        avoided = self._avoided.get(incarnation)
        if avoided is None:
            self._avoided[incarnation] = _Avoided(now + _AVOID_S)
            return
        if now < avoided.until:
            return
        avoid_s = min(_MAX_AVOID_S, _AVOID_S * 2**avoided.failures)
        avoided.failures += 1
        avoided.until = now + avoid_s
