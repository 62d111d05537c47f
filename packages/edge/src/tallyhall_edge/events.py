"""Event streams (text/event-stream), split into whole events.

Only whole events are passed on: an upstream that breaks off in the middle
of one leaves nothing of it behind.
"""

from __future__ import annotations

import msgspec

_ID_FIELD = b'id:'
_SEPARATOR = b'\n\n'
# An event larger than this is no event; bytes.
MAX_EVENT_BYTES = 1_048_576


class BadEventError(Exception):
    """The stream holds something that is no event."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One event with its bytes as they came; `number` None without an id."""

    raw: bytes
    number: int | None


class EventSplitter:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self._held = b''

    @property
    def held(self) -> bytes:
        """Return the bytes of an event that has not ended yet."""
        return self._held

    def feed(self, payload: bytes) -> list[StreamEvent]:
        """Return the events that end in these bytes; raise BadEventError."""
        held = self._held + payload
        whole = held.split(_SEPARATOR)
        self._held = whole.pop()
        if len(self._held) > MAX_EVENT_BYTES:
            raise BadEventError('an event without end')
        return [_event(raw) for raw in whole]


def _event(raw: bytes) -> StreamEvent:
    number = None
    for line in raw.split(b'\n'):
        if not line.startswith(_ID_FIELD):
            continue
        text = line[len(_ID_FIELD) :].strip()
        if not text.isdigit():
            raise BadEventError(f'event id {text!r} is no number')
        number = int(text)
    return StreamEvent(raw + _SEPARATOR, number)
