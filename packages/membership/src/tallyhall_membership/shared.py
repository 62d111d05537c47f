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
# How long a peer may take to send a value before another one is asked.
_ASK_AGAIN_S = 0.3


class SharedValues:
    """The newest revision known of each shared value."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._held: dict[str, SharedValue] = {}
        # name -> the revision asked for last, and when
        self._asked: dict[str, tuple[int, float]] = {}

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

    def to_ask_for(
        self,
        theirs: tuple[Revision, ...],
        now: float,
    ) -> tuple[str, ...]:
        """Return the names to ask a peer for, which holds newer revisions.

        Several peers tell of a new value before the first has sent it; asking
        all of them would send every value nearly half as often again.
        """
        names = []
        for rev in theirs:
            if rev.name not in NAMES or rev.revision <= self.revision(rev.name):
                continue
            asked, at = self._asked.get(rev.name, (0, now))
            if rev.revision <= asked and now - at < _ASK_AGAIN_S:
                continue
            self._asked[rev.name] = (rev.revision, now)
            names.append(rev.name)
        return tuple(names)

    def select(self, names: tuple[str, ...]) -> tuple[SharedValue, ...]:
        """Return the values held under these names."""
        return tuple(self._held[name] for name in names if name in self._held)
