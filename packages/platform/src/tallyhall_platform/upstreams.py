"""Which upstreams the store names, by the newest word of each.

An upstream may start again under its id, and what it wrote before may reach
the store after that: writes are delayed, and leases outlast processes. So a
start is told from the one before by its time, and the reports of one start
by their number; what is older than what is known says nothing.

Others may write to the store as well. An entry that is not whole names no
upstream, and nothing that it named before: it may have replaced the only
sign of an upstream that has gone.
"""

from __future__ import annotations

from tallyhall_dispatch.desired import Upstream

from .decode import UpstreamEntry, decode_upstream
from .errors import DecodeError

UPSTREAM_PREFIX = 'servers/'


class Upstreams:
    """The entries of upstreams, by key."""

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: dict[str, UpstreamEntry] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether a key names an upstream."""
        return key in self._entries

    def all(self) -> tuple[Upstream, ...]:
        """Return all upstreams that are named."""
        return tuple(entry.upstream for entry in self._entries.values())

    def take(self, key: str, raw: bytes) -> None:
        """Take what a key holds; raise DecodeError where it names nothing."""
        try:
            entry = decode_upstream(key.removeprefix(UPSTREAM_PREFIX), raw)
        except DecodeError:
            self.drop(key)
            raise
        known = self._entries.get(key)
        if known is None or _order(known) <= _order(entry):
            self._entries[key] = entry

    def drop(self, key: str) -> bool:
        """Take that a key is gone; return whether it named an upstream."""
        return self._entries.pop(key, None) is not None


def _order(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.upstream.started_ms, entry.serial
