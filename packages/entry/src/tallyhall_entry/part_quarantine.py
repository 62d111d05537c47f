"""Quarantine of parts of prompts, as known to this instance.

All instances hear of the same terminations and answers, so most come to the
same verdicts. Those that had requests at the upstreams also broadcast them, and
so do hubs, which do not forward what they know already. The store keeps them
for instances that start later; whoever finds one not stored lately writes it
again.
"""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Callable, Collection, Iterable

from tallyhall_core.events import Event
from tallyhall_core.part_suspects import HELD_ENDS, PartSuspects
from tallyhall_core.part_verdicts import PartEnds, PartStatus, QuarantinedPart
from tallyhall_core.suspects import UpstreamTermination
from tallyhall_platform.end_records import EndRecorder, EndRecords

from .logs import EventLog

# Time in seconds within which all instances that had requests at an upstream
# report its termination.
_REPORTS_S = 0.05
# Delays in seconds before a verdict of another instance is written, unless the
# store has it by then, and before one is written again.
_STORE_DELAY_RANGE_S = (1.0, 4.0)
_STORE_AGAIN_RANGE_S = (240.0, 360.0)
_STORE_CHECK_S = 1.0
# Maximum number of terminated upstreams to remember.
_MAX_OWN_UPSTREAMS = 200


class PartQuarantine:
    """Collects evidence on parts, judges them and keeps verdicts stored."""

    def __init__(
        self,
        recorder: EndRecorder,
        log: EventLog,
        wall_clock: Callable[[], float],
        broadcast: Callable[[EndRecords], None],
        is_relay: Callable[[], bool],
    ) -> None:
        """Write to `recorder`, and broadcast verdicts of this instance.

        is_relay: returns whether this instance is a hub.
        """
        self._is_relay = is_relay
        self._recorder = recorder
        self._log = log
        self._wall_clock = wall_clock
        self._broadcast = broadcast
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._suspects = PartSuspects()
        # Upstreams at which this instance had requests when they terminated.
        self._own_upstreams: collections.deque[str] = collections.deque(
            maxlen=_MAX_OWN_UPSTREAMS
        )
        # When the verdict on a part is to be stored, by the loop's clock.
        self._store_at: dict[str, float] = {}

    async def run(self) -> None:
        """Keep verdicts in the store until cancelled."""
        while True:
            await asyncio.sleep(_STORE_CHECK_S)
            self._store_due()

    def known_ends(self, parts: Iterable[str]) -> tuple[PartEnds, ...]:
        """Return the terminations that are known for each part."""
        return tuple(
            PartEnds(part, self._suspects.known_ends(part)) for part in parts
        )

    def status(self, part: str) -> PartStatus:
        """Return whether a request with a part may run."""
        return self._suspects.status(part, self._wall_clock())

    def record_answered(
        self, parts: Collection[PartEnds], answer_s: float
    ) -> EndRecords:
        """Record an answer of this instance; return what to broadcast.

        parts: with the terminations known when the request was sent. answer_s:
        the time since then.
        """
        cleared = self._suspects.record_answered(
            parts, answer_s, self._wall_clock()
        )
        for part in cleared:
            self._log_cleared(part, 'own')
        records = EndRecords((), (), cleared_parts=cleared)
        if any(told.part in self._store_at for told in cleared):
            self._recorder.record(records)
        return records

    def record_termination(
        self, end: UpstreamTermination, by: str
    ) -> tuple[str, ...]:
        """Record a termination; return the parts with a new charge.

        by: the instance that reported it, 'own' for this one.
        """
        charged = [part for run in end.runs for part in run.parts]
        if not charged:
            return ()
        if by == 'own':
            self._own_upstreams.append(end.upstream)
        now = self._wall_clock()
        changed = self._suspects.record_termination(end.upstream, charged, now)
        self._log_suspected(changed, by)
        for delay_s in (0, self._suspects.observation_s):
            self._loop.call_later(_REPORTS_S + delay_s, self.judge)
        return changed

    def record_told(self, records: EndRecords, by: str) -> EndRecords:
        """Record verdicts and answers told by others; return the news."""
        cleared = tuple(
            part
            for part in records.cleared_parts
            if self._suspects.record_cleared(part)
        )
        for part in cleared:
            self._log_cleared(part, by)
        quarantined = tuple(
            verdict
            for verdict in records.quarantined_parts
            if self._suspects.record_quarantine(verdict, self._wall_clock())
        )
        for verdict in quarantined:
            self._log_quarantined(verdict, by)
            self._schedule_store(verdict.part, _STORE_DELAY_RANGE_S)
        if by == 'store':
            for verdict in records.quarantined_parts:
                self._schedule_store(verdict.part, _STORE_AGAIN_RANGE_S)
        return EndRecords(
            (), (), cleared_parts=cleared, quarantined_parts=quarantined
        )

    def judge(self) -> None:
        """Quarantine the parts that must be the cause of terminations."""
        verdicts = self._suspects.judge(self._wall_clock())
        for verdict in verdicts:
            self._log_quarantined(verdict, 'own')
            self._schedule_store(verdict.part, _STORE_DELAY_RANGE_S)
        own = tuple(one for one in verdicts if self._tells(one.part))
        if not own:
            return
        records = EndRecords((), (), quarantined_parts=own)
        self._broadcast(records)
        self._recorder.record(records)
        for told in own:
            self._schedule_store(told.part, _STORE_AGAIN_RANGE_S)

    # -- implementation

    def _tells(self, part: str) -> bool:
        """Return whether this instance broadcasts its verdict on a part."""
        if self._is_relay():
            return True
        terminated = self._suspects.terminated(part)
        return not terminated.isdisjoint(self._own_upstreams)

    def _schedule_store(
        self, part: str, delay_range_s: tuple[float, float]
    ) -> None:
        delay_s = self._rng.uniform(*delay_range_s)
        self._store_at[part] = self._loop.time() + delay_s

    def _store_due(self) -> None:
        now = self._loop.time()
        in_force = {
            verdict.part: verdict
            for verdict in self._suspects.quarantined(self._wall_clock())
        }
        for part, at in tuple(self._store_at.items()):
            if part not in in_force:
                self._store_at.pop(part)
                continue
            if at <= now:
                verdict = in_force[part]
                self._recorder.record(
                    EndRecords((), (), quarantined_parts=(verdict,))
                )
                self._schedule_store(part, _STORE_AGAIN_RANGE_S)

    def _log_suspected(self, parts: Collection[str], by: str) -> None:
        for part in parts:
            ends = self._suspects.count(part)
            if ends >= HELD_ENDS:
                self._log.event(
                    Event.part_suspected, part=part, ends=ends, by=by
                )

    def _log_cleared(self, cleared: PartEnds, by: str) -> None:
        if cleared.ends >= HELD_ENDS:
            self._log.event(
                Event.part_suspected, part=cleared.part, ends=0, by=by
            )

    def _log_quarantined(self, verdict: QuarantinedPart, by: str) -> None:
        self._log.event(
            Event.part_quarantined,
            part=verdict.part,
            ends=verdict.ends,
            failed_trials=verdict.failed_trials,
            trial_in_s=round(verdict.trial_at - self._wall_clock(), 1),
            by=by,
        )
