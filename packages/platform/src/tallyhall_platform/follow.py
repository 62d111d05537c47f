"""Follows the store: desired state, upstreams and the other instances.

One watch over all keys brings every change and confirms at the same time
that nothing changed before it was asked: each answer, also an empty one,
confirms the desired state as of the moment of the question. Revisions are
compared key by key, so that nothing is ever taken back, whichever way an
older value arrives.

While the store is away the last values stay in force. Entries of upstreams
that lapsed meanwhile come back within two seconds of its return if the
upstream lives, so removals are held while absence.py doubts them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.quota import Written

from .absence import Absence
from .decode import decode_state
from .entries import (
    INSTANCE_PREFIX,
    USE_KEY,
    InstanceEntry,
    decode_instance,
    decode_use,
)
from .errors import (
    DecodeError,
    HistoryGoneError,
    StoreError,
    StoreLimitedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .store import Change, StoreClient
from .upstreams import UPSTREAM_PREFIX, Upstreams

_STATE_KEY = 'op/config'
# A watch confirms the state as of its start, so its length adds to the age
# of every confirmation; each one is a priced call, 8,400 in a minute at 87
# instances with watches of a second. In a large fleet the others, whose
# watches end at other moments, confirm meanwhile.
_WATCH_S = 1.0
_LONG_WATCH_S = 2.0
_LARGE_FLEET = 24
# A watch that is lost silently is known 0.6 s after its end, and the rest is
# for the call that replaces it; all of that, and the time for which its
# connection was idle before it, fits into the bound on contact. Shorter ones
# than the least cost more than they bring, as no call is given up before a
# second.
_LOST_WATCH_S = 0.9
_LEAST_WATCH_S = 0.3
# Long watches and gaps are left out while the last confirmation is older than
# this: a long watch with a short one behind it takes 3.4 s, within the bound
# of 3.7 s on revoked keys.
_FRESH_S = 1.0
# Least time between two watches, so that changes that come in a row share a
# call: with 0.1 s, a rolling restart of 7 instances took 25 calls a second.
_LEAST_GAP_S = 0.35
# The same in a large fleet, where something changes all the time and each
# change wakes all. What changes is known 1.2 s later at most.
_LONG_GAP_S = 1.2
# Kept of the time that a change may take, beside the gap: the call that brings
# it, or one that is lost and its repetition, and a connection to an upstream.
_CHANGE_KEPT_S = 0.8
# Pause after a failed call, in seconds, and how far it grows.
_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
# A store that does not answer at all is asked again this long after the last
# question: what a return is noticed late is lost to entries that lapsed, which
# have contact-ms less this time to come back. It makes up to 1.6 calls a second
# of 1.1 where connections fail after half a second, and 2.7 of 2.2 where they
# are reset at once.
_NOTICE_S = 0.65
# Kept of the time that a change may take when a removal is held: timers that
# fire late under load, and the way of a request to its upstream.
_HELD_KEPT_S = 0.2
# The first question after a failed call is answered at once, so that the
# return is known before the next change; one call more for each return.
_PROBE_S = 0.01
# Of a key and of the reason why its value was rejected, so many characters are
# logged; both are another writer's choice.
_SHOWN_KEY = 200
_SHOWN_CAUSE = 200


class Listener(Protocol):
    """Takes what the store says."""

    def on_state(self, state: DesiredState) -> None:
        """Take a newer desired state."""

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take all upstreams as they stand."""

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Take all instances that are registered."""

    def on_use(self, use: Written) -> None:
        """Take what was written of the use of all before this run."""

    def on_confirmed(self, asked_at: float) -> None:
        """Take that the desired state was in force at this time."""

    def confirmed_ago(self) -> float | None:
        """Return the age of the newest confirmation, from anywhere."""

    def on_store(self, *, reachable: bool) -> None:
        """Take that the store was lost or is back."""


Log = Callable[..., None]


class _News(msgspec.Struct):
    upstreams: bool = False
    instances: bool = False


class Follower:
    """Keeps a listener at the store's newest state."""

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
        self.change_s = change_s
        self._client = client
        self._listener = listener
        self._log = log
        self._rng = rng
        self._absence = absence
        self._loop = asyncio.get_running_loop()
        self._cursor: int | None = None
        self._revisions: dict[str, int] = {}
        self._upstreams = Upstreams()
        self._told: tuple[Upstream, ...] = ()
        self._instances: dict[str, InstanceEntry] = {}
        # Until when each removal may be held.
        self._held_removals: dict[str, float] = {}
        # Keys whose value was rejected: whoever writes it writes it again.
        self._rejected: set[str] = set()
        self._release_timer: asyncio.TimerHandle | None = None
        self._news = _News()
        self._version = -1
        self._raw_state = b''
        self._reachable = False
        self._failures = 0
        self._takers = (
            (_STATE_KEY, self._take_state),
            (UPSTREAM_PREFIX, self._take_upstream),
            (INSTANCE_PREFIX, self._take_instance),
            (USE_KEY, self._take_use),
        )

    def raw_state(self) -> bytes:
        """Return the desired state in force as the store holds it."""
        return self._raw_state

    def take_raw_state(self, raw: bytes) -> None:
        """Take a desired state that another instance read."""
        try:
            self._take_state(_STATE_KEY, raw)
        except DecodeError as exc:
            self._reject(_STATE_KEY, exc)

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            await self._follow()
        finally:
            self._stop_timer()

    async def _follow(self) -> None:
        while True:
            asked_at = self._loop.time()
            try:
                await self._step(asked_at)
                pause_s = self._gap_s()
            except HistoryGoneError:
                self._found()
                self._cursor = None
                pause_s = _LEAST_GAP_S
            except StoreError as exc:
                pause_s = self._lost(exc, asked_at)
            await asyncio.sleep(pause_s)
            if pause_s > _LEAST_GAP_S:
                # A connection may have gone silent in a long pause. With a
                # new one the watch keeps its length, which kept calls cost:
                # 0.9 s instead of 2.0 s, 1.5 times the calls at rest.
                self._client.close()

    async def _step(self, asked_at: float) -> None:
        if self._cursor is None:
            await self._read_all()
        else:
            wait_s = self._watch_s()
            answer = await self._client.watch('', self._cursor, wait_s)
            self._found()
            for change in answer.changes:
                self._apply(change)
            self._cursor = max(self._cursor, answer.revision)
        self._release_removals(self._loop.time())
        self._listener.on_confirmed(asked_at)

    def _watch_s(self) -> float:
        if not self._reachable:
            return _PROBE_S
        watch_s = _LONG_WATCH_S if self._others_confirm() else _WATCH_S
        bound_s = self._absence.contact_s - self._client.idle_s()
        longest_s = bound_s - _LOST_WATCH_S
        return max(_LEAST_WATCH_S, min(watch_s, longest_s))

    def _gap_s(self) -> float:
        if not self._others_confirm():
            return _LEAST_GAP_S
        longest_s = min(_LONG_GAP_S, self.change_s - _CHANGE_KEPT_S)
        return max(_LEAST_GAP_S, longest_s)

    def _others_confirm(self) -> bool:
        """Return whether this is a large fleet with a fresh confirmation."""
        age = self._listener.confirmed_ago()
        if age is None or len(self._instances) < _LARGE_FLEET:
            return False
        return age < _FRESH_S

    async def _read_all(self) -> None:
        snapshot = await self._client.snapshot('')
        self._found()
        present = {entry.key for entry in snapshot.entries}
        for entry in snapshot.entries:
            self._apply(Change(entry.key, entry.content, entry.revision))
        for key in self._revisions.keys() - present:
            self._apply(Change(key, None, snapshot.revision))
        self._cursor = snapshot.revision

    def _apply(self, change: Change) -> None:
        if change.revision <= self._revisions.get(change.key, -1):
            return
        self._revisions[change.key] = change.revision
        try:
            self._take(change)
        except DecodeError as exc:
            self._reject(change.key, exc)
            return
        self._rejected.discard(change.key)

    def _reject(self, key: str, exc: DecodeError) -> None:
        if key in self._rejected:
            return
        self._rejected.add(key)
        self._log(
            Event.value_rejected,
            key=key[:_SHOWN_KEY],
            cause=str(exc)[:_SHOWN_CAUSE],
        )

    def _take(self, change: Change) -> None:
        if change.content is None:
            self._take_removal(change.key)
            return
        for prefix, taker in self._takers:
            if change.key.startswith(prefix):
                taker(change.key, change.content)

    def _take_removal(self, key: str) -> None:
        # The operator replaces the desired state and never removes it.
        if key not in self._upstreams and key not in self._instances:
            return
        now = self._loop.time()
        if not self._absence.doubts(now):
            self._remove(key)
            return
        # Who has read that an upstream leaves is bound by it from then on,
        # also while the store is in disturbance.
        until = now + self.change_s - _HELD_KEPT_S
        self._held_removals[key] = until
        self._log(
            Event.removal_held,
            key=key,
            held_s=round(min(until, self._absence.until) - now, 3),
            cause='the store was away',
        )

    def _remove(self, key: str) -> None:
        if self._upstreams.drop(key):
            self._news.upstreams = True
        if self._instances.pop(key, None) is not None:
            self._news.instances = True

    def _take_state(self, key: str, content: bytes) -> None:
        state = decode_state(content)
        if state.version <= self._version:
            return
        self._version = state.version
        self._raw_state = content
        self._listener.on_state(state)

    def _take_instance(self, key: str, content: bytes) -> None:
        self._held_removals.pop(key, None)
        self._news.instances = True
        self._instances.pop(key, None)
        instance = key.removeprefix(INSTANCE_PREFIX)
        self._instances[key] = decode_instance(instance, content)

    def _take_use(self, key: str, content: bytes) -> None:
        # Only what was written before this process began matters to it.
        if self._cursor is None:
            self._listener.on_use(decode_use(content))

    def _take_upstream(self, key: str, content: bytes) -> None:
        self._held_removals.pop(key, None)
        self._news.upstreams = True
        self._upstreams.take(key, content)

    def _tell(self) -> None:
        """Pass on what the last answer changed, all of it at once."""
        news = self._news
        self._news = _News()
        if news.upstreams:
            self._tell_upstreams()
        if news.instances:
            self._listener.on_instances(tuple(self._instances.values()))

    def _tell_upstreams(self) -> None:
        # Upstreams repeat their entries, of which only the number differs.
        upstreams = self._upstreams.all()
        if upstreams != self._told:
            self._told = upstreams
            self._listener.on_upstreams(upstreams)

    def _release_removals(self, now: float) -> None:
        doubts = self._absence.doubts(now)
        for key, until in tuple(self._held_removals.items()):
            if doubts and now < until:
                continue
            self._held_removals.pop(key)
            self._remove(key)
        self._tell()
        self._start_timer(now)

    def _found(self) -> None:
        self._failures = 0
        self._absence.answered(self._loop.time())
        if self._reachable:
            return
        self._reachable = True
        self._listener.on_store(reachable=True)

    def _start_timer(self, now: float) -> None:
        """Release what is held at the end of the doubt, not of a watch.

        A watch lasts a second and more, the doubt ends 0.2 s before removals
        must count.
        """
        self._stop_timer()
        if not self._held_removals:
            return
        release_at = min(self._held_removals.values())
        if now < self._absence.until:
            release_at = min(release_at, self._absence.until)
        self._release_timer = self._loop.call_at(
            release_at,
            self._release_removals,
            release_at,
        )

    def _stop_timer(self) -> None:
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

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
        return self._rng.uniform(_PAUSE_S, longest)
