"""Decides whether removals read after a store outage must be held.

While the store itself is down, the entries of live upstreams expire; they are
written again within two seconds of its return. If only this instance lost its
connection to the store, a removal is final. A failed call does not tell the
two cases apart. They differ in how long no instance got an answer, and the
operators set a limit, `contact_s`: this long after the connection works again
a removal must be applied in any case.

Nothing here does I/O; times are arguments, in seconds of one monotonic clock.
"""

from __future__ import annotations

# An entry expires after three heartbeat intervals and is at most about one
# interval old when the store goes down, so it survives an outage of two; a
# tenth less, since upstreams keep the interval only roughly.
_EXPIRY_HEARTBEATS = 1.8
# Entries that expired during an outage are written again within about two
# seconds of its end; the rest is for the call that reads them.
_REREGISTER_S = 2.2
# Subtracted from `contact_s` for timers that fire late under load and for
# requests that are granted already but have not reached their upstream.
_MARGIN_S = 0.2
# A single failed call may be due to a broken connection; the next call opens
# a new one.
_OUTAGE_FAILURES = 2


class OutageTracker:
    """Tracks store outages, and how long removals are held after one."""

    def __init__(self, heartbeat_s: float, contact_s: float) -> None:
        """Create the state of an instance that has had no answer yet.

        heartbeat_s: the interval at which upstreams write their entries.
        contact_s: how long a removal may be held at most once the
        connection to the store works again.
        """
        self.heartbeat_s = heartbeat_s
        self.contact_s = contact_s
        self.hold_until = float('-inf')
        self._last_answer_at: float | None = None
        self._entries_may_have_expired = False
        self._failures = 0
        self._last_worked_at = float('-inf')

    def record_store_alive(self, at: float) -> None:
        """Record that the store answered this or another instance."""
        if self._last_answer_at is None:
            self._last_answer_at = at
        if at <= self._last_answer_at:
            return
        expiry_s = _EXPIRY_HEARTBEATS * self.heartbeat_s
        if at - self._last_answer_at >= expiry_s:
            self._entries_may_have_expired = True
        self._last_answer_at = at

    def record_failure(self, worked_at: float) -> None:
        """Record that a call of this instance failed.

        worked_at: when its connection last worked or was opened, at the
        latest the start of the call. A call on a kept-alive connection may
        fail although new connections have worked since then.
        """
        if worked_at >= self.hold_until:
            self.hold_until = float('-inf')
        self._failures += 1
        self._last_worked_at = worked_at

    def record_answer(self, now: float) -> None:
        """Record that a call of this instance was answered."""
        self.record_store_alive(now)
        resume_hold = (
            self._failures >= _OUTAGE_FAILURES and self._was_holding_removals()
        )
        if self._failures and (self._entries_may_have_expired or resume_hold):
            # The outage ended no earlier than the last failed call's
            # connection last worked, however late the end is noticed.
            contact_at = self._last_worked_at + self.contact_s - _MARGIN_S
            self.hold_until = min(now + _REREGISTER_S, contact_at)
        self._entries_may_have_expired = False
        self._failures = 0

    def holds_removals(self, now: float) -> bool:
        """Return whether a removal read now must be held."""
        if self._failures >= _OUTAGE_FAILURES:
            return self._was_holding_removals()
        return now < self.hold_until

    def _was_holding_removals(self) -> bool:
        # If removals were still held when the next outage began, they stay
        # held: expired entries have had no time to be written again.
        return self.hold_until > float('-inf')
