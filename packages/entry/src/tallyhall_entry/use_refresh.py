"""Refreshes quota use from the hubs when it decides about a request.

The heartbeat interval is chosen for moderate use: while half of a quota is
used, the admissions of others in the last second matter little. When a quota is
nearly used up, this instance sends its use to the hubs and requests theirs
immediately. No request is refused for its quota based on data that is older
than this refresh.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_dispatch.quota import Quotas
from tallyhall_dispatch.topology import is_full_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Maximum time, in seconds, that a request waits for the hubs before it is
# refused. Hubs respond in 3 ms, busy ones in 50 ms.
_ANSWER_TIMEOUT_S = 0.1
_POLL_S = 0.01


class UseRefresher:
    """Requests the use of the fleet from hubs and answers such requests."""

    def __init__(
        self,
        peer_streams: PeerStreams,
        quotas: Quotas,
        take_known: Callable[[], None],
    ) -> None:
        """Initialize.

        take_known: applies the answers received so far to the quotas.
        """
        self._peer_streams = peer_streams
        self._quotas = quotas
        self._take_known = take_known
        self._loop = asyncio.get_running_loop()
        self._hubs: frozenset[str] = frozenset()
        # Peers whose next batch requests an immediate answer.
        self._to_request: set[str] = set()
        self._requested_at = float('-inf')
        self._refresh_task: asyncio.Task[None] | None = None

    def poll(self, hubs: frozenset[str]) -> frozenset[str]:
        """Update the hubs; return those to send a request to now."""
        self._hubs = hubs & self._peer_streams.peers.keys()
        now = self._loop.time()
        if is_full_mesh(self._peer_streams.instances):
            return frozenset()
        if now - self._requested_at < self._quotas.refresh_s:
            return frozenset()
        if not self._quotas.take_refresh_wanted():
            return frozenset()
        return self.request_answers()

    def request_answers(self) -> frozenset[str]:
        """Request immediate answers in the next batches to the hubs.

        Return the hubs.
        """
        self._requested_at = self._loop.time()
        self._to_request.update(self._hubs)
        return self._hubs

    def is_stale(self, now: float) -> bool:
        """Return whether a refresh would yield newer data."""
        if is_full_mesh(self._peer_streams.instances) or not self._hubs:
            return False
        known_at = self._quotas.acknowledged_at
        return known_at is None or now - known_at >= self._quotas.refresh_s

    async def refresh(self) -> bool:
        """Refresh the use of the fleet; return whether a refresh was needed."""
        now = self._loop.time()
        if not self.is_stale(now):
            return False
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._refresh(now))
        await asyncio.shield(self._refresh_task)
        return True

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Answer a batch that requests an immediate answer."""
        if batch.answer_now:
            self._peer_streams.next_batch(peer.name, urgent=True)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add the request for an immediate answer to an outgoing batch."""
        batch.answer_now = peer.name in self._to_request
        self._to_request.discard(peer.name)

    # -- internal

    async def _refresh(self, now: float) -> None:
        for hub in self.request_answers():
            self._peer_streams.next_batch(hub, urgent=True)
        while self._loop.time() < now + _ANSWER_TIMEOUT_S:
            await asyncio.sleep(_POLL_S)
            self._take_known()
            known_at = self._quotas.acknowledged_at
            if known_at is not None and known_at >= now:
                return
