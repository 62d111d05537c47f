"""Which requests were late or not served, and why, out of log lines alone.

Each has exactly one cause. Of an answer that was late by its first byte it is
the longest part of the way there; one that began in time was late by a pause.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.refusals import Reason

from .explain import Line, read_line
from .quota_uses import QuotaUses

# An instance that has written nothing for this long before the end of all
# lines is taken as lost with what it had under way, in seconds: it tells of its
# knowledge of the others more often.
_SILENT_S = 3.0
_Key = TypeVar('_Key')
# The counts of a line that tells of dropped ones.
_DROPPED = ('served', 'others', 'unread')
# What a request may not have, however much is free.
_NOT_ALLOWED = frozenset(
    reason.value
    for reason in (
        Reason.bad_request,
        Reason.unknown_key,
        Reason.unknown_route,
        Reason.rate_limited,
    )
)


@enum.unique
class Cause(enum.Enum):
    """Why a request was late or not served; the text is for operators."""

    came_back = 'its caller came back late'
    waited = 'it waited for a place'
    resent = 'it was sent again'
    unforeseen = 'its first event came later than foreseen'
    foreseen = 'its first event came late as foreseen'
    paused = 'a pause was too long'
    refused = 'it was refused'
    refused_again = 'it came back and was refused'
    quota_left = 'it was refused for a quota of which enough was left'
    not_allowed = 'it was not allowed'
    failed = 'upstreams failed it'
    caller_left = 'its caller left'
    instance_lost = 'its instance was lost'
    unreached = 'it reached no instance'


class Loss(msgspec.Struct, frozen=True):
    """One request that was late or not served.

    at_s: when it came, in seconds from the first line. reason: how it ended.
    """

    request: str
    at_s: float
    route: str
    cause: Cause
    reason: str


class Losses(msgspec.Struct, frozen=True):
    """All that was lost.

    seen: requests of which the lines tell. open: of them, those under way at
    the end. dropped: lines that instances could not write, as they say.
    """

    lost: tuple[Loss, ...]
    seen: int
    open: int
    dropped: int

    def table(
        self,
        weights: Mapping[str, float],
    ) -> dict[str, dict[Cause, float]]:
        """Return what was lost by route and cause, a request's weight each."""
        return self._summed(weights, lambda loss: loss.route)

    def by_second(
        self,
        weights: Mapping[str, float],
    ) -> dict[int, dict[Cause, float]]:
        """Return the same by the second in which requests came."""
        return self._summed(weights, lambda loss: int(loss.at_s))

    def _summed(
        self,
        weights: Mapping[str, float],
        key: Callable[[Loss], _Key],
    ) -> dict[_Key, dict[Cause, float]]:
        rows: dict[_Key, dict[Cause, float]] = {}
        for loss in self.lost:
            row = rows.setdefault(key(loss), collections.defaultdict(float))
            row[loss.cause] += weights.get(loss.route, 1)
        return rows


def losses(texts: Iterable[str], callers: Iterable[str] = ()) -> Losses:
    """Return what the lines tell.

    callers: ids of all requests as their callers know them, so that those are
    found which no instance tells of.
    """
    journal = _read(texts)
    for refusal in journal.refusals:
        request = str(refusal.fields['request'])
        journal.uses.given_back(request, refusal.at_s)
    lost: list[Loss] = []
    unfinished = 0
    for request, lines in journal.by_request.items():
        lines.sort(key=_time)
        loss = _loss(request, lines, journal)
        if loss is not None:
            lost.append(loss)
        elif not _has_ended(lines):
            unfinished += 1
    for request in set(callers) - journal.by_request.keys():
        lost.append(Loss(request, 0, '', Cause.unreached, ''))
    lost.sort(key=lambda loss: (loss.at_s, loss.request))
    seen = len(journal.by_request)
    return Losses(tuple(lost), seen, unfinished, journal.dropped)


class _Journal:
    """Lines by request, and when each instance wrote."""

    def __init__(self) -> None:
        self.by_request: dict[str, list[Line]] = {}
        self.starts: dict[str, list[float]] = {}
        self.newest: dict[str, float] = {}
        self.uses = QuotaUses()
        self.first_at = float('inf')
        self.last_at: float = 0
        self.refusals: list[Line] = []
        # What each start of an instance has told last: counts since then.
        self._dropped: dict[tuple[str, int], int] = {}

    def take(self, line: Line) -> None:
        at = line.at_s
        self.first_at = min(self.first_at, at)
        self.last_at = max(self.last_at, at)
        instance = line.instance
        self.newest[instance] = max(at, self.newest.get(instance, 0))
        if line.event == Event.started.name:
            self.starts.setdefault(instance, []).append(at)
        if line.event == Event.logs_dropped.name:
            start = len(self.starts.get(instance, ()))
            self._dropped[instance, start] = sum(
                int(line.fields.get(kind, 0)) for kind in _DROPPED
            )
        request = line.fields.get('request')
        if request:
            self.by_request.setdefault(str(request), []).append(line)
        if 'charged' in line.fields:
            self.uses.charged(
                str(request),
                str(line.fields['workspace']),
                at,
                _number(line.fields, 'charged'),
            )
        if line.event == Event.refused.name:
            self.refusals.append(line)

    @property
    def dropped(self) -> int:
        """Return how many lines all starts of all instances dropped."""
        return sum(self._dropped.values())

    def is_lost(self, line: Line) -> bool:
        """Return whether the instance of a line ended after it."""
        at = line.at_s
        if any(started > at for started in self.starts.get(line.instance, ())):
            return True
        return self.last_at - self.newest[line.instance] > _SILENT_S


def _read(texts: Iterable[str]) -> _Journal:
    journal = _Journal()
    for text in texts:
        line = read_line(text)
        if line is not None:
            journal.take(line)
    return journal


def _loss(
    request: str,
    lines: list[Line],
    journal: _Journal,
) -> Loss | None:
    found = _found(lines, journal)
    if found is None:
        return None
    cause, reason = found
    at_s = lines[0].at_s - journal.first_at
    return Loss(request, at_s, _route(lines), cause, reason)


def _found(
    lines: list[Line],
    journal: _Journal,
) -> tuple[Cause, str] | None:
    """Return the cause and how it ended; None if served or under way."""
    finished = _last(lines, Event.finished)
    if finished is not None:
        outcome = str(finished.fields['outcome'])
        if outcome == 'answered':
            return _late_cause(finished.fields)
        return _unserved_cause(outcome, finished.fields), outcome
    refused = _last(lines, Event.refused)
    if refused is not None:
        reason = str(refused.fields['reason'])
        if _has_quota(refused, journal.uses):
            return Cause.quota_left, reason
        return _unserved_cause(reason, refused.fields), reason
    if journal.is_lost(lines[-1]):
        return Cause.instance_lost, ''
    return None


def _late_cause(fields: Mapping[str, object]) -> tuple[Cause, str] | None:
    if 'late_ms' not in fields:
        return None
    if not fields['late_ms']:
        resumed = fields.get('is_resumed')
        return (Cause.resent if resumed else Cause.paused), 'late'
    first_ms = _number(fields, 'first_ms')
    foreseen_ms = min(first_ms, _number(fields, 'forecast_ms'))
    parts = {
        Cause.came_back: _number(fields, 'since_first_ms'),
        Cause.waited: _number(fields, 'waited_ms'),
        Cause.resent: _number(fields, 'resent_ms'),
        Cause.unforeseen: first_ms - foreseen_ms,
        Cause.foreseen: foreseen_ms,
    }
    return max(parts, key=lambda cause: parts[cause]), 'late'


def _unserved_cause(reason: str, fields: Mapping[str, object]) -> Cause:
    if reason in _NOT_ALLOWED:
        return Cause.not_allowed
    if reason == 'caller_left':
        return Cause.caller_left
    if _number(fields, 'may_have_run') or reason in {
        Reason.upstream_full.value,
        Reason.no_upstream.value,
    }:
        return Cause.failed
    if _number(fields, 'since_first_ms'):
        return Cause.refused_again
    return Cause.refused


def _has_quota(refused: Line, uses: QuotaUses) -> bool:
    """Return whether a request would have fitted into its quota."""
    fields = refused.fields
    if 'quota' not in fields:
        return False
    used = uses.used(
        str(fields['workspace']),
        refused.at_s,
        _number(fields, 'window_s'),
    )
    return used + _number(fields, 'asked') <= _number(fields, 'quota')


def _has_ended(lines: list[Line]) -> bool:
    ends = {Event.finished.name, Event.refused.name}
    return any(line.event in ends for line in lines)


def _route(lines: list[Line]) -> str:
    for line in lines:
        route = line.fields.get('route')
        if route:
            return str(route)
    return ''


def _last(lines: list[Line], event: Event) -> Line | None:
    for line in reversed(lines):
        if line.event == event.name:
            return line
    return None


def _number(fields: Mapping[str, object], name: str) -> float:
    found = fields.get(name)
    return float(found) if isinstance(found, int | float) else 0


def _time(line: Line) -> str:
    return line.time
