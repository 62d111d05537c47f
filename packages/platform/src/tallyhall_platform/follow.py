"""Follows the store: desired state, upstreams and the other instances.

One watch over all keys brings every change and confirms at the same time
that nothing changed before it was asked: each answer, also an empty one,
confirms the desired state as of the moment of the question.

In a large fleet only a few instances do so. Something changes all the time
there, and each change would wake a watch of every instance: 1.5 calls a
second of each at 195. The others are told (history.py). They look for
themselves once they are not told in time, a moment apart from each other.
"""

from __future__ import annotations

import asyncio
import enum
import random

from tallyhall_core.events import Event

from .absence import Absence
from .calls import CallCause
from .errors import (
    HistoryGoneError,
    StoreError,
    StoreLimitedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .store import StoreClient
from .view import Listener, Log, StoreView

# A watch confirms the state as of its start, so its length adds to the age
# of every confirmation; each one is a priced call.
_WATCH_S = 1.0
# One that tells others watches for this part of the time that a change may
# take, in seconds at most, since what it knows grows older on its way to them.
_RELAY_PART = 0.15
_RELAY_WATCH_S = 0.6
# A watch that is lost silently is known 0.6 s after its end, and the rest is
# for the call that replaces it; all of that, and the time for which its
# connection was idle before it, fits into the bound on contact. Shorter ones
# than the least cost more than they bring, as no call is given up before a
# second.
_LOST_WATCH_S = 0.9
_LEAST_WATCH_S = 0.3
# Least time between two watches, so that changes that come in a row share a
# call, as those of a rolling restart do.
_LEAST_GAP_S = 0.35
# What is told is asked for this often, in parts of the time that a change may
# take and in seconds at most: a change, one question that is lost and its
# repetition fit into that time.
_ASK_PART = 0.2
_LONGEST_ASK_S = 0.8
# Added to the age at which the next confirmation is told: the answers, and
# timers that fire late under load.
_TOLD_LATE_S = 0.3
# Those that are not told any more look one after another within this time, so
# that 195 instances make 650 calls a second and not all of them at once.
_SPREAD_S = 0.3
# Whether it is told is looked at this often, in seconds.
_LOOK_S = 0.1
# Pause after a failed call, in seconds, and how far it grows.
_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
# A store that does not answer at all is asked again this long after the last
# question: what a return is noticed late is lost to entries that lapsed, which
# have contact-ms less this time to come back.
_NOTICE_S = 0.65
# The first question after a failed call is answered at once, so that the
# return is known before the next change; one call more for each return.
_PROBE_S = 0.01


@enum.unique
class Role(enum.Enum):
    """What an instance does for what is known of the store.

    solo: it watches for itself. relay: also for subscribers, which watch
    nothing.
    """

    solo = 'solo'
    relay = 'relay'
    subscriber = 'subscriber'


class Follower:
    """Keeps a view at the store's newest state."""

    def __init__(
        self,
        client: StoreClient,
        listener: Listener,
        log: Log,
        rng: random.Random,
        absence: Absence,
        change_s: float,
    ) -> None:
        """Follow through a client that nothing else uses.

        change_s: how long a change may take to be in force.
        """
        self.view = StoreView(listener, log, absence, change_s)
        self.role = Role.solo
        self._client = client
        self._listener = listener
        self._log = log
        self._rng = rng
        self._absence = absence
        self._loop = asyncio.get_running_loop()
        self._reachable = False
        self._failures = 0
        self._spread_s = rng.uniform(0, _SPREAD_S)

    @property
    def ask_s(self) -> float:
        """Return how often a subscriber asks what changed."""
        return min(_LONGEST_ASK_S, _ASK_PART * self.view.change_s)

    @property
    def untold_s(self) -> float:
        """Return the age from which what is known is not told in time.

        A watch confirms the state as of its start at its end, when the one
        before it is a pause and two watches old.
        """
        watches_s = 2 * self._relay_watch_s()
        return watches_s + _LEAST_GAP_S + self.ask_s + _TOLD_LATE_S

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            await self._follow()
        finally:
            self.view.stop()

    async def _follow(self) -> None:
        while True:
            is_told = await self._until_due()
            asked_at = self._loop.time()
            try:
                await self._step(asked_at, is_told=is_told)
                pause_s = _LEAST_GAP_S
            except HistoryGoneError:
                self._found()
                self.view.cursor = None
                pause_s = _LEAST_GAP_S
            except StoreError as exc:
                pause_s = self._lost(exc, asked_at)
            await asyncio.sleep(pause_s)
            if pause_s > _LEAST_GAP_S:
                # A connection may have gone silent in a long pause.
                self._client.close()

    async def _until_due(self) -> bool:
        """Wait while others tell what changes; return whether they did."""
        is_told = False
        while self.role is Role.subscriber and self.view.cursor is not None:
            due_at = self.view.followed_at + self.untold_s + self._spread_s
            if self._loop.time() >= due_at:
                self._spread_s = self._rng.uniform(0, _SPREAD_S)
                return True
            if not is_told:
                is_told = True
                self._client.close()
            await asyncio.sleep(_LOOK_S)
        return False

    async def _step(self, asked_at: float, *, is_told: bool) -> None:
        cursor = self.view.cursor
        self._client.cause = self._cause(is_told=is_told)
        if cursor is None:
            snapshot = await self._client.snapshot('')
            self._found()
            self.view.take_all(snapshot, asked_at)
            return
        wait_s = _PROBE_S if is_told else self._watch_s()
        answer = await self._client.watch('', cursor, wait_s)
        self._found()
        self.view.take_changes(answer, asked_at)

    def _cause(self, *, is_told: bool) -> CallCause:
        if self._failures:
            return CallCause.retry
        if self.view.cursor is None:
            return CallCause.start
        return CallCause.untold if is_told else CallCause.steady

    def _watch_s(self) -> float:
        if not self._reachable:
            return _PROBE_S
        bound_s = self._absence.contact_s - self._client.idle_s()
        watch_s = _WATCH_S
        if self.role is Role.relay:
            watch_s = self._relay_watch_s()
        longest_s = bound_s - _LOST_WATCH_S
        return max(_LEAST_WATCH_S, min(watch_s, longest_s))

    def _relay_watch_s(self) -> float:
        return min(_RELAY_WATCH_S, _RELAY_PART * self.view.change_s)

    def _found(self) -> None:
        self._failures = 0
        self._absence.answered(self._loop.time())
        if self._reachable:
            return
        self._reachable = True
        self._listener.on_store(reachable=True)

    def _lost(self, exc: StoreError, asked_at: float) -> float:
        now = self._loop.time()
        self._failures += 1
        # A store that limits calls works: upstreams keep their entries.
        if isinstance(exc, StoreLimitedError):
            self._absence.alive(now)
        else:
            self._absence.failed(min(asked_at, self._client.proved_at))
        if self._reachable and isinstance(exc, StoreUnavailableError):
            self._reachable = False
            self._listener.on_store(reachable=False)
        self._log(Event.store_call_failed, cause=str(exc))
        longest = min(_LONGEST_PAUSE_S, _PAUSE_S * 2**self._failures)
        if not isinstance(exc, StoreRefusedError):
            left_s = _NOTICE_S - (now - asked_at)
            longest = min(longest, max(_PAUSE_S, left_s))
        pause_s = self._rng.uniform(_PAUSE_S, longest)
        if self.role is Role.subscriber:
            # Relays notice the return, and are asked for it.
            return pause_s + self._rng.uniform(0, _LONGEST_PAUSE_S)
        return pause_s
