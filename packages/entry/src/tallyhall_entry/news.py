"""What instances tell each other of the store.

One that does not watch the store asks a hub what has changed, and is answered
at once. The answer says up to which revision it goes and how long ago nothing
else had changed, counted from the question on the asker's own clock: what is
told through several instances is as old as it was on the way in all, and one
that was paused, or is cut off from the store itself, cannot pass for current.

Each asks the hub that is first for it, so that they share the work, and the
next one if there is no answer or if the hub lacks what the asker needs. A hub
that has lost its way to the store asks whoever knows more.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tallyhall_dispatch.topology import is_mesh
from tallyhall_membership.rendezvous import rank
from tallyhall_platform.follow import Follower, Role
from tallyhall_platform.history import News
from tallyhall_platform.store import Change
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# An answer takes 3 ms, a busy hub 0.2 s; then the next one is asked.
_ANSWER_S = 0.4
# One that did not answer, or lacks what is needed, is asked again after this
# long: a hub that was restarted catches up with its first watch.
_PASSED_S = 2.0
_MILLI = 1000
_MICRO = 1_000_000
_NEVER = -1


class _Asked(msgspec.Struct):
    """Who was asked, and when."""

    name: str
    at: float
    is_sent: bool = False


class NewsTalk:
    """Asks others for news of the store, and answers them."""

    def __init__(
        self,
        name: str,
        links: PeerLinks,
        follower: Follower,
    ) -> None:
        """Ask for this instance's follower."""
        self._name = name
        self._links = links
        self._follower = follower
        self._loop = asyncio.get_running_loop()
        # Since when the view of each other instance is known to be whole.
        self._follows: dict[str, float] = {}
        # What others have asked for: the revision that they know.
        self._owed: dict[str, int] = {}
        self._asked: _Asked | None = None
        self._told_at = float('-inf')
        # Until when others are not asked.
        self._passed: dict[str, float] = {}

    def look(self, hubs: frozenset[str]) -> None:
        """Take who the hubs are, and ask one of them if it is time."""
        now = self._loop.time()
        self._follower.role = self._role(hubs)
        asked = self._asked
        if asked is not None:
            if now - asked.at < _ANSWER_S:
                return
            self._pass_by(asked.name, now)
        if not self._needs_news(now):
            return
        relay = self._relay(hubs, now)
        if relay is None:
            return
        if self._links.outgoing(relay, urgent=True) is not None:
            self._asked = _Asked(relay, now)

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Take what another instance says of the store, and asks."""
        name = peer.name
        if batch.asks_after:
            self._owed[name] = batch.asks_after
            self._links.outgoing(name, urgent=True)
        now = self._loop.time()
        asked_at = batch.echo_us / _MICRO
        if batch.followed_ms_ago < 0 or not 0 < asked_at <= now:
            return
        # It had seen the question before it said how old its view was.
        whole_at = asked_at - batch.followed_ms_ago / _MILLI
        self._follows[name] = whole_at
        if batch.HasField('news'):
            self._take_news(name, batch.news, whole_at)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add the age of what is known here, questions and answers."""
        view = self._follower.view
        age_s = self._loop.time() - view.followed_at
        batch.followed_ms_ago = _NEVER
        if view.cursor is not None:
            batch.followed_ms_ago = int(age_s * _MILLI) + 1
        asked = self._asked
        if asked is not None and asked.name == peer.name and not asked.is_sent:
            asked.is_sent = True
            batch.asks_after = view.cursor or 0
        after = self._owed.pop(peer.name, 0)
        news = view.news(after) if after else None
        if news is not None:
            _fill_news(batch.news, news)

    # -- inner steps

    def _role(self, hubs: frozenset[str]) -> Role:
        if is_mesh(self._links.instances):
            return Role.solo
        return Role.relay if self._name in hubs else Role.subscriber

    def _needs_news(self, now: float) -> bool:
        follower = self._follower
        if follower.role is Role.solo or follower.view.cursor is None:
            return False
        if follower.role is Role.subscriber:
            return now - self._told_at >= follower.ask_s
        late = now - follower.view.followed_at >= follower.untold_s
        return late and now - self._told_at >= follower.ask_s

    def _relay(self, hubs: frozenset[str], now: float) -> str | None:
        """Return whom to ask now, None where nobody knows more."""
        if self._follower.role is Role.subscriber:
            for hub in rank(self._name, hubs - {self._name}):
                if now >= self._passed.get(hub, now):
                    return hub
            return None
        # A relay that is late asks whoever knows most.
        known = self._follower.view.followed_at
        best = None
        for name in self._links.peers:
            if now < self._passed.get(name, now):
                continue
            if self._follows.get(name, known) > known:
                best = name
                known = self._follows[name]
        return best

    def _take_news(
        self,
        name: str,
        told: peers_pb2.News,
        whole_at: float,
    ) -> None:
        asked = self._asked
        if asked is not None and asked.name == name:
            self._asked = None
        now = self._loop.time()
        news = _news(told)
        if not self._follower.view.take_news(news, whole_at):
            self._pass_by(name, now)
            return
        if now - whole_at >= self._follower.untold_s:
            # It is cut off from the store itself.
            self._pass_by(name, now)
            return
        self._told_at = now

    def _pass_by(self, name: str, now: float) -> None:
        self._asked = None
        self._passed = {
            one: until for one, until in self._passed.items() if now < until
        }
        self._passed[name] = now + _PASSED_S


def _news(told: peers_pb2.News) -> News:
    changes = tuple(
        Change(
            change.key,
            None if change.gone else change.content,
            change.revision,
        )
        for change in told.changes
    )
    return News(told.after, told.revision, changes)


def _fill_news(told: peers_pb2.News, news: News) -> None:
    told.after = news.after
    told.revision = news.revision
    for change in news.changes:
        told.changes.add(
            key=change.key,
            revision=change.revision,
            gone=change.content is None,
            content=change.content or b'',
        )
