"""Selects the instance that is asked for an upstream.

The owner of a service is asked first, then the next candidates if it does not
respond. An instance that did not respond is skipped for a while.
"""

from __future__ import annotations

import asyncio

import msgspec
from tallyhall_dispatch.ownership import Ownership
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_transport.peer_streams import PeerStreams

# Minimum time for which an unresponsive owner is skipped. It is also skipped
# until it has answered something that was sent with the ask or after it.
_MIN_SKIP_S = 0.3
# Number of unresponsive owners that a request may always wait for. Another one
# is asked only if waiting for it takes at most the given fraction of the time
# that is left until the request is due.
_ALWAYS_ASKED_OWNERS = 2
_MAX_WAIT_FRACTION = 0.25
# Fraction of a limit that the second owner may grant, as the first one may
# still grant all of it.
_SECOND_OWNER_SHARE = 0.5


class _UnresponsiveOwner(msgspec.Struct, frozen=True):
    """An owner that did not respond to an ask sent at `asked_at`."""

    asked_at: float
    until: float


class Owners:
    """Tracks the owners of all services and which of them are unresponsive."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        peer_streams: PeerStreams,
    ) -> None:
        """Select owners on behalf of the named instance."""
        self.ownership = Ownership()
        self.ownership.take_live(frozenset((name,)))
        # Fraction of all instances that this one hears from.
        self.share: float = 1
        self._name = name
        self._dispatcher = dispatcher
        self._peer_streams = peer_streams
        self._loop = asyncio.get_running_loop()
        self._unresponsive: dict[str, _UnresponsiveOwner] = {}

    def usable(self, service: str) -> str | None:
        """Return the owner to ask, None if this instance decides itself."""
        if not self._dispatcher.has_owner(service):
            return None
        for owner in self.ownership.owners(service):
            if owner == self._name:
                return None
            if not self._is_unresponsive(owner):
                return owner
        return None

    def next_owner(
        self,
        service: str,
        unanswered: int,
        left_s: float,
        answer_s: float,
    ) -> str | None:
        """Return the owner to ask next for a request that none has queued.

        unanswered: number of owners that did not respond. left_s: time until
        the request is due. answer_s: timeout for a response of an owner.
        """
        if (
            unanswered >= _ALWAYS_ASKED_OWNERS
            and answer_s > _MAX_WAIT_FRACTION * left_s
        ):
            return None
        return self.usable(service)

    def has_only_remote_owners(self, service: str) -> bool:
        """Return whether only other instances own a service.

        The caller checks that none of them responds.
        """
        if not self._dispatcher.has_owner(service):
            return False
        owners = self.ownership.owners(service)
        return bool(owners) and self._name not in owners

    def limit_share(self, service: str) -> float:
        """Return the fraction of upstream limits that may be used here.

        An owner schedules the requests of all instances that it hears from.
        """
        owners = self.ownership.owners(service)
        if owners and owners[0] == self._name:
            return self.share
        if self._name in owners:
            # Asked by instances that cannot reach the first owner, while
            # others may reach it.
            return _SECOND_OWNER_SHARE * self.share
        # If no owner responds, every other instance decides for itself, too.
        return 0 if self.usable(service) else 1 / self._peer_streams.instances

    def unanswered(self, owner: str, asked_at: float) -> None:
        """Record that an owner did not respond to an ask."""
        until = self._loop.time() + _MIN_SKIP_S
        self._unresponsive[owner] = _UnresponsiveOwner(asked_at, until)

    def _is_unresponsive(self, owner: str) -> bool:
        """Return whether an owner is considered unresponsive.

        With a time limit alone, requests queued here would leave their queue
        every 0.3 s to ask partitioned owners, until their loss is detected.
        """
        suspect = self._unresponsive.get(owner)
        if suspect is None:
            return False
        if self._loop.time() < suspect.until:
            return True
        peer = self._peer_streams.peers.get(owner)
        if peer is not None and peer.echoed_at < suspect.asked_at:
            return True
        self._unresponsive.pop(owner)
        return False
