"""Which versions of a service's upstreams take its requests.

Several versions run beside each other only around a roll-out. What no order
allows gets nothing: its upstreams may be there before the order is. While a
roll-out runs, its target gets what the leader of the roll-out places there and
nothing else. An order that was completed leaves the target alone, one that was
rolled back bars it until a newer order names it.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable

import msgspec

from .desired import Upstream

# A service whose accepted version has had no upstream for this long takes the
# one that is there: nobody says any more that it must wait. Seconds.
_ABSENT_S = 5.0


@enum.unique
class RolloutState(enum.Enum):
    """What has become of an order."""

    running = 'running'
    completed = 'completed'
    rolled_back = 'rolled back'


class RolloutOrder(msgspec.Struct, frozen=True):
    """A service's traffic is to move to the upstreams of a version.

    limit_s: within so many seconds from the order. revision: tells orders
    apart, a later one has a larger one.
    """

    service: str
    target: str
    limit_s: float
    revision: int


class RolloutStatus(msgspec.Struct, frozen=True):
    """What was written of an order; the revision is that of the writing."""

    target: str
    state: RolloutState
    revision: int

    def ends(self, order: RolloutOrder) -> bool:
        """Return whether this is the last word about an order."""
        if self.state is RolloutState.running:
            return False
        return self.target == order.target and self.revision > order.revision


def without_last_word(
    order: RolloutOrder | None,
    status: RolloutStatus | None,
) -> RolloutOrder | None:
    """Return an order if its roll-out still runs."""
    if order is None or (status is not None and status.ends(order)):
        return None
    return order


class ServiceVersions:
    """The versions of one service, by the newest order and status."""

    def __init__(self) -> None:
        """Start without an order."""
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        # What takes requests where no order says anything else.
        self._accepted = ''
        self._seen_at: float = 0
        self._is_absent = False

    def is_absent(self, now: float) -> bool:
        """Return whether no upstream of the accepted version is left."""
        return self._is_absent and now - self._seen_at >= _ABSENT_S

    @property
    def running(self) -> RolloutOrder | None:
        """Return the order that has no last word yet."""
        return without_last_word(self.order, self.status)

    def marked(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams, canaries and those that get nothing marked."""
        known = tuple(upstreams)
        self._look(known, now)
        return tuple(map(self._marked, known))

    # -- inner steps

    def _marked(self, upstream: Upstream) -> Upstream:
        version = upstream.version
        order = self.running
        if order is not None and version == order.target:
            return msgspec.structs.replace(upstream, canary=True)
        if self._is_barred(version):
            return msgspec.structs.replace(upstream, leaving=True)
        return upstream

    def _is_barred(self, version: str) -> bool:
        if self.running is not None:
            return version == self._ended(RolloutState.rolled_back)
        return version != self._accepted

    def _ended(self, state: RolloutState) -> str | None:
        """Return the version whose roll-out ended so, if the newest did."""
        status = self.status
        if status is None or status.state is not state:
            return None
        return status.target

    def _look(self, upstreams: tuple[Upstream, ...], now: float) -> None:
        """Settle which version takes requests where no order runs."""
        staying = collections.Counter(
            upstream.version for upstream in upstreams if not upstream.leaving
        )
        completed = self._ended(RolloutState.completed)
        if completed is not None and completed in staying:
            self._accepted = completed
        self._is_absent = bool(staying) and self._accepted not in staying
        if not self._is_absent:
            self._seen_at = now
            return
        if self._accepted and now - self._seen_at < _ABSENT_S:
            return
        barred = {self._ended(RolloutState.rolled_back)}
        if self.running is not None:
            barred.add(self.running.target)
        others = sorted(staying.keys() - barred)
        if others:
            self._accepted = max(others, key=staying.__getitem__)
            self._is_absent = False
