"""Selects the instance that queues the jobs of a service.

The owner is the first instance in rendezvous-hash order among those that were
heard recently. Instances may disagree about it for a while; this only affects
the order of the queue, so ownership needs no consensus and is not stored.
"""

from __future__ import annotations

from tallyhall_membership.rendezvous import rank

# Number of owner candidates that an instance asks in turn before it decides on
# its own.
_MAX_CANDIDATES = 3


class Ownership:
    """Owners of services for the current set of live instances."""

    def __init__(self) -> None:
        """Start without instances."""
        self._live: frozenset[str] = frozenset()
        self._owners: dict[str, tuple[str, ...]] = {}

    def take_live(self, live: frozenset[str]) -> bool:
        """Update the live instances; return whether they changed."""
        if live == self._live:
            return False
        self._live = live
        self._owners.clear()
        return True

    @property
    def live(self) -> frozenset[str]:
        """Return the live instances."""
        return self._live

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, None if no instance is live."""
        owners = self.owners(service)
        return owners[0] if owners else None

    def owners(self, service: str) -> tuple[str, ...]:
        """Return the owner of a service, followed by its successors."""
        known = self._owners.get(service)
        if known is None:
            known = tuple(rank(service, self._live)[:_MAX_CANDIDATES])
            self._owners[service] = known
        return known
