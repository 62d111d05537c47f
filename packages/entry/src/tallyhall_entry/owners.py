"""Whom the requests of one instance ask for an upstream.

The owner of a service is asked, the candidates after it where it does not
answer. One that was silent is not asked again for a while.
"""

from __future__ import annotations

import asyncio

import msgspec
from tallyhall_dispatch.ownership import Ownership
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_transport.peers import PeerLinks

# A silent owner is not asked again for this long, and until it has answered
# something that was sent with or after the ask.
_SUSPECT_S = 0.3
# So many silent owners are asked in any case; one more only if its answer takes
# at most this part of the time that the request has left until it is due.
_SILENT_ASKED = 2
_ANSWER_PART = 0.25
# What the next owner may grant of a limit while the first may still grant all.
_SECOND_PART = 0.5


class _Suspect(msgspec.Struct, frozen=True):
    """An owner that has left an ask of `asked_at` unanswered."""

    asked_at: float
    until: float


class Owners:
    """The owners of all services, and which of them are silent."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        links: PeerLinks,
    ) -> None:
        """Look from the instance of this name."""
        self.ownership = Ownership()
        self.ownership.take_live(frozenset((name,)))
        # The part of all instances that this one hears.
        self.share: float = 1
        self._name = name
        self._dispatcher = dispatcher
        self._links = links
        self._loop = asyncio.get_running_loop()
        self._suspects: dict[str, _Suspect] = {}

    def usable(self, service: str) -> str | None:
        """Return whom to ask, None where this instance decides itself."""
        if not self._dispatcher.is_shared(service):
            return None
        for owner in self.ownership.owners(service):
            if owner == self._name:
                return None
            if not self._is_suspect(owner):
                return owner
        return None

    def next_for(
        self,
        service: str,
        unanswered: int,
        left_s: float,
        answer_s: float,
    ) -> str | None:
        """Return whom a request asks that no owner has queued.

        unanswered: owners that have not answered it. left_s: until it is due.
        answer_s: for how long an owner is waited for.
        """
        if unanswered >= _SILENT_ASKED and answer_s > _ANSWER_PART * left_s:
            return None
        return self.usable(service)

    def is_alone(self, service: str) -> bool:
        """Return whether others own a service and none of them answers."""
        if not self._dispatcher.is_shared(service):
            return False
        owners = self.ownership.owners(service)
        return bool(owners) and self._name not in owners

    def limit_part(self, service: str) -> float:
        """Return which part of the limits of its upstreams may be used here.

        An owner places the requests of all whom it hears.
        """
        owners = self.ownership.owners(service)
        if owners and owners[0] == self._name:
            return self.share
        if self._name in owners:
            # Asked by those that do not reach the first, which others may.
            return _SECOND_PART * self.share
        # Where no owner answers, all others decide as well.
        return 0 if self.usable(service) else 1 / self._links.instances

    def unanswered(self, owner: str, asked_at: float) -> None:
        """Take that an owner has left an ask unanswered."""
        until = self._loop.time() + _SUSPECT_S
        self._suspects[owner] = _Suspect(asked_at, until)

    def _is_suspect(self, owner: str) -> bool:
        """Return whether an owner is taken for silent.

        By time alone, what waits here would leave its queue every 0.3 s to
        ask owners that are cut off, until their loss is noticed.
        """
        suspect = self._suspects.get(owner)
        if suspect is None:
            return False
        if self._loop.time() < suspect.until:
            return True
        peer = self._links.peers.get(owner)
        if peer is not None and peer.answered_at < suspect.asked_at:
            return True
        self._suspects.pop(owner)
        return False
