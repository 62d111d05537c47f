"""From a request's id to its cause, out of log lines alone.

Lines may come from many instances, in any order, and with a prefix of the
collector before the JSON object; lines that are none of ours are passed
over and counted.
"""

from __future__ import annotations

import dataclasses
import datetime
import json
import types
from collections.abc import Iterable, Mapping
from typing import Any

from tallyhall_core.events import Event

_KNOWN_EVENTS = types.MappingProxyType(
    {event.name: int(event) for event in Event},
)
_NEEDED = ('time', 'level', 'event', 'instance')

# What an outcome says to an operator. Each text ends without a full stop, so
# that what was tried may follow.
_CAUSES: Mapping[str, str] = types.MappingProxyType(
    {
        'answered': 'It was answered whole',
        'bad_request': 'Its headers were malformed, nothing was sent',
        'unknown_route': 'No route of the version in force has its path',
        'unknown_key': 'No workspace of the version in force has its API key',
        'not_ready': 'The instance had not read a desired state yet',
        'state_not_confirmed': (
            'The desired state had not been confirmed for too long, so its key '
            'could have been revoked; look at the store at that time'
        ),
        'rate_limited': 'Its workspace had used up its quota',
        'deadline_unreachable': (
            'It was refused for load: the queue of its service was too long to '
            'answer in time; it did not run'
        ),
        'no_upstream': 'No upstream of its service could be reached',
        'upstream_full': 'Every upstream that it was sent to turned it away',
        'quarantined': (
            'Upstreams had ended while they ran the same request, so it was '
            'not sent for now; look for 411 and 412 of its content'
        ),
        'upstream_broken': (
            'Its upstream broke off without a whole answer; it may have run, '
            'and what may have run is not sent again on this route'
        ),
        'upstream_error': 'Its upstream answered with an error of its own',
        'broken': (
            'Its stream broke off in the middle and could not go on elsewhere'
        ),
        'timed_out': 'Its time was over while an upstream was at work on it',
        'caller_left': 'Its caller left before the answer was complete',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line; `fields` holds all of it."""

    time: str
    instance: str
    event: str
    fields: Mapping[str, Any]

    @property
    def at_s(self) -> float:
        """Return the time in seconds since 1970."""
        return datetime.datetime.fromisoformat(self.time).timestamp()


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The way of one request, in order, and why it ended as it did."""

    lines: tuple[Line, ...]
    cause: str


def read_line(text: str) -> Line | None:
    """Return a log line, None for a text that is none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    if any(name not in fields for name in _NEEDED):
        return None
    return Line(
        str(fields['time']),
        str(fields['instance']),
        str(fields['event']),
        fields,
    )


def explain(request_id: str, texts: Iterable[str]) -> Explanation | None:
    """Return what the lines say about a request, None if nothing."""
    found = []
    for text in texts:
        # Most lines are about other requests and need no parsing.
        if request_id not in text:
            continue
        line = read_line(text)
        if line is not None and line.fields.get('request') == request_id:
            found.append(line)
    if not found:
        return None
    found.sort(key=lambda line: line.time)
    return Explanation(tuple(found), _cause(found))


def check_line(text: str) -> str | None:
    """Return what is wrong with a line by the catalogue, None if nothing."""
    line = read_line(text)
    if line is None:
        return 'no JSON object with time, level, event and instance'
    if 'number' not in line.fields:
        # A library's own warning; it has no number.
        return None
    known = _KNOWN_EVENTS.get(line.event)
    if known is None:
        return f'unknown event {line.event!r}'
    if known != line.fields['number']:
        return f'{line.event} has number {known}'
    return None


def shown(line: Line) -> str:
    """Return a line as an operator reads it."""
    left_out = {*_NEEDED, 'number', 'request', 'taskName'}
    rest = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in left_out and value is not None and value != ''
    )
    return f'{line.time} {line.instance} {line.event} {rest}'


def _cause(lines: list[Line]) -> str:
    outcome = _outcome(lines)
    if outcome is None:
        return (
            'Its end was not logged: the instance died or lines were dropped '
            '(look for logs_dropped, and for a start of the instance).'
        )
    text = _CAUSES.get(outcome, f'It ended as {outcome}')
    sends = [line for line in lines if line.event == Event.send_ended.name]
    if not sends:
        return f'{text}.'
    tried = ', '.join(
        f'{line.fields["upstream"]} ({line.fields["ending"]} after '
        f'{line.fields["total_ms"]} ms)'
        for line in sends
    )
    return f'{text}. Sent to {tried}.'


def _outcome(lines: list[Line]) -> str | None:
    for line in reversed(lines):
        if line.event == Event.finished.name:
            return str(line.fields['outcome'])
    for line in reversed(lines):
        if line.event == Event.refused.name:
            return str(line.fields['reason'])
    return None
