"""Counts the instances among which quotas, slots and retries are divided.

The instances that callers are directed to are not the same as those that may
still admit requests. A stopping instance is not offered to callers, but admits
requests on open connections until it exits. An instance whose registry entry
disappeared without being marked as leaving may be dead, frozen or partitioned;
it may admit requests until its last confirmation of the desired state is too
old, so it counts for that long. Counting one instance too many leaves its share
unused; counting one too few gives the same share to two instances.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

_NO_INSTANCES: frozenset[str] = frozenset()


class FleetCount(msgspec.Struct, frozen=True):
    """The instances that count, including this one.

    registered: instances offered to callers. leaving: instances that announced
    that they are stopping. vanished: instances without an entry that were
    registered or heard recently.
    """

    registered: frozenset[str] = _NO_INSTANCES
    leaving: frozenset[str] = _NO_INSTANCES
    vanished: frozenset[str] = _NO_INSTANCES

    @property
    def members(self) -> frozenset[str]:
        """Return all instances that may admit requests."""
        return self.registered | self.leaving | self.vanished

    @property
    def slot_holders(self) -> frozenset[str]:
        """Return the instances that are assumed to occupy upstream slots.

        Vanished instances are left out: exceeding the slots of an upstream
        breaks no guarantee, and keeping a dead instance's slots free for as
        long as it might admit costs more than filling some of them twice.
        """
        return self.registered | self.leaving


class FleetMembership:
    """Tracks registry entries and received messages on one instance."""

    def __init__(self, name: str, admits_s: float, unseen_s: float) -> None:
        """Start with this instance only.

        admits_s: how long an instance that is cut off continues to admit.
        unseen_s: minimum time for which an instance has not reached the store
        when its entry expires.
        """
        self.name = name
        self.admits_s = admits_s
        self.unseen_s = unseen_s
        # Registered instances, and whether each is leaving.
        self._entries: dict[str, bool] = {}
        self._heard_at: dict[str, float] = {}
        self._vanished_at: dict[str, float] = {}
        self._left_at: dict[str, float] = {}

    def update_entries(self, leaving: Mapping[str, bool], now: float) -> None:
        """Update the registered instances and which of them are leaving."""
        for name in self._entries.keys() - leaving.keys():
            if self._entries[name]:
                self._left_at[name] = now
            else:
                # Part of the time for which it still admits has already passed.
                self._vanished_at[name] = now - self.unseen_s
        for known in leaving:
            self._vanished_at.pop(known, None)
            self._left_at.pop(known, None)
        self._entries = dict(leaving)

    def count(self, heard: Mapping[str, float], now: float) -> FleetCount:
        """Return the instances that count.

        heard: when each instance was last heard.
        """
        # Keep the times of instances whose stream has since been closed.
        self._heard_at |= heard
        self._expire(now)
        vanished = set(self._vanished_at)
        for name, heard_at in self._heard_at.items():
            # An instance that left as announced sends nothing afterwards.
            if heard_at > self._left_at.get(name, heard_at - 1):
                vanished.add(name)
        leaving = {known for known, stops in self._entries.items() if stops}
        registered = self._entries.keys() - leaving
        if self.name not in leaving:
            registered |= {self.name}
        return FleetCount(
            frozenset(registered),
            frozenset(leaving),
            frozenset(vanished - self._entries.keys() - {self.name}),
        )

    def _expire(self, now: float) -> None:
        for times in (self._heard_at, self._vanished_at, self._left_at):
            for name, since in tuple(times.items()):
                if now - since >= self.admits_s:
                    times.pop(name)
