"""Finds late and unserved requests and their causes in log lines.

Each such request has exactly one cause. If the first byte was late, the cause
is the longest phase before it; if the first byte was on time, the cause is a
pause within the response.
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
from .quota_uses import ActualQuotaUse

# An instance whose last line is this much older than the newest line of all is
# considered lost together with its running requests, in seconds. A live one
# logs its view of the fleet more often.
_LOST_AFTER_S = 3.0
_Key = TypeVar('_Key')
# Fields of a logs_dropped event that count lines.
_DROPPED_FIELDS = ('served', 'others', 'unread')
# Reasons that apply regardless of free capacity.
_NOT_ALLOWED_REASONS = frozenset(
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
    """Why a request was late or not served; the values are for operators."""

    came_back = 'its client retried late'
    waited = 'it waited for a free slot'
    resent = 'it was retried by its instance'
    unforeseen = 'its first event came later than predicted'
    foreseen = 'its first event came late, as predicted'
    paused = 'a pause was too long'
    refused = 'it was refused'
    refused_again = 'it was refused after a retry by its client'
    quota_left = 'it was refused although enough of its quota was left'
    not_allowed = 'it was not allowed'
    failed = 'upstreams failed it'
    caller_left = 'its client disconnected'
    instance_lost = 'its instance was lost'
    unreached = 'it reached no instance'


class Loss(msgspec.Struct, frozen=True):
    """One request that was late or not served.

    at_s: its arrival in seconds after the first line. reason: its outcome.
    """

    request: str
    at_s: float
    route: str
    cause: Cause
    reason: str


class Losses(msgspec.Struct, frozen=True):
    """All requests that were late or not served.

    seen: number of requests in the lines. open: those of them without an
    outcome at the end. dropped: log lines that instances reported as dropped.
    """

    lost: tuple[Loss, ...]
    seen: int
    open: int
    dropped: int

    def table(
        self,
        weights: Mapping[str, float],
    ) -> dict[str, dict[Cause, float]]:
        """Return the summed weight of lost requests by route and cause."""
        return self._sum_by(weights, lambda loss: loss.route)

    def by_second(
        self,
        weights: Mapping[str, float],
    ) -> dict[int, dict[Cause, float]]:
        """Return the summed weight by second of arrival and cause."""
        return self._sum_by(weights, lambda loss: int(loss.at_s))

    def _sum_by(
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
    """Return the lost requests according to log lines.

    callers: ids of all requests that clients sent, used to find those that
    reached no instance.
    """
    log_index = _index_lines(texts)
    for refusal in log_index.refusals:
        request = str(refusal.fields['request'])
        log_index.uses.add_refund(request, refusal.at_s)
    lost: list[Loss] = []
    unfinished = 0
    for request, lines in log_index.by_request.items():
        lines.sort(key=_time)
        loss = _find_loss(request, lines, log_index)
        if loss is not None:
            lost.append(loss)
        elif not _has_ended(lines):
            unfinished += 1
    for request in set(callers) - log_index.by_request.keys():
        lost.append(Loss(request, 0, '', Cause.unreached, ''))
    lost.sort(key=lambda loss: (loss.at_s, loss.request))
    seen = len(log_index.by_request)
    return Losses(tuple(lost), seen, unfinished, log_index.dropped)


class _LogIndex:
    """Log lines by request, and the times at which each instance logged."""

    def __init__(self) -> None:
        self.by_request: dict[str, list[Line]] = {}
        self.starts: dict[str, list[float]] = {}
        self.newest: dict[str, float] = {}
        self.uses = ActualQuotaUse()
        self.first_at = float('inf')
        self.last_at: float = 0
        self.refusals: list[Line] = []
        # Latest count of dropped lines by instance and number of the run; the
        # counts of a run are cumulative.
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
                int(line.fields.get(kind, 0)) for kind in _DROPPED_FIELDS
            )
        request = line.fields.get('request')
        if request:
            self.by_request.setdefault(str(request), []).append(line)
        if 'charged' in line.fields:
            self.uses.add_charge(
                str(request),
                str(line.fields['workspace']),
                at,
                _number(line.fields, 'charged'),
            )
        if line.event == Event.refused.name:
            self.refusals.append(line)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped by all runs of all instances."""
        return sum(self._dropped.values())

    def is_lost(self, line: Line) -> bool:
        """Return whether the instance was restarted or lost after a line."""
        at = line.at_s
        if any(started > at for started in self.starts.get(line.instance, ())):
            return True
        return self.last_at - self.newest[line.instance] > _LOST_AFTER_S


def _index_lines(texts: Iterable[str]) -> _LogIndex:
    log_index = _LogIndex()
    for text in texts:
        line = read_line(text)
        if line is not None:
            log_index.take(line)
    return log_index


def _find_loss(
    request: str,
    lines: list[Line],
    log_index: _LogIndex,
) -> Loss | None:
    found = _classify(lines, log_index)
    if found is None:
        return None
    cause, reason = found
    at_s = lines[0].at_s - log_index.first_at
    return Loss(request, at_s, _route(lines), cause, reason)


def _classify(
    lines: list[Line],
    log_index: _LogIndex,
) -> tuple[Cause, str] | None:
    """Return the cause and outcome; None if served or still running."""
    finished = _last_event(lines, Event.finished)
    if finished is not None:
        outcome = str(finished.fields['outcome'])
        if outcome == 'answered':
            return _late_cause(finished.fields)
        return _unserved_cause(outcome, finished.fields), outcome
    refused = _last_event(lines, Event.refused)
    if refused is not None:
        reason = str(refused.fields['reason'])
        if _had_quota_left(refused, log_index.uses):
            return Cause.quota_left, reason
        return _unserved_cause(reason, refused.fields), reason
    if log_index.is_lost(lines[-1]):
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
    if reason in _NOT_ALLOWED_REASONS:
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


def _had_quota_left(refused: Line, uses: ActualQuotaUse) -> bool:
    """Return whether the quota had enough left for a refused request."""
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


def _last_event(lines: list[Line], event: Event) -> Line | None:
    for line in reversed(lines):
        if line.event == event.name:
            return line
    return None


def _number(fields: Mapping[str, object], name: str) -> float:
    found = fields.get(name)
    return float(found) if isinstance(found, int | float) else 0


def _time(line: Line) -> str:
    return line.time
