"""How often the parts of prompts were answered lately, on this instance.

Each upstream that crashes takes along requests with the parts that most
requests hold, so the share of such a part tells how little that means.
"""

from __future__ import annotations

import collections

# Length of the counted intervals in seconds; the current one and the one before
# it count.
_INTERVAL_S = 30.0
# Maximum number of parts counted in one interval.
_MAX_PARTS = 2000


class PartUsage:
    """Counts answers by part in the last 30 to 60 seconds."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._current: collections.Counter[str] = collections.Counter()
        self._previous: collections.Counter[str] = collections.Counter()
        self._started_at = float('-inf')

    def record(self, part: str, now: float) -> None:
        """Count an answer to a prompt with this part."""
        self._advance(now)
        if part in self._current or len(self._current) < _MAX_PARTS:
            self._current[part] += 1

    def count(self, part: str, now: float) -> int:
        """Return the number of answers to prompts with this part."""
        self._advance(now)
        return self._current[part] + self._previous[part]

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._started_at
        if 0 <= elapsed_s < _INTERVAL_S:
            return
        was_idle = not 0 <= elapsed_s < 2 * _INTERVAL_S
        self._previous = collections.Counter() if was_idle else self._current
        self._current = collections.Counter()
        self._started_at = now
