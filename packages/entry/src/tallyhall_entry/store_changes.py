"""Distributes store changes between instances.

An instance that does not watch the store polls a hub, which responds at once.
The response states the revision it covers and how long ago that was current.
The receiver counts this age from the time of its own request, on its own clock,
so delays accumulate when changes pass through several instances, and a relay
that was suspended or is partitioned from the store cannot appear current.

Each instance asks the first hub in its own rendezvous order, which spreads the
load. It asks the next one if there is no response or if the hub lacks the
revisions it needs. A hub that cannot reach the store asks a peer with newer
data.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tallyhall_dispatch.topology import is_full_mesh
from tallyhall_membership.rendezvous import rank
from tallyhall_platform.change_history import ChangeBatch
from tallyhall_platform.follower import Follower, Role
from tallyhall_platform.store import Change
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Timeout after which the next hub is asked. A response takes 3 ms, or 0.2 s
# from a busy hub.
_RESPONSE_TIMEOUT_S = 0.4
# Time for which a peer is skipped that did not respond or lacks the revisions
# needed. A restarted hub catches up with its first watch.
_SKIP_S = 2.0
_MILLI = 1000
_MICRO = 1_000_000
_NEVER = -1


class _PendingRequest(msgspec.Struct):
    """A pending request to a peer."""

    name: str
    at: float
    is_sent: bool = False


class StoreChangeExchange:
    """Requests store changes from peers, and answers their requests."""

    def __init__(
        self,
        name: str,
        peer_streams: PeerStreams,
        follower: Follower,
    ) -> None:
        """Request changes for this follower of the store."""
        self._name = name
        self._peer_streams = peer_streams
        self._follower = follower
        self._loop = asyncio.get_running_loop()
        # Time at which each peer's view of the store was known to be complete.
        self._current_at: dict[str, float] = {}
        # Unanswered requests of peers: the revision that each has.
        self._unanswered: dict[str, int] = {}
        self._pending: _PendingRequest | None = None
        self._updated_at = float('-inf')
        # Time until which a peer is not asked.
        self._skipped_until: dict[str, float] = {}

    def poll(self, hubs: frozenset[str]) -> None:
        """Update the role from the hubs, and poll one of them when due."""
        now = self._loop.time()
        self._follower.role = self._role(hubs)
        asked = self._pending
        if asked is not None:
            if now - asked.at < _RESPONSE_TIMEOUT_S:
                return
            self._skip(asked.name, now)
        if not self._should_ask(now):
            return
        relay = self._choose_relay(hubs, now)
        if relay is None:
            return
        if self._peer_streams.next_batch(relay, urgent=True) is not None:
            self._pending = _PendingRequest(relay, now)

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Process a peer's store changes and requests."""
        name = peer.name
        if batch.asks_after:
            self._unanswered[name] = batch.asks_after
            self._peer_streams.next_batch(name, urgent=True)
        now = self._loop.time()
        asked_at = batch.echo_us / _MICRO
        if batch.followed_ms_ago < 0 or not 0 < asked_at <= now:
            return
        # The peer had read the question before it stated the age of its view,
        # so counting from the question never makes the view look newer.
        current_at = asked_at - batch.followed_ms_ago / _MILLI
        self._current_at[name] = current_at
        if batch.HasField('news'):
            self._apply_news(name, batch.news, current_at)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add the age of the local view, requests and responses to a batch."""
        view = self._follower.view
        age_s = self._loop.time() - view.complete_as_of
        batch.followed_ms_ago = _NEVER
        if view.cursor is not None:
            batch.followed_ms_ago = int(age_s * _MILLI) + 1
        asked = self._pending
        if asked is not None and asked.name == peer.name and not asked.is_sent:
            asked.is_sent = True
            batch.asks_after = view.cursor or 0
        after = self._unanswered.pop(peer.name, 0)
        news = view.changes_after(after) if after else None
        if news is not None:
            _fill_news(batch.news, news)

    # -- implementation

    def _role(self, hubs: frozenset[str]) -> Role:
        if is_full_mesh(self._peer_streams.instances):
            return Role.solo
        return Role.relay if self._name in hubs else Role.subscriber

    def _should_ask(self, now: float) -> bool:
        follower = self._follower
        if follower.role is Role.solo or follower.view.cursor is None:
            return False
        if follower.role is Role.subscriber:
            return now - self._updated_at >= follower.poll_interval_s
        late = now - follower.view.complete_as_of >= follower.max_relay_age_s
        return late and now - self._updated_at >= follower.poll_interval_s

    def _choose_relay(self, hubs: frozenset[str], now: float) -> str | None:
        """Return the peer to ask now, None if no peer has newer data."""
        if self._follower.role is Role.subscriber:
            for hub in rank(self._name, hubs - {self._name}):
                if now >= self._skipped_until.get(hub, now):
                    return hub
            return None
        # A relay with an old view asks the peer with the newest one.
        known = self._follower.view.complete_as_of
        best = None
        for name in self._peer_streams.peers:
            if now < self._skipped_until.get(name, now):
                continue
            if self._current_at.get(name, known) > known:
                best = name
                known = self._current_at[name]
        return best

    def _apply_news(
        self,
        name: str,
        message: peers_pb2.News,
        current_at: float,
    ) -> None:
        asked = self._pending
        if asked is not None and asked.name == name:
            self._pending = None
        now = self._loop.time()
        news = _decode_news(message)
        if not self._follower.view.apply_relayed(news, current_at):
            self._skip(name, now)
            return
        if now - current_at >= self._follower.max_relay_age_s:
            # The peer is itself partitioned from the store.
            self._skip(name, now)
            return
        self._updated_at = now

    def _skip(self, name: str, now: float) -> None:
        self._pending = None
        self._skipped_until = {
            one: until
            for one, until in self._skipped_until.items()
            if now < until
        }
        self._skipped_until[name] = now + _SKIP_S


def _decode_news(message: peers_pb2.News) -> ChangeBatch:
    changes = tuple(
        Change(
            change.key,
            None if change.gone else change.content,
            change.revision,
            change.created,
        )
        for change in message.changes
    )
    return ChangeBatch(message.after, message.revision, changes)


def _fill_news(message: peers_pb2.News, news: ChangeBatch) -> None:
    message.after = news.after
    message.revision = news.revision
    for change in news.changes:
        message.changes.add(
            key=change.key,
            revision=change.revision,
            gone=change.content is None,
            content=change.content or b'',
            created=change.created,
        )
