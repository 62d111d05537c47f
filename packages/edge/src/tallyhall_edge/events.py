"""Splits event streams (text/event-stream) into complete events.

Only complete events are forwarded: if an upstream breaks off in the middle of
an event, the caller receives no part of it.
"""

from __future__ import annotations

import msgspec

_ID_FIELD = b'id:'
_SEPARATOR = b'\n\n'
# Maximum size of an event in bytes; a larger one makes the stream invalid.
MAX_EVENT_BYTES = 1_048_576


class BadEventError(Exception):
    """The stream contains an invalid event."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One event with its bytes as received.

    number: the event id, None if it has none.
    """

    raw: bytes
    number: int | None


class EventSplitter:
    """Incremental parser that splits a byte stream into events."""

    def __init__(self) -> None:
        """Start without buffered bytes."""
        self._held = b''

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._held

    def feed(self, payload: bytes) -> list[StreamEvent]:
        """Return the events completed by these bytes; raise BadEventError."""
        held = self._held + payload
        whole = held.split(_SEPARATOR)
        self._held = whole.pop()
        if len(self._held) > MAX_EVENT_BYTES:
            raise BadEventError(f'event exceeds {MAX_EVENT_BYTES} bytes')
        return [_event(raw) for raw in whole]


def _event(raw: bytes) -> StreamEvent:
    number = None
    for line in raw.split(b'\n'):
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        if not text.isdigit():
            raise BadEventError(f'event id {text!r} is not a number')
        number = int(text)
    return StreamEvent(raw + _SEPARATOR, number)
