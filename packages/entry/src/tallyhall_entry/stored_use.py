"""Quota use that a single instance writes to the store for the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tallyhall_dispatch.quota import Quotas, StoredUse


class StoredUseSource:
    """A `UseSource` that supplies the quota use known to the writer."""

    def __init__(self, quotas: Quotas, is_writer: Callable[[], bool]) -> None:
        """Supply the use of these quotas while this instance is the writer."""
        self._quotas = quotas
        self._is_writer = is_writer
        self._loop = asyncio.get_running_loop()

    def pending(self) -> StoredUse | None:
        """Return the use to be written now, None for no write."""
        if self._is_writer():
            return self._quotas.use_due_for_storing(self._loop.time())
        self._quotas.mark_stored({})
        return None

    def mark_written(self, use: StoredUse) -> None:
        """Record that the use was stored."""
        self._quotas.mark_stored(use)
