"""Selects the versions of a service's upstreams that receive requests.

All versions may serve side by side. Where operators order rollouts, a version
that appears beside others may be the target of the next order, whose upstreams
may start before the order is given: it gets no requests until it has been there
for longer than that takes. During a rollout, the target gets only the requests
that the rollout leader places there. A completed rollout ends the versions that
were there before; after a rollback the target gets none until a newer order
names it.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable

import msgspec

from .desired import Upstream

# Time for which a new version gets no streams that may be resumed, in seconds.
# Every instance that can prove the version of a stream knows it by then (see
# `version_history`).
NEW_VERSION_S = 3.6
# Time within which an order may follow the first upstreams of its target, in
# seconds. Versions that a completed rollout ends are gone by then as well.
_ORDER_WAIT_S = 10.0
# If no version that may serve has had upstreams for this long, in seconds,
# those that wait for an order serve.
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

    def __init__(self, *, has_rollouts: bool = True) -> None:
        """Start without an order.

        has_rollouts: whether operators order rollouts in this deployment.
        """
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        self._has_rollouts = has_rollouts
        # Since when each registered version has been known.
        self._known_since: dict[str, float] = {}
        # Until when each version waits for an order that names it.
        self._waits_until: dict[str, float] = {}
        # The order that was in progress at the last look.
        self._named: RolloutOrder | None = None
        # Revision of the last completion that was taken into account.
        self._completed = 0
        # When a version that does not wait was last registered.
        self._served_at = -math.inf
        # When the selection changes next, without a change of upstreams.
        self._changes_at = math.inf

    @property
    def order_in_progress(self) -> RolloutOrder | None:
        """Return the order that is in progress, if any."""
        return order_in_progress(self.order, self.status)

    def is_outdated(self, now: float) -> bool:
        """Return whether upstreams are to be classified again."""
        return now >= self._changes_at

    def classify(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams with canaries and excluded versions marked."""
        known = tuple(upstreams)
        ready = [one for one in known if not one.leaving]
        versions = frozenset(one.version for one in ready)
        self._update_known(ready, versions, now)
        self._update_named(now)
        self._apply_completion(ready, now)
        used = self._used(versions, now)
        registered = frozenset(one.version for one in known)
        new = self._new_versions(registered, now)
        self._changes_at = self._next_change(versions, used, now)
        return tuple(self._mark(one, used, new) for one in known)

    # -- internal

    def _mark(
        self, upstream: Upstream, used: frozenset[str], new: frozenset[str]
    ) -> Upstream:
        version = upstream.version
        order = self.order_in_progress
        is_target = order is not None and version == order.target
        return msgspec.structs.replace(
            upstream,
            canary=is_target,
            leaving=upstream.leaving or not (is_target or version in used),
            is_new=version in new,
        )

    def _update_known(
        self, ready: list[Upstream], versions: frozenset[str], now: float
    ) -> None:
        """Record which versions came and went.

        Of those that an instance sees first, the one registered first serves;
        it alone is certain not to wait for an order, and not to be new.
        """
        is_first_look = not self._waits_until
        oldest = self._oldest(ready) if is_first_look else None
        self._known_since = {
            version: self._known_since.get(
                version, -math.inf if version == oldest else now
            )
            for version in versions
        }
        for version in versions - self._waits_until.keys():
            waits = self._has_rollouts and version != oldest
            self._waits_until[version] = now + _ORDER_WAIT_S if waits else now

    def _oldest(self, ready: list[Upstream]) -> str | None:
        """Return the version that was registered first, but no target.

        Without revisions it is the one with the most upstreams.
        """
        never_used = self._never_used()
        counts = collections.Counter(
            one.version for one in ready if one.version not in never_used
        )
        created = _first_created(ready)
        return min(
            counts,
            key=lambda version: (created[version], -counts[version], version),
            default=None,
        )

    def _update_named(self, now: float) -> None:
        """Exclude the target of an order that is withdrawn or replaced.

        Nobody judges it any more; what it may get is bounded until the limit of
        its order.
        """
        named = self._named
        self._named = self.order_in_progress
        if named is None or self._named == named:
            return
        if self.status is not None and self.status.concludes(named):
            return
        self._waits_until[named.target] = now + named.limit_s

    def _apply_completion(self, ready: list[Upstream], now: float) -> None:
        """Exclude the versions that a completed rollout ends.

        Those that came after it serve beside its target.
        """
        status = self.status
        if status is None or status.state is not RolloutState.completed:
            return
        self._waits_until[status.target] = -math.inf
        if status.revision <= self._completed:
            return
        self._completed = status.revision
        for version, created in _first_created(ready).items():
            if version != status.target and created < status.revision:
                self._waits_until[version] = now + _ORDER_WAIT_S

    def _used(self, versions: frozenset[str], now: float) -> frozenset[str]:
        """Return the versions that get requests without being a target."""
        allowed = versions - self._never_used()
        used = {one for one in allowed if self._waits_until[one] <= now}
        if used or not allowed:
            self._served_at = now
            return frozenset(used)
        if now - self._served_at < _ACCEPT_OTHER_S:
            return frozenset()
        return allowed

    def _never_used(self) -> frozenset[str]:
        """Return the targets of the order in progress and of a rollback."""
        targets = set()
        status = self.status
        if status is not None and status.state is RolloutState.rolled_back:
            targets.add(status.target)
        order = self.order_in_progress
        if order is not None:
            targets.add(order.target)
        return frozenset(targets)

    def _new_versions(
        self, registered: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the new versions, unless no other one is registered.

        registered: the versions of all upstreams, also of those that leave: an
        instance whose view is late may resume a stream at these.
        """
        new = frozenset(
            version
            for version, since in self._known_since.items()
            if now < since + NEW_VERSION_S
        )
        return new if registered - new else frozenset()

    def _next_change(
        self, versions: frozenset[str], used: frozenset[str], now: float
    ) -> float:
        times = [] if used else [self._served_at + _ACCEPT_OTHER_S]
        for version in versions:
            times.append(self._waits_until[version])
            times.append(self._known_since[version] + NEW_VERSION_S)
        return min((at for at in times if at > now), default=math.inf)


def _first_created(upstreams: Iterable[Upstream]) -> dict[str, int]:
    """Return the revision at which each version was first registered."""
    created: dict[str, int] = {}
    for upstream in upstreams:
        first = created.setdefault(upstream.version, upstream.created)
        created[upstream.version] = min(first, upstream.created)
    return created
