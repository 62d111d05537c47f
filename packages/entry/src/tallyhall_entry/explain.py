"""Explains the outcome of a request from log lines alone.

Lines may come from many instances, in any order, and may have a prefix added
by a log collector before the JSON object. Lines of other programs are skipped.
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
_REQUIRED_FIELDS = ('time', 'level', 'event', 'instance')

_TUNNEL_EVENTS = frozenset((Event.tunnel_asked.name, Event.tunnel_ended.name))

# Explanations of outcomes for operators. Each text ends without a full stop
# because the list of attempted upstreams may be appended.
_CAUSES: Mapping[str, str] = types.MappingProxyType(
    {
        'answered': 'It was answered completely',
        'bad_request': 'Its headers were malformed, nothing was sent',
        'unknown_route': 'No route of the active version matches its path',
        'unknown_key': 'No workspace of the active version has its API key',
        'not_ready': 'The instance had not read a desired state yet',
        'state_not_confirmed': (
            'The desired state had not been confirmed for too long, so its key '
            'might have been revoked; check the store at that time'
        ),
        'rate_limited': 'Its workspace had used up its quota',
        'deadline_unreachable': (
            'It was refused because of load: the queue of its service was too '
            'long to meet the deadline; it did not run'
        ),
        'shed': (
            'It was refused because its instance ran short of memory for slow '
            'callers and upstreams; look for event 103; it did not run'
        ),
        'no_upstream': 'No upstream of its service could be reached',
        'upstream_full': 'Every upstream that it was sent to rejected it',
        'quarantined': (
            'Upstreams had crashed while they ran the same request, or others '
            'with the same part in their prompts, so it is held back for now; '
            'look for events 411, 412, 428 and 429 with its content or part'
        ),
        'upstream_broken': (
            'Its upstream broke off before the answer was complete; it may '
            'have run, and this route does not retry what may have run'
        ),
        'upstream_error': 'Its upstream responded with an error',
        'broken': (
            'Its stream broke off midway and could not resume elsewhere'
        ),
        'timed_out': 'It timed out while an upstream was processing it',
        'caller_left': 'Its client disconnected before the answer was complete',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One parsed log line; `fields` holds the complete JSON object."""

    time: str
    instance: str
    event: str
    fields: Mapping[str, Any]

    @property
    def at_s(self) -> float:
        """Return the time as a Unix timestamp."""
        return datetime.datetime.fromisoformat(self.time).timestamp()


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of one request in order, and the cause of its outcome."""

    lines: tuple[Line, ...]
    cause: str


def read_line(text: str) -> Line | None:
    """Parse a log line; return None if the text is not one."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    if any(name not in fields for name in _REQUIRED_FIELDS):
        return None
    return Line(
        str(fields['time']),
        str(fields['instance']),
        str(fields['event']),
        fields,
    )


def explain(request_id: str, texts: Iterable[str]) -> Explanation | None:
    """Explain a request from log lines; return None if none mentions it.

    If it went through another instance, the lines of that one are included.
    """
    found = []
    tunnel_lines = []
    for text in texts:
        # Skips parsing of most lines, which are about other requests.
        if request_id not in text and '"peer"' not in text:
            continue
        line = read_line(text)
        if line is None:
            continue
        if line.fields.get('request') == request_id:
            found.append(line)
        elif line.event in _TUNNEL_EVENTS:
            tunnel_lines.append(line)
    if not found:
        return None
    tunnels = {line.fields['tunnel'] for line in found if 'via' in line.fields}
    found.extend(
        line for line in tunnel_lines if line.fields['tunnel'] in tunnels
    )
    found.sort(key=lambda line: line.time)
    return Explanation(tuple(found), _cause(found))


def check_line(text: str) -> str | None:
    """Check a line against the event catalogue; return the error, if any."""
    line = read_line(text)
    if line is None:
        return 'not a JSON object with time, level, event and instance'
    if 'number' not in line.fields:
        # Warnings logged by libraries have no event number.
        return None
    known = _KNOWN_EVENTS.get(line.event)
    if known is None:
        return f'unknown event {line.event!r}'
    if known != line.fields['number']:
        return f'{line.event} must have number {known}'
    return None


def format_line(line: Line) -> str:
    """Format a line for operators."""
    omitted = {*_REQUIRED_FIELDS, 'number', 'request', 'taskName'}
    rest = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in omitted and value is not None and value != ''
    )
    return f'{line.time} {line.instance} {line.event} {rest}'


def _cause(lines: list[Line]) -> str:
    outcome = _outcome(lines)
    if outcome is None:
        return (
            'Its end was not logged: the instance died or lines were dropped '
            '(look for logs_dropped, and for a restart of the instance).'
        )
    text = _CAUSES.get(outcome, f'It ended with outcome {outcome}')
    sends = [line for line in lines if line.event == Event.send_ended.name]
    slowed = _slowed(lines)
    if not sends:
        return f'{text}.{slowed}'
    tried = ', '.join(map(_sent_to, sends))
    return f'{text}. Sent to {tried}.{slowed}'


def _sent_to(line: Line) -> str:
    """Return where a request was sent, by a line of `send_ended`."""
    fields = line.fields
    through = f'through {fields["via"]}, ' if 'via' in fields else ''
    return (
        f'{fields["upstream"]} ({through}{fields["ending"]} after '
        f'{fields["total_ms"]} ms)'
    )


def _slowed(lines: list[Line]) -> str:
    """Return which upstreams were known to be slowed when they were granted."""
    known = ', '.join(
        f'{line.fields["upstream"]} ({line.fields["slowdown"]} times as long '
        'as usual)'
        for line in lines
        if line.event == Event.permitted.name and 'slowdown' in line.fields
    )
    return f' Known to be slowed when granted: {known}.' if known else ''


def _outcome(lines: list[Line]) -> str | None:
    for line in reversed(lines):
        if line.event == Event.finished.name:
            return str(line.fields['outcome'])
    for line in reversed(lines):
        if line.event == Event.refused.name:
            return str(line.fields['reason'])
    return None
