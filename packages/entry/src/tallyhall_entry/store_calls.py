"""Computes a fleet's rate of store calls from its log lines."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec
from tallyhall_core.events import Event

from .explain import read_line


class StoreCalls(msgspec.Struct, frozen=True):
    """The store calls of all instances.

    counts: number of calls by kind, cause and outcome, joined by slashes.
    instances: number of instances. lasted_s: time between the first and the
    last line.
    """

    counts: Mapping[str, int]
    instances: int
    lasted_s: float

    def per_second(self, count: int) -> float:
        """Return a count as a rate per second and instance."""
        return count / max(1, self.instances) / max(1, self.lasted_s)


def store_calls(texts: Iterable[str]) -> StoreCalls:
    """Sum the latest counts of each run of each instance."""
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
