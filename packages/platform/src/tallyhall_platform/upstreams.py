"""The upstreams registered in the store, by their newest valid entry.

An upstream may restart under the same id, and an entry that it wrote before
may reach the store after the restart: writes can be delayed, and leases
outlive processes. Entries are therefore ordered by start time, then by their
sequence number within one run, and older ones are ignored.

Other programs may write to the store too. An invalid entry also removes the
upstream that its key held before, since it may have overwritten the removal
of that upstream.
"""

from __future__ import annotations

from tallyhall_dispatch.desired import Upstream

from .decode import UpstreamEntry, decode_upstream
from .errors import DecodeError

UPSTREAM_PREFIX = 'servers/'


class UpstreamRegistry:
    """The entries of upstreams, by key."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._entries: dict[str, UpstreamEntry] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether a key holds a valid upstream entry."""
        return key in self._entries

    def all(self) -> tuple[Upstream, ...]:
        """Return all registered upstreams."""
        return tuple(entry.upstream for entry in self._entries.values())

    def update(self, key: str, raw: bytes, created: int = 0) -> None:
        """Store the entry of a key; remove it and raise DecodeError if bad.

        created: revision of the store at which the key was created.
        """
        name = key.removeprefix(UPSTREAM_PREFIX)
        try:
            entry = decode_upstream(name, raw, created)
        except DecodeError:
            self.remove(key)
            raise
        known = self._entries.get(key)
        if known is None or _recency(known) <= _recency(entry):
            self._entries[key] = entry

    def remove(self, key: str) -> bool:
        """Remove the entry of a key; return whether there was one."""
        return self._entries.pop(key, None) is not None


def _recency(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.upstream.started_ms, entry.serial
