"""Quarantine of parts of prompts that crash upstreams.

A part may crash each upstream that begins to answer a prompt with it, whatever
else the prompt holds, so requests with it need not be alike. An upstream that
terminates charges the parts of all its requests that had no answer yet. A part
is cleared by an answer to a request that was sent after the charge was known.

A charge counts one more than the terminations that were known for the part when
the request was sent. So upstreams that terminate together, for example in a
power failure, count as one. A part with two terminations is held: one request
with it runs as a trial, all others wait for its outcome. From three on it is
quarantined, unless a part that fewer answers hold explains its terminations, or
the service answered nothing between them: then its upstreams crash by
themselves, and trials follow at growing intervals.

A trial of several suspect parts does not tell which is the cause. So parts that
were held have their trials alone at first, and parts that one judgement has
quarantined have one soon.

Times are wall clock seconds since 1970. Nothing in this module does I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

import msgspec

from .part_records import Charge, PartRecord
from .part_usage import PartUsage
from .part_verdicts import (
    PartEnds,
    PartStatus,
    PartVerdict,
    QuarantinedPart,
)

# Number of terminations from which on a part is held, and from which on it is
# quarantined.
HELD_ENDS = 2
_QUARANTINE_ENDS = 3
# Shortest time in seconds from the first termination of a part to its
# quarantine. Within it, answers clear the parts that other requests share.
_MIN_OBSERVATION_S = 1.0
# The observation lasts this many times as long as answers usually take to clear
# a part.
_OBSERVATION_FACTOR = 2.0
# Weight of the newest answer in the mean time that answers take.
_MEAN_WEIGHT = 0.05
# Time in seconds for which a held part that is in use has no trial, as requests
# that run already may clear it.
_IN_FLIGHT_S = 0.3
# Seconds in which a trial that is due runs only with a request without another
# suspect part.
_ALONE_S = 1.0
# Seconds from a quarantine to a trial alone, if another part that was
# quarantined together with it may be the cause.
_RIVAL_TRIAL_S = 3.0
# Seconds from the last termination of a part to its next trial, by their
# number, if the service answered nothing between them.
_UNANSWERED_DELAYS_S = (0, 1.0, 6.0, 36.0, 216.0, 600.0)
# A part is as likely as another to be the cause if answers hold it less than
# this many times as often.
_RARER_FACTOR = 1.5
# Seconds after which a charge is forgotten.
_CHARGE_KEPT_S = 600.0
# Seconds after which a quarantine is not kept in the store any more, if nobody
# asked for the part since its trial was due.
_UNUSED_KEPT_S = 600.0
# Maximum number of parts to remember, and the fraction that is evicted.
_MAX_RECORDS = 1000
_EVICTION_DIVISOR = 4
# Maximum number of explained terminations to remember; late reports of one
# arrive within a second.
_MAX_EXPLAINED = 200
_FREE = PartStatus(PartVerdict.free)


class PartSuspects:
    """The parts that requests held when upstreams terminated recently."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._records: dict[str, PartRecord] = {}
        self._usage = PartUsage()
        # Terminations that a quarantined part explains.
        self._explained: dict[str, None] = {}
        # Mean time from sending a request to the answer that clears its parts,
        # in seconds.
        self._mean_answer_s: float = 0
        # When the newest request was sent that was answered, by service.
        self._answered_sent_at: dict[str, float] = {}

    @property
    def observation_s(self) -> float:
        """Return for how long a part is observed before its quarantine."""
        return max(
            _MIN_OBSERVATION_S, _OBSERVATION_FACTOR * self._mean_answer_s
        )

    def known_ends(self, part: str) -> int:
        """Return how many terminations were ever counted for a part."""
        record = self._records.get(part)
        return 0 if record is None else record.known

    def count(self, part: str) -> int:
        """Return how many terminations count for a part, as none cleared it."""
        record = self._records.get(part)
        return 0 if record is None else record.count()

    def terminated(self, part: str) -> frozenset[str]:
        """Return the upstreams of the terminations that count for a part."""
        record = self._records.get(part)
        return frozenset() if record is None else frozenset(record.active)

    def record_termination(
        self, upstream: str, charged: Collection[PartEnds], now: float
    ) -> tuple[str, ...]:
        """Charge parts with a termination; return those with a new charge.

        The same termination may be reported several times.
        """
        if any(self._is_quarantined(one.part) for one in charged):
            self._explain(upstream)
        changed = tuple(
            one.part for one in charged if self._charge(upstream, one, now)
        )
        return tuple(dict.fromkeys(changed))

    def record_answered(
        self, sent: Collection[PartEnds], answer_s: float, now: float
    ) -> tuple[PartEnds, ...]:
        """Record an answer to a request; return what to broadcast.

        sent: its parts with the terminations that were known when it was sent.
        answer_s: time since then, in seconds.
        """
        self._mean_answer_s += _MEAN_WEIGHT * (answer_s - self._mean_answer_s)
        for one in sent:
            self._usage.record(one.part, now)
            self._answered_sent_at[_service(one.part)] = now - answer_s
        suspects = [each for each in sent if self._is_suspect(each.part)]
        return tuple(filter(self.record_cleared, suspects))

    def record_cleared(self, sent: PartEnds) -> bool:
        """Clear a part up to a count; return whether this changed anything."""
        record = self._records.get(sent.part)
        if record is None or sent.ends <= record.cleared:
            return False
        record.cleared = sent.ends
        return True

    def record_quarantine(
        self, quarantine: QuarantinedPart, now: float
    ) -> bool:
        """Record a verdict of any instance; return whether it is news."""
        judged_at = quarantine.at_s
        # A sender whose clock is ahead must not extend the quarantine.
        at_s = min(quarantine.at_s, now)
        quarantine = msgspec.structs.replace(quarantine, at_s=at_s)
        record = self._record(quarantine.part)
        record.known = max(record.known, quarantine.ends)
        known = record.quarantine
        if known is not None and _rank(known) >= _rank(quarantine):
            return False
        record.quarantine = quarantine
        self._note_verdict(record, judged_at)
        self._explain_ends_of(quarantine.part)
        return True

    def quarantined(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Return the quarantines in force, but for parts that fell out of use.

        No request asked for a trial of these.
        """
        verdicts = (
            record.quarantine
            for record in self._records.values()
            if record.is_quarantined
        )
        return tuple(
            verdict
            for verdict in verdicts
            if verdict is not None and now < verdict.trial_at + _UNUSED_KEPT_S
        )

    def status(self, part: str, now: float) -> PartStatus:
        """Return whether a request with a part may run."""
        record = self._records.get(part)
        if record is None:
            return _FREE
        if record.quarantine is not None and record.is_quarantined:
            return _quarantined_status(record, record.quarantine, now)
        if not self._is_suspected(part, HELD_ENDS, now):
            return _FREE
        if not record.follows_answer:
            return _trial_status(_unanswered_trial_at(record), now)
        if record.count() >= _QUARANTINE_ENDS:
            return PartStatus(PartVerdict.held, self.observation_s)
        wait_s = record.newest_at + _IN_FLIGHT_S - now
        if wait_s > 0 and self._usage.count(part, now):
            return PartStatus(PartVerdict.held, wait_s)
        return _trial_status(record.newest_at, now)

    def judge(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Quarantine the parts that must be the cause; return them."""
        verdicts = tuple(
            self._next_verdict(part, now)
            for part in self._records
            if self._is_convicted(part, now)
        )
        for verdict in verdicts:
            self._records[verdict.part].quarantine = verdict
        for cause in verdicts:
            self._note_verdict(self._records[cause.part], now)
            self._explain_ends_of(cause.part)
        return verdicts

    # -- implementation

    def _charge(self, upstream: str, charged: PartEnds, now: float) -> bool:
        record = self._record(charged.part)
        record.known = max(record.known, charged.ends)
        if upstream in self._explained and not record.is_quarantined:
            return False
        known = record.charges.get(upstream)
        if known is not None and known.ends >= charged.ends:
            return False
        at_s = now if known is None else known.at_s
        answered_at = self._answered_sent_at.get(
            _service(charged.part), float('-inf')
        )
        record.charges[upstream] = Charge(
            charged.ends, at_s, answered_at >= record.oldest_at
        )
        return True

    def _next_verdict(self, part: str, now: float) -> QuarantinedPart:
        """Return the verdict on a part, after a failed trial if it had one."""
        record = self._records[part]
        trials = 0
        if record.quarantine is not None and record.is_quarantined:
            # A trial against a rival does not make the next one later.
            is_due = now >= record.quarantine.trial_at
            trials = record.quarantine.failed_trials + is_due
        return QuarantinedPart(part, record.known, trials, now)

    def _explain_ends_of(self, part: str) -> None:
        for upstream in self._records[part].active:
            self._explain(upstream)

    def _explain(self, upstream: str) -> None:
        """Remove the charges of a termination whose cause is known."""
        self._explained[upstream] = None
        while len(self._explained) > _MAX_EXPLAINED:
            self._explained.pop(next(iter(self._explained)))
        for record in self._records.values():
            if not record.is_quarantined:
                record.charges.pop(upstream, None)

    def _is_quarantined(self, part: str) -> bool:
        record = self._records.get(part)
        return record is not None and record.is_quarantined

    def _is_suspect(self, part: str) -> bool:
        record = self._records.get(part)
        if record is None:
            return False
        return bool(record.active) or record.is_quarantined

    def _note_verdict(self, record: PartRecord, judged_at: float) -> None:
        """Note which parts one judgement has quarantined together."""
        record.judged_at = judged_at
        together = [
            other
            for other in self._records.values()
            if other.is_quarantined and other.judged_at == judged_at
        ]
        for one in together:
            one.has_rival = len(together) > 1

    def _is_convicted(self, part: str, now: float) -> bool:
        """Return whether a part must be the cause of its terminations."""
        record = self._records[part]
        if record.quarantine is not None and record.is_quarantined:
            # Requests that were sent before the quarantine may still crash
            # upstreams; those sent since were trials.
            return record.known > record.quarantine.ends
        if now - record.oldest_at < self.observation_s:
            return False
        if not record.follows_answer:
            return False
        return self._is_suspected(part, _QUARANTINE_ENDS, now)

    def _is_suspected(self, part: str, ends: int, now: float) -> bool:
        """Return whether so many terminations of a part have no other cause."""
        record = self._records[part]
        record.forget(now - _CHARGE_KEPT_S)
        if record.count() < ends:
            return False
        return record.count(self._explained_otherwise(part, now)) >= ends

    def _explained_otherwise(self, part: str, now: float) -> set[str]:
        """Return the upstreams that likelier parts than this one crashed."""
        explained: set[str] = set()
        for other in self._held():
            if other != part and self._is_likelier(other, part, now):
                explained.update(self._records[other].active)
        return explained

    def _held(self) -> Iterator[str]:
        for part, record in self._records.items():
            if not record.is_quarantined and record.count() >= HELD_ENDS:
                yield part

    def _is_likelier(self, part: str, other: str, now: float) -> bool:
        """Return whether a part is a likelier cause than another one.

        The rarer part is, or of parts that are about as rare the one with more
        terminations.
        """
        count = self._usage.count(part, now)
        other_count = self._usage.count(other, now)
        if count * _RARER_FACTOR < other_count:
            return True
        if other_count * _RARER_FACTOR < count:
            return False
        return len(self._records[part].active) > len(
            self._records[other].active
        )

    def _record(self, part: str) -> PartRecord:
        record = self._records.get(part)
        if record is None:
            if len(self._records) >= _MAX_RECORDS:
                self._evict()
            record = PartRecord()
            self._records[part] = record
        return record

    def _evict(self) -> None:
        """Evict a quarter of the records: fewest terminations, then oldest."""
        ranked = sorted(
            self._records,
            key=lambda part: _eviction_order(self._records[part]),
        )
        for part in ranked[: len(ranked) // _EVICTION_DIVISOR]:
            self._records.pop(part)


def _unanswered_trial_at(record: PartRecord) -> float:
    """Return when a trial may run if the service answered nothing between."""
    last = len(_UNANSWERED_DELAYS_S) - 1
    delay_s = _UNANSWERED_DELAYS_S[min(record.count() - HELD_ENDS, last)]
    return record.newest_at + delay_s


def _quarantined_status(
    record: PartRecord, quarantine: QuarantinedPart, now: float
) -> PartStatus:
    status = _trial_status(quarantine.trial_at, now)
    if not status.wait_s or not record.has_rival:
        return status
    sooner = _trial_status(quarantine.at_s + _RIVAL_TRIAL_S, now)
    if sooner.verdict is PartVerdict.trial:
        return PartStatus(PartVerdict.trial, status.wait_s, alone=True)
    return sooner


def _trial_status(trial_at: float, now: float) -> PartStatus:
    wait_s = trial_at - now
    if wait_s > 0:
        return PartStatus(PartVerdict.quarantined, wait_s)
    return PartStatus(PartVerdict.trial, alone=now < trial_at + _ALONE_S)


def _service(part: str) -> str:
    return part.rpartition('/')[0]


def _rank(quarantine: QuarantinedPart) -> tuple[int, int]:
    return quarantine.ends, quarantine.failed_trials


def _eviction_order(record: PartRecord) -> tuple[bool, int, float]:
    return record.is_quarantined, record.count(), record.newest_at
