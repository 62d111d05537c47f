"""Selects the versions of a service's upstreams that receive requests.

Several versions run side by side only around a rollout. A version that no order
allows gets no requests, since its upstreams may start before the order is
given. During a rollout, the target version gets only the requests that the
rollout leader places there. After a completed rollout only the target gets
requests; after a rollback the target gets none until a newer order names it.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable

import msgspec

from .desired import Upstream

# If the accepted version has had no upstreams for this long, in seconds,
# another version that has some is accepted without an order.
_ACCEPT_OTHER_S = 5.0


@enum.unique
class RolloutState(enum.Enum):
    """State of a rollout order."""

    running = 'running'
    completed = 'completed'
    rolled_back = 'rolled back'


class RolloutOrder(msgspec.Struct, frozen=True):
    """An order to move the traffic of a service to a target version.

    limit_s: time limit from the order, in seconds. revision: identifies the
    order; later orders have larger revisions.
    """

    service: str
    target: str
    limit_s: float
    revision: int


class RolloutStatus(msgspec.Struct, frozen=True):
    """The stored state of an order; `revision` is that of the status itself."""

    target: str
    state: RolloutState
    revision: int

    def concludes(self, order: RolloutOrder) -> bool:
        """Return whether this is the final status of an order."""
        if self.state is RolloutState.running:
            return False
        return self.target == order.target and self.revision > order.revision


def order_in_progress(
    order: RolloutOrder | None,
    status: RolloutStatus | None,
) -> RolloutOrder | None:
    """Return the order if its rollout is still in progress, else None."""
    if order is None or (status is not None and status.concludes(order)):
        return None
    return order


class ServiceVersions:
    """The versions of one service according to the latest order and status."""

    def __init__(self) -> None:
        """Start without an order."""
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        # Version that receives requests if no order says otherwise.
        self._accepted = ''
        self._seen_at: float = 0
        self._has_lost_accepted = False

    def lost_accepted_version(self, now: float) -> bool:
        """Return whether the accepted version has lost all upstreams."""
        return (
            self._has_lost_accepted and now - self._seen_at >= _ACCEPT_OTHER_S
        )

    @property
    def order_in_progress(self) -> RolloutOrder | None:
        """Return the order that is in progress, if any."""
        return order_in_progress(self.order, self.status)

    def classify(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams with canaries and excluded versions marked."""
        known = tuple(upstreams)
        self._update_accepted(known, now)
        return tuple(map(self._mark, known))

    # -- internal

    def _mark(self, upstream: Upstream) -> Upstream:
        version = upstream.version
        order = self.order_in_progress
        if order is not None and version == order.target:
            return msgspec.structs.replace(upstream, canary=True)
        if self._is_excluded(version):
            return msgspec.structs.replace(upstream, leaving=True)
        return upstream

    def _is_excluded(self, version: str) -> bool:
        if self.order_in_progress is not None:
            return version == self._target_if(RolloutState.rolled_back)
        return version != self._accepted

    def _target_if(self, state: RolloutState) -> str | None:
        """Return the target of the latest rollout if it ended in this state."""
        status = self.status
        if status is None or status.state is not state:
            return None
        return status.target

    def _update_accepted(
        self,
        upstreams: tuple[Upstream, ...],
        now: float,
    ) -> None:
        """Update the accepted version."""
        counts = collections.Counter(
            upstream.version for upstream in upstreams if not upstream.leaving
        )
        completed = self._target_if(RolloutState.completed)
        if completed is not None and completed in counts:
            self._accepted = completed
        self._has_lost_accepted = bool(counts) and self._accepted not in counts
        if not self._has_lost_accepted:
            self._seen_at = now
            return
        if self._accepted and now - self._seen_at < _ACCEPT_OTHER_S:
            return
        excluded = {self._target_if(RolloutState.rolled_back)}
        if self.order_in_progress is not None:
            excluded.add(self.order_in_progress.target)
        others = sorted(counts.keys() - excluded)
        if others:
            self._accepted = max(others, key=counts.__getitem__)
            self._has_lost_accepted = False
