"""Hears at once what all have used, where that decides about a request.

A beat is spaced for calm: what others admitted a second ago matters little to
a quota of which one half is used. Where a quota is nearly used it is told to
the hubs at once and asked of them, and nobody is refused for his quota by
older knowledge than that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_dispatch.quota import Quotas
from tallyhall_dispatch.topology import is_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Hubs answer in 3 ms, busy ones in 50; a request that would be refused waits
# for it no longer than this, in seconds.
_ANSWER_S = 0.1
_LOOK_S = 0.01


class UseNews:
    """Asks the hubs what all have used, and answers those that ask."""

    def __init__(
        self,
        links: PeerLinks,
        quotas: Quotas,
        take_known: Callable[[], None],
    ) -> None:
        """Ask for these quotas; `take_known` takes what has been answered."""
        self._links = links
        self._quotas = quotas
        self._take_known = take_known
        self._loop = asyncio.get_running_loop()
        self._hubs: frozenset[str] = frozenset()
        # Whom the next batch asks for an answer at once.
        self._asked: set[str] = set()
        self._asked_at = float('-inf')
        self._asking: asyncio.Task[None] | None = None

    def look(self, hubs: frozenset[str]) -> frozenset[str]:
        """Take who the hubs are; return whom to ask now."""
        self._hubs = hubs & self._links.peers.keys()
        now = self._loop.time()
        if is_mesh(self._links.instances):
            return frozenset()
        if now - self._asked_at < self._quotas.refresh_s:
            return frozenset()
        if not self._quotas.take_refresh_wanted():
            return frozenset()
        return self.mark_hubs()

    def mark_hubs(self) -> frozenset[str]:
        """Return the hubs; their next batches ask for an answer at once."""
        self._asked_at = self._loop.time()
        self._asked.update(self._hubs)
        return self._hubs

    def is_old(self, now: float) -> bool:
        """Return whether asking would bring newer knowledge."""
        if is_mesh(self._links.instances) or not self._hubs:
            return False
        known_at = self._quotas.known_at
        return known_at is None or now - known_at >= self._quotas.refresh_s

    async def ask(self) -> bool:
        """Ask what all have used; return whether something newer is known."""
        now = self._loop.time()
        if not self.is_old(now):
            return False
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask(now))
        await asyncio.shield(self._asking)
        return True

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Answer whoever asks."""
        if batch.answer_now:
            self._links.outgoing(peer.name, urgent=True)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Ask whoever is to be asked."""
        batch.answer_now = peer.name in self._asked
        self._asked.discard(peer.name)

    # -- inner steps

    async def _ask(self, now: float) -> None:
        for hub in self.mark_hubs():
            self._links.outgoing(hub, urgent=True)
        while self._loop.time() < now + _ANSWER_S:
            await asyncio.sleep(_LOOK_S)
            self._take_known()
            known_at = self._quotas.known_at
            if known_at is not None and known_at >= now:
                return
