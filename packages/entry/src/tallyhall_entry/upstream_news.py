"""What upstreams say of themselves in answers, known to all instances.

An answer reaches the instance that asked, and requests are placed by another
one. So what is new in an answer is told to all at once, in a large fleet
through the hubs, and to each on whose stream nothing was said yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from tallyhall_core.events import Event
from tallyhall_dispatch.named_limits import NamedLimit
from tallyhall_edge.scheduling import Dispatcher
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Limits that change with each answer are told this often, in seconds, so that
# hubs of some hundred instances bear it.
_GATHER_S = 0.2
_MILLI = 1000
_OWN = 'own'


class UpstreamNews:
    """Hears upstreams and other instances, and tells these."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        links: PeerLinks,
        log: Callable[..., None],
    ) -> None:
        """Let this dispatcher act on what is heard."""
        self._dispatcher = dispatcher
        self._links = links
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Upstreams whose limits are to be told, each with who told it here.
        self._untold: dict[str, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    # -- from upstreams

    def leaves(self, incarnation: str) -> None:
        """Take that an upstream says that it leaves."""
        if self._dispatcher.leaves(incarnation):
            self._log(Event.upstream_leaves, upstream=incarnation)
            self._tell_leaving(incarnation, _OWN)

    def names_limit(
        self,
        incarnation: str,
        per_s: float | None,
        asked_at: float,
    ) -> None:
        """Take the limit that an answer names, None if it names none.

        asked_at: when the request was sent that it answers.
        """
        known = self._dispatcher.named_limits
        if per_s is None and not known.is_taken_back(incarnation, asked_at):
            return
        word = NamedLimit(per_s, self._loop.time())
        self._take_limit(incarnation, word, _OWN)

    # -- from others

    def on_opened(self, peer: Peer) -> None:
        """Tell one on whose stream nothing was said yet."""
        batch = self._links.outgoing(peer.name, urgent=False)
        if batch is None:
            return
        batch.leaving_upstreams.extend(self._dispatcher.said_to_leave)
        for incarnation, word in self._dispatcher.named_limits.words():
            self._fill_limit(batch, incarnation, word)

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Take what another instance tells."""
        for leaver in batch.leaving_upstreams:
            if self._dispatcher.leaves(leaver) and self._links.tells_on:
                self._tell_leaving(leaver, peer.name)
        for told in batch.named_limits:
            self._take_told(peer.name, told)

    def tell_again(self, peer: str, incarnation: str) -> None:
        """Tell one that may not have heard that an upstream leaves."""
        if incarnation in self._dispatcher.leavers:
            batch = self._links.outgoing(peer, urgent=True)
            if batch is not None:
                batch.leaving_upstreams.append(incarnation)

    # -- inner steps

    def _take_told(self, peer: str, told: peers_pb2.NamedLimit) -> None:
        heard_at = self._loop.time() - told.heard_ms_ago / _MILLI
        word = NamedLimit(None if told.ended else told.per_s, heard_at)
        if self._dispatcher.named_limits.contradicted(told.upstream, word):
            # Others may have believed it.
            self._tell_limit(told.upstream, _OWN)
            return
        self._take_limit(told.upstream, word, peer)

    def _take_limit(self, incarnation: str, word: NamedLimit, by: str) -> None:
        if not self._dispatcher.named_limits.take(incarnation, word):
            return
        self._log(
            Event.limit_named,
            upstream=incarnation,
            per_s=word.per_s,
            by=by,
        )
        self._dispatcher.apply_limits()
        if by == _OWN or self._links.tells_on:
            self._tell_limit(incarnation, by)

    def _tell_leaving(self, incarnation: str, by: str) -> None:
        """Tell all but who told it."""
        for name in self._links.peers.keys() - {by}:
            self.tell_again(name, incarnation)

    def _tell_limit(self, incarnation: str, by: str) -> None:
        """Tell all but who told it; the next ones wait for each other."""
        self._untold[incarnation] = by
        if self._timer is None:
            self._tell_untold()

    def _tell_untold(self) -> None:
        self._timer = None
        if not self._untold:
            return
        untold = self._untold
        self._untold = {}
        for name in self._links.peers:
            self._tell(
                name,
                [one for one, by in untold.items() if by != name],
            )
        self._timer = self._loop.call_later(_GATHER_S, self._tell_untold)

    def _tell(self, peer: str, incarnations: Collection[str]) -> None:
        if not incarnations:
            return
        batch = self._links.outgoing(peer, urgent=True)
        if batch is None:
            return
        for incarnation in incarnations:
            word = self._dispatcher.named_limits.word(incarnation)
            if word is not None:
                self._fill_limit(batch, incarnation, word)

    def _fill_limit(
        self,
        batch: peers_pb2.Batch,
        incarnation: str,
        word: NamedLimit,
    ) -> None:
        batch.named_limits.add(
            upstream=incarnation,
            per_s=word.per_s or 0,
            ended=word.per_s is None,
            heard_ms_ago=int((self._loop.time() - word.heard_at) * _MILLI),
        )
