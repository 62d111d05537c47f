"""What the store holds, as far as it is known here.

Revisions are compared key by key, so that nothing is ever taken back,
whichever way an older value arrives: from the store, or from an instance
that tells what it read there.

While the store is away the last values stay in force. Entries of upstreams
that lapsed meanwhile come back within two seconds of its return if the
upstream lives, so removals are held while absence.py doubts them. They are
told to others only once they count.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.quota import Written

from .absence import Absence
from .decode import decode_state
from .ends import ENDS_PREFIX, EndRecords, decode_ends
from .entries import (
    INSTANCE_PREFIX,
    ORDERS_PREFIX,
    RECORDS_PREFIX,
    STATUS_PREFIX,
    USE_KEY,
    InstanceEntry,
    decode_instance,
    decode_use,
)
from .errors import DecodeError
from .history import History, News
from .store import Change, Changes, Snapshot
from .upstreams import UPSTREAM_PREFIX, Upstreams

_STATE_KEY = 'op/config'
# What matters only to instances that watch the store.
_UNTOLD = (USE_KEY, RECORDS_PREFIX)
# Kept of the time that a change may take when a removal is held: timers that
# fire late under load, and the way of a request to its upstream.
_HELD_KEPT_S = 0.2
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

    def on_store(self, *, reachable: bool) -> None:
        """Take that the store was lost or is back."""


Log = Callable[..., None]


class _Unsaid(msgspec.Struct):
    upstreams: bool = False
    instances: bool = False


class _Held(msgspec.Struct, frozen=True):
    """A removal that may be taken back, and until when it is held."""

    removal: Change
    until: float


class StoreView:
    """Tells a listener of the store's newest values."""

    def __init__(
        self,
        listener: Listener,
        log: Log,
        absence: Absence,
        change_s: float,
    ) -> None:
        """Start with nothing known.

        change_s: how long a change may take to be in force.
        """
        self.change_s = change_s
        # Takes what was written of upstreams that ended.
        self.on_ends: Callable[[EndRecords], None] = _ignored
        # Takes changes of roll-outs, and when each was made at the earliest.
        self.on_rollout: Callable[[Change, float], None] = _ignored_rollout
        # Nothing that the store held at this time is missing here, on the
        # loop's clock.
        self.followed_at = float('-inf')
        # All changes up to this revision are known, None before the first.
        self.cursor: int | None = None
        # Nothing that was made by then is missing, as known before the answer
        # that is being taken; later than the time of its question.
        self._complete_at = float('-inf')
        self._listener = listener
        self._log = log
        self._absence = absence
        self._loop = asyncio.get_running_loop()
        self._history = History()
        self._revisions: dict[str, int] = {}
        self._upstreams = Upstreams()
        self._told: tuple[Upstream, ...] = ()
        self._instances: dict[str, InstanceEntry] = {}
        self._held: dict[str, _Held] = {}
        # Keys whose value was rejected: whoever writes it writes it again.
        self._rejected: set[str] = set()
        self._release_timer: asyncio.TimerHandle | None = None
        self._unsaid = _Unsaid()
        self._version = -1
        self._raw_state = b''
        self._takers = (
            (_STATE_KEY, self._take_state),
            (UPSTREAM_PREFIX, self._take_upstream),
            (INSTANCE_PREFIX, self._take_instance),
            (USE_KEY, self._take_use),
            (ENDS_PREFIX, self._take_ends),
        )

    # -- from the store

    def take_all(self, snapshot: Snapshot, asked_at: float) -> None:
        """Take everything that the store holds."""
        present = {entry.key for entry in snapshot.entries}
        for entry in snapshot.entries:
            self._apply(Change(entry.key, entry.content, entry.revision))
        for key in self._revisions.keys() - present:
            self._apply(Change(key, None, snapshot.revision))
        self._history.begin(snapshot.revision)
        self.cursor = snapshot.revision
        self._settle(asked_at)
        self._complete_at = asked_at

    def take_changes(self, answer: Changes, asked_at: float) -> None:
        """Take what changed after the cursor."""
        for change in answer.changes:
            self._apply(change)
        self.cursor = max(self.cursor or 0, answer.revision)
        self._settle(asked_at)
        self._complete_at = self._loop.time()

    # -- from and for other instances

    def take_news(self, news: News, asked_at: float) -> bool:
        """Take what another instance tells; return whether it sufficed.

        asked_at: a time at which nothing else had changed, on this clock. Who
        tells has judged by itself whether removals count.
        """
        if self.cursor is None or news.after > self.cursor:
            return False
        for change in news.changes:
            self._apply(change, told=True)
        self.cursor = max(self.cursor, news.revision)
        self._settle(asked_at)
        self._complete_at = max(self._complete_at, asked_at)
        return True

    def news(self, after: int) -> News | None:
        """Return what is in force here and changed after a revision."""
        if self.cursor is None:
            return None
        return self._history.news(after, self.revision)

    @property
    def revision(self) -> int:
        """Return up to which revision all is in force here, 0 for nothing."""
        cursor = self.cursor or 0
        held = (held.removal.revision - 1 for held in self._held.values())
        return min(held, default=cursor)

    def raw_state(self) -> bytes:
        """Return the desired state in force as the store holds it."""
        return self._raw_state

    def take_raw_state(self, raw: bytes) -> None:
        """Take a desired state that another instance read."""
        try:
            self._take_state(_STATE_KEY, raw)
        except DecodeError as exc:
            self._reject(_STATE_KEY, exc)

    def stop(self) -> None:
        """Release nothing any more."""
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

    # -- inner steps

    def _settle(self, asked_at: float) -> None:
        self._release_removals(self._loop.time())
        self.followed_at = max(self.followed_at, asked_at)
        self._listener.on_confirmed(self.followed_at)

    def _apply(self, change: Change, *, told: bool = False) -> None:
        if change.revision <= self._revisions.get(change.key, -1):
            return
        self._revisions[change.key] = change.revision
        if change.key.startswith((ORDERS_PREFIX, STATUS_PREFIX)):
            self._take_rollout(change)
            return
        if change.content is None:
            self._take_removal(change, told=told)
            return
        try:
            self._take(change.key, change.content)
        except DecodeError as exc:
            self._reject(change.key, exc)
        else:
            self._rejected.discard(change.key)
        if not change.key.startswith(_UNTOLD):
            self._history.note(change)

    def _reject(self, key: str, exc: DecodeError) -> None:
        if key in self._rejected:
            return
        self._rejected.add(key)
        self._log(
            Event.value_rejected,
            key=key[:_SHOWN_KEY],
            cause=str(exc)[:_SHOWN_CAUSE],
        )

    def _take(self, key: str, content: bytes) -> None:
        for prefix, taker in self._takers:
            if key.startswith(prefix):
                taker(key, content)

    def _take_removal(self, removal: Change, *, told: bool) -> None:
        # The operator replaces the desired state and never removes it.
        key = removal.key
        if key not in self._upstreams and key not in self._instances:
            return
        now = self._loop.time()
        if told or not self._absence.doubts(now):
            self._remove(removal)
            return
        # Who has read that an upstream leaves is bound by it from then on,
        # also while the store is in disturbance.
        until = now + self.change_s - _HELD_KEPT_S
        self._held[key] = _Held(removal, until)
        self._log(
            Event.removal_held,
            key=key,
            held_s=round(min(until, self._absence.until) - now, 3),
            cause='the store was away',
        )

    def _remove(self, removal: Change) -> None:
        self._held.pop(removal.key, None)
        self._history.note(removal)
        if self._upstreams.drop(removal.key):
            self._unsaid.upstreams = True
        if self._instances.pop(removal.key, None) is not None:
            self._unsaid.instances = True

    def _take_state(self, key: str, content: bytes) -> None:
        state = decode_state(content)
        if state.version <= self._version:
            return
        self._version = state.version
        self._raw_state = content
        self._listener.on_state(state)

    def _take_instance(self, key: str, content: bytes) -> None:
        self._held.pop(key, None)
        self._unsaid.instances = True
        self._instances.pop(key, None)
        instance = key.removeprefix(INSTANCE_PREFIX)
        self._instances[key] = decode_instance(instance, content)

    def _take_use(self, key: str, content: bytes) -> None:
        # Only what was written before this process began matters to it.
        if self.cursor is None:
            self._listener.on_use(decode_use(content))

    def _take_rollout(self, change: Change) -> None:
        self._history.note(change)
        try:
            self.on_rollout(change, self._complete_at)
        except DecodeError as exc:
            self._reject(change.key, exc)
        else:
            self._rejected.discard(change.key)

    def _take_ends(self, key: str, content: bytes) -> None:
        self.on_ends(decode_ends(content))

    def _take_upstream(self, key: str, content: bytes) -> None:
        self._held.pop(key, None)
        self._unsaid.upstreams = True
        self._upstreams.take(key, content)

    def _tell(self) -> None:
        """Pass on what the last answer changed, all of it at once."""
        unsaid = self._unsaid
        self._unsaid = _Unsaid()
        if unsaid.upstreams:
            self._tell_upstreams()
        if unsaid.instances:
            self._listener.on_instances(tuple(self._instances.values()))

    def _tell_upstreams(self) -> None:
        # Upstreams repeat their entries, of which only the number differs.
        upstreams = self._upstreams.all()
        if upstreams != self._told:
            self._told = upstreams
            self._listener.on_upstreams(upstreams)

    def _release_removals(self, now: float) -> None:
        doubts = self._absence.doubts(now)
        for held in tuple(self._held.values()):
            if doubts and now < held.until:
                continue
            self._remove(held.removal)
        self._tell()
        self._start_timer(now)

    def _start_timer(self, now: float) -> None:
        """Release what is held at the end of the doubt, not of a watch.

        A watch lasts a second and more, the doubt ends 0.2 s before removals
        must count.
        """
        self.stop()
        if not self._held:
            return
        release_at = min(held.until for held in self._held.values())
        if now < self._absence.until:
            release_at = min(release_at, self._absence.until)
        self._release_timer = self._loop.call_at(
            release_at,
            self._release_removals,
            release_at,
        )


def _ignored_rollout(change: Change, made_after: float) -> None:
    """Take a change where nobody acts on it."""


def _ignored(records: EndRecords) -> None:
    """Take records where nobody keeps them."""
