"""Shared values, of which only a higher revision is ever accepted.

The table, the assignment and the list of instances are delivered by the
platform or by peers, in any order and possibly more than once. `SharedValues`
stores the newest revision of each and compares revisions with those of peers.
"""

from __future__ import annotations

from tallyhall_core.messages import Revision, SharedValue

TABLE = 'table'
ASSIGNMENT = 'assignment'
INSTANCES = 'instances'
NAMES = (TABLE, ASSIGNMENT, INSTANCES)
# Seconds to wait for a requested value before it is requested again.
_REQUEST_TIMEOUT_S = 0.3


class SharedValues:
    """The newest revision known of each shared value."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._newest: dict[str, SharedValue] = {}
        # name -> the revision requested last, and the time of the request
        self._requested: dict[str, tuple[int, float]] = {}

    def revision(self, name: str) -> int:
        """Return the stored revision, 0 if there is none."""
        stored = self._newest.get(name)
        return stored.revision if stored else 0

    def revisions(self) -> tuple[Revision, ...]:
        """Return the stored revisions, to be sent with a heartbeat."""
        return tuple(Revision(name, self.revision(name)) for name in NAMES)

    def is_newer(self, offered: SharedValue) -> bool:
        """Return whether the offered value is newer than the stored one."""
        return offered.name in NAMES and offered.revision > self.revision(
            offered.name
        )

    def take(self, offered: SharedValue) -> bool:
        """Store the value if it is newer; return whether it was."""
        if not self.is_newer(offered):
            return False
        self._newest[offered.name] = offered
        return True

    def to_ask_for(
        self,
        peer_revisions: tuple[Revision, ...],
        now: float,
    ) -> tuple[str, ...]:
        """Return the names to request from a peer with newer revisions.

        Several peers announce a new value before the first one has sent it.
        Requesting it from all of them would increase the number of values
        sent by nearly a half.
        """
        names = []
        for rev in peer_revisions:
            if rev.name not in NAMES or rev.revision <= self.revision(rev.name):
                continue
            requested, requested_at = self._requested.get(rev.name, (0, now))
            if (
                rev.revision <= requested
                and now - requested_at < _REQUEST_TIMEOUT_S
            ):
                continue
            self._requested[rev.name] = (rev.revision, now)
            names.append(rev.name)
        return tuple(names)

    def select(self, names: tuple[str, ...]) -> tuple[SharedValue, ...]:
        """Return the stored values with these names."""
        return tuple(
            self._newest[name] for name in names if name in self._newest
        )
