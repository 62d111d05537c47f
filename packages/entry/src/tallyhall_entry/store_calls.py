"""How often a fleet called its store, out of the log lines of all."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec
from tallyhall_core.events import Event

from .explain import read_line


class StoreCalls(msgspec.Struct, frozen=True):
    """The calls of all instances.

    counts: numbers by kind, cause and outcome, joined by slashes. instances:
    how many there were. lasted_s: time between the first and the last line.
    """

    counts: Mapping[str, int]
    instances: int
    lasted_s: float

    def per_second(self, count: int) -> float:
        """Return how many these are in a second of one instance."""
        return count / max(1, self.instances) / max(1, self.lasted_s)


def store_calls(texts: Iterable[str]) -> StoreCalls:
    """Sum up what each start of each instance told last."""
    newest: dict[str, Mapping[str, int]] = {}
    instances: set[str] = set()
    first_at = float('inf')
    last_at: float = 0
    for text in texts:
        line = read_line(text)
        if line is None:
            continue
        instances.add(line.instance)
        first_at = min(first_at, line.at_s)
        last_at = max(last_at, line.at_s)
        if line.event == Event.store_calls.name:
            newest[str(line.fields['incarnation'])] = line.fields['calls']
    total: collections.Counter[str] = collections.Counter()
    for counts in newest.values():
        total.update(counts)
    return StoreCalls(total, len(instances), max(0, last_at - first_at))
