"""What an owner has permitted, and what it no longer remembers.

A taker may dispatch a request only if the owner is certain never to have
permitted it. The memory is therefore never trimmed by a clock alone: each id
carries its home's window, a home mints only in its present window, and once
records of a window are dropped, every id of that window or an earlier one is
answered `forgotten` and is never permitted again.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import RequestId

FORGOTTEN = 'forgotten'
NEVER = 'never'
PERMITTED = 'permitted'
_EVERY_WINDOW = 1_000_000_000_000

# nonce -> (holder, upstream)
_Window = dict[str, tuple[str, str]]


@dataclasses.dataclass(slots=True)
class _HomeRecords:
    windows: dict[int, _Window] = dataclasses.field(default_factory=dict)
    forgotten: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Recall:
    """What the memory says of one id."""

    state: str
    holder: str = ''
    upstream: str = ''


class PermitMemory:
    """Permits given, by home, window and nonce."""

    def __init__(self, windows_kept: int) -> None:
        """Keep the records of this many windows of each home."""
        self._kept = windows_kept
        self._homes: dict[str, _HomeRecords] = {}

    def __len__(self) -> int:
        """Return the number of ids remembered."""
        return sum(
            len(records)
            for home in self._homes.values()
            for records in home.windows.values()
        )

    def recall(self, rid: RequestId) -> Recall:
        """Return whether the id was permitted, never was, or is forgotten."""
        home = self._homes.get(str(rid.home))
        if home is None:
            return Recall(NEVER)
        if rid.window <= home.forgotten:
            return Recall(FORGOTTEN)
        known = home.windows.get(rid.window, {}).get(rid.nonce)
        if known is None:
            return Recall(NEVER)
        return Recall(PERMITTED, *known)

    def record(self, rid: RequestId, holder: str, upstream: str) -> None:
        """Remember a permit, and drop windows that are too old."""
        home = self._homes.setdefault(str(rid.home), _HomeRecords())
        home.windows.setdefault(rid.window, {})[rid.nonce] = (holder, upstream)
        oldest = max(home.windows) - self._kept
        for window in tuple(home.windows):
            if window > oldest:
                continue
            home.windows.pop(window)
            home.forgotten = max(home.forgotten, window)
        home.forgotten = max(home.forgotten, oldest)

    def drop(self, home: str) -> None:
        """Forget everything of a home that is gone; its ids stay barred."""
        self._homes[home] = _HomeRecords(forgotten=_EVERY_WINDOW)

    def homes(self) -> set[str]:
        """Return the homes of which any record is kept."""
        return {
            home for home, records in self._homes.items() if records.windows
        }
