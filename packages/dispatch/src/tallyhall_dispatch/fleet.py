"""Which instances count where quotas, places and retries are divided.

Who is offered to callers and who may still admit requests are two lists. An
instance that stops is offered to nobody and admits what comes on open
connections until its end. One whose entry vanished without a mark may be
dead, frozen or cut off; it may admit until its last confirmation of the
desired state is too old, so it counts for that long. To count one too many
costs its part of what is divided; to count one too few gives that part to
two.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

_NOBODY: frozenset[str] = frozenset()


class FleetCount(msgspec.Struct, frozen=True):
    """The instances that count, with this one.

    registered: those that are offered to callers. leaving: those that said
    that they stop. vanished: those heard or registered until lately.
    """

    registered: frozenset[str] = _NOBODY
    leaving: frozenset[str] = _NOBODY
    vanished: frozenset[str] = _NOBODY

    @property
    def members(self) -> frozenset[str]:
        """Return all that may admit requests."""
        return self.registered | self.leaving | self.vanished

    @property
    def holders(self) -> frozenset[str]:
        """Return all that are taken to hold places of upstreams.

        No bound is on places: to leave free what one that died held, for as
        long as it might admit, costs more than to fill some twice.
        """
        return self.registered | self.leaving


class Membership:
    """Follows the entries and who is heard, for one instance."""

    def __init__(self, name: str, admits_s: float, unseen_s: float) -> None:
        """Start alone.

        admits_s: how long an instance that hears nothing goes on admitting.
        unseen_s: for how long at least one has heard nothing of the store
        when its entry vanishes.
        """
        self.name = name
        self.admits_s = admits_s
        self.unseen_s = unseen_s
        # Whether each registered one is leaving.
        self._entries: dict[str, bool] = {}
        self._heard: dict[str, float] = {}
        self._vanished: dict[str, float] = {}
        self._ended: dict[str, float] = {}

    def take_entries(self, leaving: Mapping[str, bool], now: float) -> None:
        """Take who is registered, and which of them are leaving."""
        for name in self._entries.keys() - leaving.keys():
            if self._entries[name]:
                self._ended[name] = now
            else:
                # It has spent a part of the time for which it admits.
                self._vanished[name] = now - self.unseen_s
        for known in leaving:
            self._vanished.pop(known, None)
            self._ended.pop(known, None)
        self._entries = dict(leaving)

    def count(self, heard: Mapping[str, float], now: float) -> FleetCount:
        """Return who counts; `heard` tells when each was heard last."""
        # Who loses its stream here was heard all the same.
        self._heard |= heard
        self._forget(now)
        vanished = set(self._vanished)
        for name, heard_at in self._heard.items():
            # One that ended as it had said is silent from then on.
            if heard_at > self._ended.get(name, heard_at - 1):
                vanished.add(name)
        leaving = {one for one, stops in self._entries.items() if stops}
        registered = self._entries.keys() - leaving
        if self.name not in leaving:
            registered |= {self.name}
        return FleetCount(
            frozenset(registered),
            frozenset(leaving),
            frozenset(vanished - self._entries.keys() - {self.name}),
        )

    def _forget(self, now: float) -> None:
        for gone in (self._heard, self._vanished, self._ended):
            for name, since in tuple(gone.items()):
                if now - since >= self.admits_s:
                    gone.pop(name)
