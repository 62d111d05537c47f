"""Reads how much memory this process uses."""

from __future__ import annotations

import pathlib
import resource

_STATM = pathlib.Path('/proc/self/statm')


def resident_bytes() -> int | None:
    """Return the resident memory of this process, None if unknown."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()
