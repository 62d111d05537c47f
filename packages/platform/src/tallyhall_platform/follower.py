"""Follows the store: the desired state, upstreams and other instances.

One watch over all keys returns every change. Each answer, even an empty one,
also confirms that the known desired state was current when the watch started.

In a large fleet only a few instances, the relays, watch the store. Changes
are constant there, and each would end a watch of every instance: 1.5 calls a
second by each of 195. The other instances, the subscribers, get changes from
the relays (change_history.py) and read the store themselves only if these are
late, each after a random delay.
"""

from __future__ import annotations

import asyncio
import enum
import random

from tallyhall_core.events import Event

from .call_counts import CallCause
from .errors import (
    HistoryCompactedError,
    StoreError,
    StoreLimitedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .outage import OutageTracker
from .store import StoreClient
from .view import Listener, Log, StoreView

# A watch confirms the state as of its start, so a longer one makes
# confirmations older, while a shorter one costs more calls, which are billed.
_WATCH_S = 1.0
# A relay's watch lasts this share of `change_s`, up to a maximum in seconds,
# as its subscribers learn of changes later than the relay itself.
_RELAY_WATCH_SHARE = 0.15
_MAX_RELAY_WATCH_S = 0.6
# Part of `contact_s` that a watch must leave free. A watch that gets no answer
# is given up within 0.6 s of its end, and the rest is for the call that
# replaces it; the time for which its connection was idle before counts as
# well. A watch shorter than the minimum costs more than it gains, as no call
# times out in less than a second.
_LOST_WATCH_ALLOWANCE_S = 0.9
_MIN_WATCH_S = 0.3
# Pause between two watches, so that changes in quick succession, such as those
# of a rolling restart, share one call.
_WATCH_PAUSE_S = 0.35
# Interval at which a subscriber asks a relay, as a share of `change_s` and at
# most in seconds: a change, one lost request and its repetition fit into that
# time.
_POLL_SHARE = 0.2
_MAX_POLL_S = 0.8
# Allowance for the relay's answers and for timers that fire late under load
# when it is decided that the relays are late.
_RELAY_LATENCY_S = 0.3
# Longest random delay before a subscriber reads the store itself because the
# relays are late: 195 instances then make 650 calls a second instead of all
# calls at once.
_JITTER_S = 0.3
# Interval at which a subscriber checks whether the relays are late.
_CHECK_INTERVAL_S = 0.1
# Shortest and longest pause after failed calls, in seconds.
_MIN_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 0.8
# A store that does not answer is called again this long after the start of the
# last call. A return that is noticed late leaves expired entries less time to
# be written again: contact-ms minus this delay.
_OUTAGE_POLL_S = 0.65
# The first watch after a failed call waits only this long, so that the return
# of the store is noticed before the next change; it costs one call more.
_PROBE_WAIT_S = 0.01


@enum.unique
class Role(enum.Enum):
    """How an instance learns of changes in the store.

    solo: it watches the store for itself. relay: it watches the store and
    passes changes on to subscribers. subscriber: it gets changes from relays.
    """

    solo = 'solo'
    relay = 'relay'
    subscriber = 'subscriber'


class Follower:
    """Keeps a view up to date with the store."""

    def __init__(
        self,
        client: StoreClient,
        listener: Listener,
        log: Log,
        rng: random.Random,
        outages: OutageTracker,
        change_s: float,
    ) -> None:
        """Follow through `client`, which must not be shared.

        change_s: how long a change may take to be applied.
        """
        self.view = StoreView(listener, log, outages, change_s)
        self.role = Role.solo
        self._client = client
        self._listener = listener
        self._log = log
        self._rng = rng
        self._outages = outages
        self._loop = asyncio.get_running_loop()
        self._reachable = False
        self._failures = 0
        self._jitter_s = rng.uniform(0, _JITTER_S)

    @property
    def poll_interval_s(self) -> float:
        """Return the interval at which a subscriber asks for changes."""
        return min(_MAX_POLL_S, _POLL_SHARE * self.view.change_s)

    @property
    def max_relay_age_s(self) -> float:
        """Return the age of a subscriber's view at which the relays are late.

        A watch confirms, when it ends, the state as of its start. Just
        before, the newest confirmation is two watches and a pause old.
        """
        watches_s = 2 * self._relay_watch_s()
        return (
            watches_s + _WATCH_PAUSE_S + self.poll_interval_s + _RELAY_LATENCY_S
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            await self._follow()
        finally:
            self.view.stop()

    async def _follow(self) -> None:
        while True:
            relays_are_late = await self._wait_while_relayed()
            asked_at = self._loop.time()
            try:
                await self._step(asked_at, relays_are_late=relays_are_late)
                pause_s = _WATCH_PAUSE_S
            except HistoryCompactedError:
                self._on_answer()
                self.view.cursor = None
                pause_s = _WATCH_PAUSE_S
            except StoreError as exc:
                pause_s = self._on_failure(exc, asked_at)
            await asyncio.sleep(pause_s)
            if pause_s > _WATCH_PAUSE_S:
                # The connection may have broken unnoticed in a long pause.
                self._client.close()

    async def _wait_while_relayed(self) -> bool:
        """Wait while relays send changes; return whether they became late."""
        has_waited = False
        while self.role is Role.subscriber and self.view.cursor is not None:
            due_at = (
                self.view.complete_as_of + self.max_relay_age_s + self._jitter_s
            )
            if self._loop.time() >= due_at:
                self._jitter_s = self._rng.uniform(0, _JITTER_S)
                return True
            if not has_waited:
                has_waited = True
                self._client.close()
            await asyncio.sleep(_CHECK_INTERVAL_S)
        return False

    async def _step(self, asked_at: float, *, relays_are_late: bool) -> None:
        cursor = self.view.cursor
        self._client.cause = self._cause(relays_are_late=relays_are_late)
        if cursor is None:
            snapshot = await self._client.snapshot('')
            self._on_answer()
            self.view.apply_snapshot(snapshot, asked_at)
            return
        wait_s = _PROBE_WAIT_S if relays_are_late else self._watch_s()
        answer = await self._client.watch('', cursor, wait_s)
        self._on_answer()
        self.view.apply_changes(answer, asked_at)

    def _cause(self, *, relays_are_late: bool) -> CallCause:
        if self._failures:
            return CallCause.retry
        if self.view.cursor is None:
            return CallCause.start
        return CallCause.untold if relays_are_late else CallCause.steady

    def _watch_s(self) -> float:
        if not self._reachable:
            return _PROBE_WAIT_S
        bound_s = self._outages.contact_s - self._client.idle_s()
        watch_s = _WATCH_S
        if self.role is Role.relay:
            watch_s = self._relay_watch_s()
        longest_s = bound_s - _LOST_WATCH_ALLOWANCE_S
        return max(_MIN_WATCH_S, min(watch_s, longest_s))

    def _relay_watch_s(self) -> float:
        return min(_MAX_RELAY_WATCH_S, _RELAY_WATCH_SHARE * self.view.change_s)

    def _on_answer(self) -> None:
        self._failures = 0
        self._outages.record_answer(self._loop.time())
        if self._reachable:
            return
        self._reachable = True
        self._listener.on_store_reachable(reachable=True)

    def _on_failure(self, exc: StoreError, asked_at: float) -> float:
        now = self._loop.time()
        self._failures += 1
        # A store that only limits calls is not down: upstreams keep their
        # entries.
        if isinstance(exc, StoreLimitedError):
            self._outages.record_store_alive(now)
        else:
            self._outages.record_failure(
                min(asked_at, self._client.last_worked_at)
            )
        if self._reachable and isinstance(exc, StoreUnavailableError):
            self._reachable = False
            self._listener.on_store_reachable(reachable=False)
        self._log(Event.store_call_failed, cause=str(exc))
        longest = min(
            _MAX_RETRY_PAUSE_S,
            _MIN_RETRY_PAUSE_S * 2**self._failures,
        )
        if not isinstance(exc, StoreRefusedError):
            left_s = _OUTAGE_POLL_S - (now - asked_at)
            longest = min(longest, max(_MIN_RETRY_PAUSE_S, left_s))
        pause_s = self._rng.uniform(_MIN_RETRY_PAUSE_S, longest)
        if self.role is Role.subscriber:
            # Subscribers learn of the return from the relays, so they retry
            # less often.
            return pause_s + self._rng.uniform(0, _MAX_RETRY_PAUSE_S)
        return pause_s
