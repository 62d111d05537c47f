"""In-memory key-value service that can lose responses and be down."""

from collections.abc import Callable

from tallyhall_sources.errors import UnavailableError
from tallyhall_sources.kv import VersionedValue


class FakeKv:
    """KeyValue for tests; the hooks run immediately before a write."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, VersionedValue] = {}
        self.revision = 0
        self.lose_responses = 0
        self.is_down = False
        self.before_write: list[Callable[[], None]] = []

    def get(self, key: str) -> VersionedValue:
        """Return the value of a key."""
        self._check()
        return self.entries.get(key, VersionedValue(b'', 0))

    def compare_and_swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if unchanged; the response may be lost."""
        self._check()
        if self.before_write:
            self.before_write.pop()()
        if self.entries.get(key, VersionedValue(b'', 0)).mod_revision != seen:
            return False
        self.revision += 1
        self.entries[key] = VersionedValue(content, self.revision)
        if self.lose_responses:
            self.lose_responses -= 1
            raise UnavailableError('response lost')
        return True

    def wait_for_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Return immediately."""
        return self.revision > after

    def grant_lease(self, ttl_s: int) -> str:
        """Leases are not supported."""
        raise NotImplementedError

    def create_with_lease(self, key: str, content: bytes, lease: str) -> bool:
        """Leases are not supported."""
        raise NotImplementedError

    def renew_lease(self, lease: str) -> bool:
        """Leases are not supported."""
        raise NotImplementedError

    def _check(self) -> None:
        if self.is_down:
            raise UnavailableError('service is down')
