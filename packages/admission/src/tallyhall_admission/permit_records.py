"""Record of the permits that an owner has issued.

An instance that takes over a request may dispatch it only if the owner is
certain that no permit was issued before. Records are therefore not expired by
time alone: each id contains a window of its home, and a home generates ids in
its current window only. Once the records of a window are deleted, every id of
that window or an earlier one is reported as `forgotten` and gets no permit.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import RequestId

FORGOTTEN = 'forgotten'
NEVER = 'never'
PERMITTED = 'permitted'
_MAX_WINDOW = 1_000_000_000_000

# nonce -> (holder, upstream)
_Window = dict[str, tuple[str, str]]


@dataclasses.dataclass(slots=True)
class _HomeRecords:
    windows: dict[int, _Window] = dataclasses.field(default_factory=dict)
    last_forgotten: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class PermitLookup:
    """Result of a lookup of one id."""

    state: str
    holder: str = ''
    upstream: str = ''


class PermitRecords:
    """Issued permits by home, window and nonce."""

    def __init__(self, windows_kept: int) -> None:
        """Keep the records of this many windows per home."""
        self._windows_kept = windows_kept
        self._homes: dict[str, _HomeRecords] = {}

    def __len__(self) -> int:
        """Return the number of recorded ids."""
        return sum(
            len(records)
            for home in self._homes.values()
            for records in home.windows.values()
        )

    def look_up(self, rid: RequestId) -> PermitLookup:
        """Return whether the id was permitted, was not, or is forgotten."""
        home = self._homes.get(str(rid.home))
        if home is None:
            return PermitLookup(NEVER)
        if rid.window <= home.last_forgotten:
            return PermitLookup(FORGOTTEN)
        known = home.windows.get(rid.window, {}).get(rid.nonce)
        if known is None:
            return PermitLookup(NEVER)
        return PermitLookup(PERMITTED, *known)

    def record(self, rid: RequestId, holder: str, upstream: str) -> None:
        """Record a permit and delete the windows that are too old."""
        home = self._homes.setdefault(str(rid.home), _HomeRecords())
        home.windows.setdefault(rid.window, {})[rid.nonce] = (holder, upstream)
        oldest = max(home.windows) - self._windows_kept
        for window in tuple(home.windows):
            if window > oldest:
                continue
            home.windows.pop(window)
            home.last_forgotten = max(home.last_forgotten, window)
        home.last_forgotten = max(home.last_forgotten, oldest)

    def forget_home(self, home: str) -> None:
        """Delete the records of a dead home; its ids stay `forgotten`."""
        self._homes[home] = _HomeRecords(last_forgotten=_MAX_WINDOW)

    def homes(self) -> set[str]:
        """Return the homes that have records."""
        return {
            home for home, records in self._homes.items() if records.windows
        }
