"""Recent changes of the store, kept for instances that do not watch it.

In a large fleet a few instances, the relays, watch the store. The others, the
subscribers, ask a relay for the changes after the revision up to which they
know everything, so that none is missing between two answers, even if they
come from different relays or after a pause. If the relay no longer keeps
these changes, its answer starts at a later revision, and the subscriber must
read the store itself.
"""

from __future__ import annotations

import msgspec

from .store import Change

# Ten starts of a fleet of 410 instances fill it: half a megabyte with entries
# of 250 bytes.
_MAX_CHANGES = 2000


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes of the store that one instance sends to another.

    Holds every change after the revision `after` up to `revision`.
    """

    after: int
    revision: int
    changes: tuple[Change, ...] = ()


class ChangeHistory:
    """The latest change of each key, oldest first."""

    def __init__(self) -> None:
        """Create an empty history; `reset` sets its base revision."""
        self._base_revision: int | None = None
        self._newest_revision = 0
        self._changes: dict[str, Change] = {}

    def reset(self, revision: int) -> None:
        """Restart after a full read of the store at this revision."""
        self._changes.clear()
        self._base_revision = revision

    def add(self, change: Change) -> None:
        """Add a change that has been applied."""
        # Removed first, so that the dictionary stays in order of age.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        self._newest_revision = max(self._newest_revision, change.revision)
        if len(self._changes) > _MAX_CHANGES:
            self._evict_oldest()

    def changes_after(self, after: int, revision: int) -> ChangeBatch | None:
        """Return the changes after a revision, None before the first read.

        If some of them are no longer kept, the result is empty and starts at
        a later revision.
        """
        since = self._base_revision
        if since is None:
            return None
        if after < since:
            return ChangeBatch(since, revision)
        if after >= self._newest_revision:
            return ChangeBatch(after, revision)
        later = tuple(
            change
            for change in self._changes.values()
            if change.revision > after
        )
        return ChangeBatch(after, revision, later)

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._changes))
        revision = self._changes.pop(oldest).revision
        if self._base_revision is not None:
            self._base_revision = max(self._base_revision, revision)
