"""Sends that their upstream may not have read yet.

A stopped process reads all bytes that have arrived once it continues, also
those of connections that were closed or reset meanwhile. A send therefore stays
unread until its upstream answers it, or answers another one that was written
later on the same path. An upstream from which nothing has arrived since a send
became overdue counts as silent.

An earlier run of this instance may have left sends at an upstream that stopped
reading before this run began, and nothing tells how many. A new run therefore
leaves sends only at upstreams from which it has heard: a stop of an upstream
begins in one run of each instance, and only this run adds to what waits there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Protocol

import msgspec
from tallyhall_dispatch.retries import RetryReservation

# Maximum time in seconds for which a packet is under way in the network.
_MAX_TRANSIT_S = 1.0
# Time in seconds after which the process of a removed upstream has ended.
_REMOVED_S = 10.0
# Time in seconds after its start for which a run leaves sends only at upstreams
# from which it has heard. What runs leave that each last longer is spread over
# several windows of a retry budget.
_NEW_RUN_S = 10.0


class SendPath(msgspec.Struct, frozen=True):
    """An upstream and the instance through which it is reached, if any."""

    incarnation: str
    via: str = ''


class SilenceListener(Protocol):
    """Receives which upstreams stop and start reading."""

    def on_silent(self, path: SendPath, unread: int, *, is_heard: bool) -> None:
        """Handle that nothing arrives any more; `unread` sends wait there.

        is_heard: whether this run has heard from the upstream before.
        """

    def on_heard(self, path: SendPath, silent_s: float, unread: int) -> None:
        """Handle that something arrives again, after so many seconds."""


class _NoListener:
    """Follows nothing; a `SilenceListener`."""

    def on_silent(self, path: SendPath, unread: int, *, is_heard: bool) -> None:
        """Ignore it."""

    def on_heard(self, path: SendPath, silent_s: float, unread: int) -> None:
        """Ignore it."""


IGNORED: SilenceListener = _NoListener()


class RequestSends:
    """The sends of one request, and the retries that they are charged for.

    Of the sends that reach upstreams, all but the first one to arrive count as
    retries, whichever was written first.
    """

    def __init__(self) -> None:
        """Start without sends."""
        self.unread: set[UnreadSend] = set()
        self._charges: list[RetryReservation] = []

    @property
    def is_charged(self) -> bool:
        """Return whether retries are charged that may still arrive."""
        return bool(self._charges)

    @property
    def is_held(self) -> bool:
        """Return whether an upstream may hold a send unread for long."""
        return bool(self.holders)

    @property
    def holders(self) -> frozenset[str]:
        """Return the upstreams that may hold a send unread for long."""
        return frozenset(
            send.path.incarnation
            for send in self.unread
            if send.is_acknowledged
        )

    def add(self, send: UnreadSend, charge: RetryReservation | None) -> None:
        """Add a send that was written; `charge` is None for the first one."""
        self.unread.add(send)
        if charge is not None:
            charge.commit()
            self._charges.append(charge)

    def settle(self, send: UnreadSend) -> None:
        """Record that a send has arrived, or never will."""
        self.unread.discard(send)
        while len(self._charges) > len(self.unread):
            self._charges.pop().settle()

    def record_overdue(self) -> None:
        """Record that a send takes longer than usual to be read."""
        for charge in self._charges:
            charge.record_overdue()


class UnreadSend:
    """One send to an upstream that has not answered it."""

    __slots__ = (
        'is_acknowledged',
        'is_waiting',
        'path',
        'request',
        'stalled_s',
        'written_at',
    )

    def __init__(
        self, path: SendPath, request: RequestSends, written_at: float
    ) -> None:
        """Create a send whose answer is waited for."""
        self.path = path
        self.request = request
        self.written_at = written_at
        self.is_waiting = True
        # Whether the machine of the upstream may have received all of it.
        self.is_acknowledged = True
        # Time in seconds for which it waited while its path was silent.
        self.stalled_s: float = 0


class UnreadSends:
    """All unread sends of one instance."""

    def __init__(self, listener: SilenceListener) -> None:
        """Start without sends."""
        self._listener = listener
        # In the order in which they were written.
        self._by_path: dict[SendPath, dict[UnreadSend, None]] = {}
        self._heard_at: dict[SendPath, float] = {}
        # When the first overdue send of a silent path was written.
        self._silent_since: dict[SendPath, float] = {}
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def __len__(self) -> int:
        """Return the number of unread sends."""
        return sum(map(len, self._by_path.values()))

    @property
    def oldest_s(self) -> float:
        """Return the age of the oldest unread send in seconds, 0 without."""
        firsts = (next(iter(sends)) for sends in self._by_path.values())
        now = self._loop.time()
        return max((now - send.written_at for send in firsts), default=0)

    @property
    def silent(self) -> frozenset[str]:
        """Return the upstreams that are silent on any path."""
        return frozenset(path.incarnation for path in self._silent_since)

    @property
    def occupied(self) -> frozenset[str]:
        """Return the silent upstreams whose answers are waited for.

        Another silent one may be sent a request to find out whether it reads.
        """
        return frozenset(
            path.incarnation
            for path in self._silent_since
            if any(send.is_waiting for send in self._by_path.get(path, ()))
        )

    @property
    def holders(self) -> frozenset[str]:
        """Return the upstreams that have unread sends."""
        return frozenset(path.incarnation for path in self._by_path)

    @property
    def is_new_run(self) -> bool:
        """Return whether an earlier run may have left sends lately."""
        return self._loop.time() - self._started_at < _NEW_RUN_S

    @property
    def heard(self) -> frozenset[str]:
        """Return the upstreams from which this run has heard."""
        return frozenset(path.incarnation for path in self._heard_at)

    def add(
        self,
        path: SendPath,
        request: RequestSends,
        charge: RetryReservation | None,
    ) -> UnreadSend:
        """Record that a request is written now; return the send.

        charge: its reservation in the retry budget if it is a retry.
        """
        send = UnreadSend(path, request, self._loop.time())
        self._by_path.setdefault(path, {})[send] = None
        request.add(send, charge)
        return send

    def record_answer(self, send: UnreadSend) -> None:
        """Record the head of an answer: all sends up to this one are read."""
        self.record_data(send.path)
        for earlier in self._up_to(send):
            self._settle(earlier)

    def record_data(self, path: SendPath) -> None:
        """Record that anything has arrived on a path."""
        now = self._loop.time()
        self._heard_at[path] = now
        since = self._silent_since.get(path)
        if since is None:
            return
        unread = self._by_path.get(path, {})
        for send in unread:
            self._record_stall(send)
        self._silent_since.pop(path)
        self._listener.on_heard(path, now - since, len(unread))

    def record_overdue(
        self, send: UnreadSend, *, is_acknowledged: bool
    ) -> None:
        """Record that the answer to a send is overdue.

        is_acknowledged: whether the machine of the upstream has received it;
        else it waits on the link, and says nothing of the upstream.
        """
        send.is_acknowledged = is_acknowledged
        if not is_acknowledged:
            return
        path = send.path
        if send not in self._by_path.get(path, ()):
            return
        if self._heard_at.get(path, 0) >= send.written_at:
            return
        send.request.record_overdue()
        if path not in self._silent_since:
            self._silent_since[path] = send.written_at
            self._listener.on_silent(
                path,
                len(self._by_path[path]),
                is_heard=path.incarnation in self.heard,
            )

    def record_end(
        self, send: UnreadSend, *, is_closed: bool, is_acknowledged: bool
    ) -> None:
        """Record that the answer to a send is not waited for any more.

        is_closed: whether the upstream closed the connection; it reads no more
        of it. is_acknowledged: whether its machine has received all of the
        request; else the rest of it is discarded here.
        """
        self._record_stall(send)
        send.is_waiting = False
        send.is_acknowledged = is_acknowledged
        if is_closed:
            self._settle(send)
        elif not is_acknowledged:
            self._loop.call_later(_MAX_TRANSIT_S, self._settle, send)

    def close(self, request: RequestSends) -> None:
        """Forget the sends of a request that has ended without retries."""
        if request.is_charged:
            return
        for send in tuple(request.unread):
            self._settle(send)

    def record_removed(self, incarnation: str) -> None:
        """Record that an upstream is not registered any more.

        Its process may still run for a while.
        """
        self._loop.call_later(_REMOVED_S, self.forget, incarnation)

    def forget(self, incarnation: str) -> None:
        """Forget an upstream whose process has ended."""
        gone = [
            path
            for path in (*self._by_path, *self._heard_at, *self._silent_since)
            if path.incarnation == incarnation
        ]
        for path in gone:
            for send in tuple(self._by_path.get(path, ())):
                self._settle(send)
            self._heard_at.pop(path, None)
            self._silent_since.pop(path, None)

    def _up_to(self, send: UnreadSend) -> Iterator[UnreadSend]:
        """Yield the unread sends of a path that were written up to this one."""
        sends = self._by_path.get(send.path, {})
        if send not in sends:
            return
        for earlier in tuple(sends):
            yield earlier
            if earlier is send:
                return

    def _record_stall(self, send: UnreadSend) -> None:
        """Record for how long the path of a send has been silent."""
        since = self._silent_since.get(send.path)
        if since is not None and send.is_waiting:
            began_at = max(since, send.written_at)
            send.stalled_s = self._loop.time() - began_at

    def _settle(self, send: UnreadSend) -> None:
        sends = self._by_path.get(send.path)
        if sends is None or send not in sends:
            return
        sends.pop(send)
        if not sends:
            self._by_path.pop(send.path)
        send.request.settle(send)
