"""Load reports that wait to be sent to the owners of their services.

Load condition: callers of one instance may receive many more responses per
second than the average instance, and an upstream may put a report into each of
them. Reports are therefore limited in bytes per second. An owner needs the
newest report of each upstream, so a newer one replaces one that still waits.
"""

from __future__ import annotations

import msgspec

from .load_reports import LoadReport
from .topology import MAX_BEAT_S

# Upper bound of the size of a report without the upstream's name: tags, lengths
# and numbers of up to 16,383.
_FIXED_BYTES = 24
# Bytes per second of all instances together, enough for a report in each of
# 5,000 responses per second with upstream names of 24 characters.
_FLEET_BYTES_PER_S = 240_000
# Maximum bytes per second of one instance in a small fleet, less than half of
# the 10 KB/s that an instance may spend on all control messages.
_MAX_BYTES_PER_S = 4000
# Capacity in seconds at the rate: in any second, an instance sends at most 1.5
# times its rate, which stays below 1 KB/s in a fleet of 410 instances.
_CAPACITY_S = 0.5
# Reports that wait for longer are discarded. Batches are sent at least once
# per heartbeat, so the stream to the owner has then failed or the limit was
# exceeded.
_MAX_WAIT_S = 2 * MAX_BEAT_S


class UnsentLoad(msgspec.Struct, frozen=True):
    """A report of an upstream that was received at a time."""

    incarnation: str
    owner: str
    report: LoadReport
    received_at: float


class UnsentLoads:
    """The newest unsent report of each upstream, in fair order.

    An upstream keeps its position in the queue when its report is replaced, so
    that one that responds often does not displace the others.
    """

    def __init__(self, now: float) -> None:
        """Start without reports and with a full byte budget."""
        # Number of reports that were discarded unsent.
        self.discarded = 0
        self._waiting: dict[str, UnsentLoad] = {}
        self._budget_bytes: float = _MAX_BYTES_PER_S * _CAPACITY_S
        self._refilled_at = now

    def add(self, load: UnsentLoad) -> None:
        """Queue a report; it replaces an earlier one of its upstream."""
        self._waiting[load.incarnation] = load

    def discard(self, incarnation: str) -> None:
        """Discard the report of an upstream whose service is scheduled here."""
        self._waiting.pop(incarnation, None)

    def take(self, owner: str, instances: int, now: float) -> list[UnsentLoad]:
        """Remove and return the reports that may be sent to an owner now.

        instances: number of instances that share the fleet's byte budget.
        """
        if not self._waiting:
            return []
        self._discard_old(now)
        self._refill(instances, now)
        taken = []
        for load in tuple(self._waiting.values()):
            if load.owner != owner:
                continue
            size = _FIXED_BYTES + len(load.incarnation.encode())
            if size > self._budget_bytes:
                break
            self._budget_bytes -= size
            taken.append(self._waiting.pop(load.incarnation))
        return taken

    def _discard_old(self, now: float) -> None:
        for load in tuple(self._waiting.values()):
            if now - load.received_at > _MAX_WAIT_S:
                self._waiting.pop(load.incarnation)
                self.discarded += 1

    def _refill(self, instances: int, now: float) -> None:
        rate = min(_MAX_BYTES_PER_S, _FLEET_BYTES_PER_S / instances)
        earned = max(0, now - self._refilled_at) * rate
        self._refilled_at = now
        self._budget_bytes = min(
            self._budget_bytes + earned, rate * _CAPACITY_S
        )
