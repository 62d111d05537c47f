"""The last changes of the store, kept for instances that do not watch it.

In a large fleet a few instances watch the store and tell the others, who name
the revision up to which they know everything. What is told starts right there,
so that nothing between two tellings can be missing: one that was told by
another instance before, or was away for a while, is told what it lacks or, if
that is no longer kept, that it must look for itself.
"""

from __future__ import annotations

import msgspec

from .store import Change

# Changes that are kept: ten starts of a fleet of 410 would fill it, half a
# megabyte with entries of 250 bytes.
_MOST_KEPT = 2000


class News(msgspec.Struct, frozen=True):
    """What one instance tells another of the store.

    after: nothing that changed later is missing, up to `revision`.
    """

    after: int
    revision: int
    changes: tuple[Change, ...] = ()


class History:
    """The newest change of each key, in the order in which they were taken."""

    def __init__(self) -> None:
        """Start without a revision to tell from."""
        self._since: int | None = None
        self._newest = 0
        self._changes: dict[str, Change] = {}

    def begin(self, revision: int) -> None:
        """Take that all up to this revision was read at once."""
        self._changes.clear()
        self._since = revision

    def note(self, change: Change) -> None:
        """Keep a change that is in force."""
        # Taken out first, so that the oldest are the first ones.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        self._newest = max(self._newest, change.revision)
        if len(self._changes) > _MOST_KEPT:
            self._forget_oldest()

    def news(self, after: int, revision: int) -> News | None:
        """Return what changed after a revision, None if nothing is known."""
        since = self._since
        if since is None:
            return None
        if after < since:
            return News(since, revision)
        if after >= self._newest:
            return News(after, revision)
        later = tuple(
            change
            for change in self._changes.values()
            if change.revision > after
        )
        return News(after, revision, later)

    def _forget_oldest(self) -> None:
        oldest = next(iter(self._changes))
        revision = self._changes.pop(oldest).revision
        if self._since is not None:
            self._since = max(self._since, revision)
