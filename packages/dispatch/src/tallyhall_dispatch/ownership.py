"""Which instance queues the jobs of a service.

The owner is soft: the first in rendezvous order among the instances heard
from a moment ago. Two instances that disagree for a while cost some order
in the queue and nothing else, so nothing is agreed on or stored.
"""

from __future__ import annotations

from tallyhall_membership.rendezvous import rank

# Instances that are asked in turn before an instance decides alone.
_CANDIDATES = 3


class Ownership:
    """Owners of services for one set of live instances."""

    def __init__(self) -> None:
        """Start without instances."""
        self._live: frozenset[str] = frozenset()
        self._owners: dict[str, tuple[str, ...]] = {}

    def take_live(self, live: frozenset[str]) -> bool:
        """Take the live instances; return whether they changed."""
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
        """Return the owner of a service, None if nobody is live."""
        owners = self.owners(service)
        return owners[0] if owners else None

    def owners(self, service: str) -> tuple[str, ...]:
        """Return who owns a service, and who does if those before are lost."""
        known = self._owners.get(service)
        if known is None:
            known = tuple(rank(service, self._live)[:_CANDIDATES])
            self._owners[service] = known
        return known
