"""A key-value service in memory that loses answers and goes down."""

from collections.abc import Callable

from tallyhall_sources.errors import UnavailableError
from tallyhall_sources.kv import Versioned


class FakeKv:
    """The KeyValue of tests; hooks run right before each write."""

    def __init__(self) -> None:
        """Start empty."""
        self.kept: dict[str, Versioned] = {}
        self.revision = 0
        self.lose_answers = 0
        self.is_down = False
        self.before_write: list[Callable[[], None]] = []

    def get(self, key: str) -> Versioned:
        """Return the value."""
        self._check()
        return self.kept.get(key, Versioned(b'', 0))

    def swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if unchanged; the answer may be lost."""
        self._check()
        if self.before_write:
            self.before_write.pop()()
        if self.kept.get(key, Versioned(b'', 0)).mod_revision != seen:
            return False
        self.revision += 1
        self.kept[key] = Versioned(content, self.revision)
        if self.lose_answers:
            self.lose_answers -= 1
            raise UnavailableError('the answer is lost')
        return True

    def wait_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Never wait."""
        return self.revision > after

    def grant_lease(self, ttl_s: int) -> str:
        """Leases are not kept here."""
        raise NotImplementedError

    def swap_leased(self, key: str, content: bytes, lease: str) -> bool:
        """Leases are not kept here."""
        raise NotImplementedError

    def keep_lease(self, lease: str) -> bool:
        """Leases are not kept here."""
        raise NotImplementedError

    def _check(self) -> None:
        if self.is_down:
            raise UnavailableError('down')
