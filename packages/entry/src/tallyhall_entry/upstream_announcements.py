"""Shares with all instances what upstreams announce in their responses.

A response arrives at the instance that sent the request, but another instance
may schedule the next requests. So new announcements are broadcast at once, in a
large fleet through the hubs, and are sent to each peer when a stream to it
opens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from tallyhall_core.events import Event
from tallyhall_dispatch.announced_limits import AnnouncedLimit
from tallyhall_dispatch.load_reports import LoadReport
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from .load_sharing import LoadSharing

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Minimum interval between broadcasts of limits, in seconds. Limits may change
# with each response, and a hub serves several hundred instances.
_BROADCAST_INTERVAL_S = 0.2
_MILLI = 1000
_OWN_SOURCE = 'own'


class UpstreamAnnouncements:
    """Applies the announcements of upstreams and forwards them to peers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        peer_streams: PeerStreams,
        log: Callable[..., None],
        loads: LoadSharing,
    ) -> None:
        """Apply announcements to this dispatcher."""
        self._loads = loads
        self._dispatcher = dispatcher
        self._peer_streams = peer_streams
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Upstreams whose limits are to be sent, each with its source.
        self._unsent: dict[str, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    # -- from upstreams

    def on_leaving(self, incarnation: str) -> None:
        """Record that an upstream announced that it is leaving."""
        if self._dispatcher.mark_leaving(incarnation):
            self._log(Event.upstream_leaves, upstream=incarnation)
            self._broadcast_leaving(incarnation, _OWN_SOURCE)

    def on_limit_announced(
        self,
        incarnation: str,
        per_s: float | None,
        asked_at: float,
    ) -> None:
        """Record the limit stated in a response, None if it states none.

        asked_at: time at which the request of this response was sent.
        """
        known = self._dispatcher.announced_limits
        if per_s is None and not known.is_withdrawn(incarnation, asked_at):
            return
        word = AnnouncedLimit(per_s, self._loop.time())
        self._apply_limit(incarnation, word, _OWN_SOURCE)

    def on_load_reported(self, incarnation: str, report: LoadReport) -> None:
        """Record the load that an upstream stated in a response."""
        self._loads.on_load_reported(incarnation, report)

    # -- peer callbacks

    def on_opened(self, peer: Peer) -> None:
        """Send all known announcements on a newly opened stream."""
        batch = self._peer_streams.next_batch(peer.name, urgent=False)
        if batch is None:
            return
        batch.leaving_upstreams.extend(self._dispatcher.announced_leaving)
        for incarnation, word in self._dispatcher.announced_limits.all():
            self._fill_limit(batch, incarnation, word)

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Process announcements received from a peer."""
        for leaver in batch.leaving_upstreams:
            if (
                self._dispatcher.mark_leaving(leaver)
                and self._peer_streams.is_relay
            ):
                self._broadcast_leaving(leaver, peer.name)
        for message in batch.named_limits:
            self._handle_limit(peer.name, message)
        self._loads.take(peer, batch)

    def resend_leaving(self, peer: str, incarnation: str) -> None:
        """Resend to a peer that an upstream is leaving, if that is known."""
        if incarnation in self._dispatcher.leaving_upstreams:
            batch = self._peer_streams.next_batch(peer, urgent=True)
            if batch is not None:
                batch.leaving_upstreams.append(incarnation)

    # -- implementation

    def _handle_limit(self, peer: str, message: peers_pb2.NamedLimit) -> None:
        heard_at = self._loop.time() - message.heard_ms_ago / _MILLI
        word = AnnouncedLimit(
            None if message.ended else message.per_s, heard_at
        )
        if self._dispatcher.announced_limits.is_superseded(
            message.upstream, word
        ):
            # Other peers may have accepted the outdated limit.
            self._broadcast_limit(message.upstream, _OWN_SOURCE)
            return
        self._apply_limit(message.upstream, word, peer)

    def _apply_limit(
        self, incarnation: str, word: AnnouncedLimit, by: str
    ) -> None:
        if not self._dispatcher.announced_limits.update(incarnation, word):
            return
        self._log(
            Event.limit_named,
            upstream=incarnation,
            per_s=word.per_s,
            by=by,
        )
        self._dispatcher.apply_limits()
        if by == _OWN_SOURCE or self._peer_streams.is_relay:
            self._broadcast_limit(incarnation, by)

    def _broadcast_leaving(self, incarnation: str, by: str) -> None:
        """Broadcast that an upstream is leaving, except to the source."""
        for name in self._peer_streams.peers.keys() - {by}:
            self.resend_leaving(name, incarnation)

    def _broadcast_limit(self, incarnation: str, by: str) -> None:
        """Broadcast a limit, except to its source.

        The first is sent at once, the following ones are batched.
        """
        self._unsent[incarnation] = by
        if self._timer is None:
            self._send_unsent()

    def _send_unsent(self) -> None:
        self._timer = None
        if not self._unsent:
            return
        unsent = self._unsent
        self._unsent = {}
        for name in self._peer_streams.peers:
            self._send_limits(
                name,
                [one for one, by in unsent.items() if by != name],
            )
        self._timer = self._loop.call_later(
            _BROADCAST_INTERVAL_S, self._send_unsent
        )

    def _send_limits(self, peer: str, incarnations: Collection[str]) -> None:
        if not incarnations:
            return
        batch = self._peer_streams.next_batch(peer, urgent=True)
        if batch is None:
            return
        for incarnation in incarnations:
            word = self._dispatcher.announced_limits.get(incarnation)
            if word is not None:
                self._fill_limit(batch, incarnation, word)

    def _fill_limit(
        self,
        batch: peers_pb2.Batch,
        incarnation: str,
        word: AnnouncedLimit,
    ) -> None:
        batch.named_limits.add(
            upstream=incarnation,
            per_s=word.per_s or 0,
            ended=word.per_s is None,
            heard_ms_ago=int((self._loop.time() - word.heard_at) * _MILLI),
        )
