"""A local copy of the store's contents.

Changes arrive from the store and from instances that relay what they read
there. Revisions are compared key by key, so that an older value never
replaces a newer one, whichever source it comes from.

During an outage of the store the last values stay in force. Entries of
upstreams that expire meanwhile are written again within two seconds of its
end if the upstream is alive, so removals are held as long as outage.py says
so. A held removal is relayed to other instances only once it is applied.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import DesiredState, Upstream
from tallyhall_dispatch.quota import StoredUse

from .change_history import ChangeBatch, ChangeHistory
from .decode import decode_state
from .end_records import END_RECORDS_PREFIX, EndRecords, decode_end_records
from .entries import (
    INSTANCE_PREFIX,
    ORDERS_PREFIX,
    QUOTA_USE_KEY,
    RECORDS_PREFIX,
    STATUS_PREFIX,
    InstanceEntry,
    decode_instance,
    decode_quota_use,
)
from .errors import DecodeError
from .outage import OutageTracker
from .store import Change, Changes, Snapshot
from .upstreams import UPSTREAM_PREFIX, UpstreamRegistry

_STATE_KEY = 'op/config'
# Keys that matter only to instances that watch the store themselves.
_NOT_RELAYED = (QUOTA_USE_KEY, RECORDS_PREFIX)
# Subtracted from `change_s` when a removal is held, for timers that fire late
# under load and for requests on their way to the upstream.
_HOLD_MARGIN_S = 0.2
# Characters that are logged of a key whose value is rejected and of the
# reason; another program may have chosen both.
_MAX_LOGGED_KEY = 200
_MAX_LOGGED_CAUSE = 200


class Listener(Protocol):
    """Receives the contents of the store and their changes."""

    def on_state(self, state: DesiredState) -> None:
        """Handle a newer desired state."""

    def on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Handle the new set of all upstreams."""

    def on_instances(self, entries: tuple[InstanceEntry, ...]) -> None:
        """Handle the new set of all registered instances."""

    def on_stored_use(self, use: StoredUse) -> None:
        """Handle the use of quotas that was stored before this run."""

    def on_state_confirmed(self, asked_at: float) -> None:
        """Handle that the desired state was still current at this time."""

    def on_store_reachable(self, *, reachable: bool) -> None:
        """Handle that the store became unreachable or reachable again."""


Log = Callable[..., None]


class _PendingUpdates(msgspec.Struct):
    upstreams: bool = False
    instances: bool = False


class _HeldRemoval(msgspec.Struct, frozen=True):
    """A removal that is not applied yet, and when it is at the latest."""

    removal: Change
    until: float


class StoreView:
    """Applies changes of the store and notifies a listener."""

    def __init__(
        self,
        listener: Listener,
        log: Log,
        outages: OutageTracker,
        change_s: float,
    ) -> None:
        """Create an empty view.

        change_s: how long a change may take to be applied.
        """
        self.change_s = change_s
        # Called with records of upstreams that ended.
        self.on_end_records: Callable[[EndRecords], None] = _ignore_end_records
        # Called with each change of a roll-out and the earliest time at which
        # it can have been made.
        self.on_rollout: Callable[[Change, float], None] = _ignore_rollout
        # The view includes everything that the store held at this time of the
        # loop's clock.
        self.complete_as_of = float('-inf')
        # All changes up to this revision are known; None before the first
        # full read.
        self.cursor: int | None = None
        # The view was complete up to this time before the answer that is being
        # processed, so the changes in that answer were made later. Unlike
        # `complete_as_of`, it is later than the request of the previous answer.
        self._complete_at = float('-inf')
        self._listener = listener
        self._log = log
        self._outages = outages
        self._loop = asyncio.get_running_loop()
        self._history = ChangeHistory()
        self._revisions: dict[str, int] = {}
        self._upstreams = UpstreamRegistry()
        self._reported_upstreams: tuple[Upstream, ...] = ()
        self._instances: dict[str, InstanceEntry] = {}
        self._held: dict[str, _HeldRemoval] = {}
        # Keys whose value was rejected. Each is logged once, as its writer
        # usually writes it again.
        self._rejected: set[str] = set()
        self._release_timer: asyncio.TimerHandle | None = None
        self._pending = _PendingUpdates()
        self._version = -1
        self._raw_state = b''
        self._handlers = (
            (_STATE_KEY, self._handle_state),
            (INSTANCE_PREFIX, self._handle_instance),
            (QUOTA_USE_KEY, self._handle_use),
            (END_RECORDS_PREFIX, self._handle_end_records),
        )

    # -- from the store

    def apply_snapshot(self, snapshot: Snapshot, asked_at: float) -> None:
        """Apply a full read of the store."""
        present = {entry.key for entry in snapshot.entries}
        for entry in snapshot.entries:
            self._apply(
                Change(entry.key, entry.content, entry.revision, entry.created),
            )
        for key in self._revisions.keys() - present:
            self._apply(Change(key, None, snapshot.revision))
        self._history.reset(snapshot.revision)
        self.cursor = snapshot.revision
        self._finish_update(asked_at)
        self._complete_at = asked_at

    def apply_changes(self, answer: Changes, asked_at: float) -> None:
        """Apply the changes after the cursor."""
        for change in answer.changes:
            self._apply(change)
        self.cursor = max(self.cursor or 0, answer.revision)
        self._finish_update(asked_at)
        self._complete_at = self._loop.time()

    # -- exchange with other instances

    def apply_relayed(self, news: ChangeBatch, asked_at: float) -> bool:
        """Apply relayed changes; return whether they connect to the cursor.

        asked_at: a time on this clock at which the store held no later
        changes. Removals are applied at once, as the sender has already
        decided that they are final.
        """
        if self.cursor is None or news.after > self.cursor:
            return False
        for change in news.changes:
            self._apply(change, is_relayed=True)
        self.cursor = max(self.cursor, news.revision)
        self._finish_update(asked_at)
        self._complete_at = max(self._complete_at, asked_at)
        return True

    def changes_after(self, after: int) -> ChangeBatch | None:
        """Return the changes after a revision that are applied here."""
        if self.cursor is None:
            return None
        return self._history.changes_after(after, self.applied_revision)

    @property
    def applied_revision(self) -> int:
        """Return the revision up to which all changes are applied, or 0."""
        cursor = self.cursor or 0
        held = (held.removal.revision - 1 for held in self._held.values())
        return min(held, default=cursor)

    def raw_state(self) -> bytes:
        """Return the current desired state, encoded as in the store."""
        return self._raw_state

    def apply_raw_state(self, raw: bytes) -> None:
        """Apply a desired state that another instance read."""
        try:
            self._handle_state(_STATE_KEY, raw)
        except DecodeError as exc:
            self._reject(_STATE_KEY, exc)

    def stop(self) -> None:
        """Stop applying held removals."""
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

    # -- internals

    def _finish_update(self, asked_at: float) -> None:
        self._release_removals(self._loop.time())
        self.complete_as_of = max(self.complete_as_of, asked_at)
        self._listener.on_state_confirmed(self.complete_as_of)

    def _apply(self, change: Change, *, is_relayed: bool = False) -> None:
        if change.revision <= self._revisions.get(change.key, -1):
            return
        self._revisions[change.key] = change.revision
        if change.key.startswith((ORDERS_PREFIX, STATUS_PREFIX)):
            self._handle_rollout(change)
            return
        if change.content is None:
            self._handle_removal(change, is_relayed=is_relayed)
            return
        try:
            self._dispatch(change, change.content)
        except DecodeError as exc:
            self._reject(change.key, exc)
        else:
            self._rejected.discard(change.key)
        if not change.key.startswith(_NOT_RELAYED):
            self._history.add(change)

    def _reject(self, key: str, exc: DecodeError) -> None:
        if key in self._rejected:
            return
        self._rejected.add(key)
        self._log(
            Event.value_rejected,
            key=key[:_MAX_LOGGED_KEY],
            cause=str(exc)[:_MAX_LOGGED_CAUSE],
        )

    def _dispatch(self, change: Change, content: bytes) -> None:
        key = change.key
        if key.startswith(UPSTREAM_PREFIX):
            self._handle_upstream(key, content, change.created)
        for prefix, handle in self._handlers:
            if key.startswith(prefix):
                handle(key, content)

    def _handle_removal(self, removal: Change, *, is_relayed: bool) -> None:
        # Only removals of upstreams and instances matter: operators replace
        # the desired state and never remove it.
        key = removal.key
        if key not in self._upstreams and key not in self._instances:
            return
        now = self._loop.time()
        if is_relayed or not self._outages.holds_removals(now):
            self._remove(removal)
            return
        # A removal that has been read must be applied within `change_s`, even
        # while the store is unstable.
        until = now + self.change_s - _HOLD_MARGIN_S
        self._held[key] = _HeldRemoval(removal, until)
        self._log(
            Event.removal_held,
            key=key,
            held_s=round(min(until, self._outages.hold_until) - now, 3),
            cause='the store was unavailable',
        )

    def _remove(self, removal: Change) -> None:
        self._held.pop(removal.key, None)
        self._history.add(removal)
        if self._upstreams.remove(removal.key):
            self._pending.upstreams = True
        if self._instances.pop(removal.key, None) is not None:
            self._pending.instances = True

    def _handle_state(self, key: str, content: bytes) -> None:
        state = decode_state(content)
        if state.version <= self._version:
            return
        self._version = state.version
        self._raw_state = content
        self._listener.on_state(state)

    def _handle_instance(self, key: str, content: bytes) -> None:
        self._held.pop(key, None)
        self._pending.instances = True
        self._instances.pop(key, None)
        instance = key.removeprefix(INSTANCE_PREFIX)
        self._instances[key] = decode_instance(instance, content)

    def _handle_use(self, key: str, content: bytes) -> None:
        # Only the use that was stored before this process started matters.
        if self.cursor is None:
            self._listener.on_stored_use(decode_quota_use(content))

    def _handle_rollout(self, change: Change) -> None:
        self._history.add(change)
        try:
            self.on_rollout(change, self._complete_at)
        except DecodeError as exc:
            self._reject(change.key, exc)
        else:
            self._rejected.discard(change.key)

    def _handle_end_records(self, key: str, content: bytes) -> None:
        self.on_end_records(decode_end_records(content))

    def _handle_upstream(self, key: str, content: bytes, created: int) -> None:
        self._held.pop(key, None)
        self._pending.upstreams = True
        self._upstreams.update(key, content, created)

    def _notify_listener(self) -> None:
        """Notify the listener once of all changes in the last answer."""
        pending = self._pending
        self._pending = _PendingUpdates()
        if pending.upstreams:
            self._notify_upstreams()
        if pending.instances:
            self._listener.on_instances(tuple(self._instances.values()))

    def _notify_upstreams(self) -> None:
        # Upstreams rewrite their entries with only the sequence number
        # changed, which needs no notification.
        upstreams = self._upstreams.all()
        if upstreams != self._reported_upstreams:
            self._reported_upstreams = upstreams
            self._listener.on_upstreams(upstreams)

    def _release_removals(self, now: float) -> None:
        still_held = self._outages.holds_removals(now)
        for held in tuple(self._held.values()):
            if still_held and now < held.until:
                continue
            self._remove(held.removal)
        self._notify_listener()
        self._schedule_release(now)

    def _schedule_release(self, now: float) -> None:
        """Apply held removals when their hold ends, not at the next answer.

        A watch lasts a second or more, and the hold ends only 0.2 s before
        the removals must be applied.
        """
        self.stop()
        if not self._held:
            return
        release_at = min(held.until for held in self._held.values())
        if now < self._outages.hold_until:
            release_at = min(release_at, self._outages.hold_until)
        self._release_timer = self._loop.call_at(
            release_at,
            self._release_removals,
            release_at,
        )


def _ignore_rollout(change: Change, made_after: float) -> None:
    """Ignore a change of a roll-out."""


def _ignore_end_records(records: EndRecords) -> None:
    """Ignore records of ended upstreams."""
