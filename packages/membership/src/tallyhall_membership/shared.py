"""Shared values: only a higher revision is ever taken.

The table, the assignment and the list of instances reach an instance from
the platform or from a peer, in any order and more than once. This class
holds the newest of each and answers which ones a peer lacks or has.
"""

from __future__ import annotations

from tallyhall_core.messages import Revision, SharedValue

TABLE = 'table'
ASSIGNMENT = 'assignment'
INSTANCES = 'instances'
NAMES = (TABLE, ASSIGNMENT, INSTANCES)


class SharedValues:
    """The newest revision known of each shared value."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._held: dict[str, SharedValue] = {}

    def revision(self, name: str) -> int:
        """Return the revision held, 0 where there is none."""
        held = self._held.get(name)
        return held.revision if held else 0

    def revisions(self) -> tuple[Revision, ...]:
        """Return the revisions held, for a heartbeat."""
        return tuple(Revision(name, self.revision(name)) for name in NAMES)

    def is_newer(self, offered: SharedValue) -> bool:
        """Return whether the offered value is newer than the one held."""
        return offered.name in NAMES and offered.revision > self.revision(
            offered.name
        )

    def take(self, offered: SharedValue) -> bool:
        """Keep the value if it is newer; return whether it was."""
        if not self.is_newer(offered):
            return False
        self._held[offered.name] = offered
        return True

    def missing(self, theirs: tuple[Revision, ...]) -> tuple[str, ...]:
        """Return the names of which a peer holds a newer revision."""
        return tuple(
            rev.name
            for rev in theirs
            if rev.name in NAMES and rev.revision > self.revision(rev.name)
        )

    def select(self, names: tuple[str, ...]) -> tuple[SharedValue, ...]:
        """Return the values held under these names."""
        return tuple(self._held[name] for name in names if name in self._held)
