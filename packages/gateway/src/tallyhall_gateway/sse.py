"""Reads an engine's server-sent events and checks their sequence.

Each event carries the id of its request and a sequence number. A duplicate
event is dropped. An event of another request or a gap in the sequence is an
error, after which the stream is resumed after the last valid event. A response
is complete only if its end marker was received.
"""

from __future__ import annotations

from collections.abc import Iterator

import pydantic
import urllib3

from .errors import StreamBrokenError
from .upstream import RESPONSE_ERRORS

_DATA_PREFIX = b'data: '
_DONE = b'[DONE]'
_READ_BYTES = 65_536


class PromptDetails(pydantic.BaseModel):
    """The `prompt_tokens_details` object of `usage`."""

    cached_tokens: int = 0


class UsageBody(pydantic.BaseModel):
    """The `usage` object of the last event."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: PromptDetails = PromptDetails()


class Delta(pydantic.BaseModel):
    """Text that an event adds to a chat response."""

    content: str = ''


class Choice(pydantic.BaseModel):
    """One choice of an event; only the first is used."""

    text: str = ''
    delta: Delta = Delta()
    finish_reason: str | None = None


class StreamEvent(pydantic.BaseModel):
    """An event of an engine's stream, with its number of tokens."""

    id: str
    seq: int
    tokens: int = 0
    choices: tuple[Choice, ...] = ()
    usage: UsageBody | None = None

    @property
    def is_last(self) -> bool:
        """Return whether the engine finished the response with this event."""
        return any(choice.finish_reason for choice in self.choices)

    @property
    def text(self) -> str:
        """Return the text of the first choice."""
        if not self.choices:
            return ''
        return self.choices[0].text or self.choices[0].delta.content


class OrderCheck:
    """Checks that events belong to a request and are in sequence."""

    def __init__(self, request_id: str) -> None:
        """Expect event 0 of the request first."""
        self.expected = 0
        self._id = request_id

    def accept(self, event: StreamEvent) -> bool:
        """Return True for the next event and False for a duplicate.

        Raises StreamBrokenError for any other event.
        """
        if event.id != self._id:
            raise StreamBrokenError('received an event of another request')
        if event.seq > self.expected:
            raise StreamBrokenError(f'events missing before event {event.seq}')
        if event.seq < self.expected:
            return False
        self.expected += 1
        return True


def read_events(resp: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    """Yield events up to the end marker.

    Raises StreamBrokenError if the stream ends before it.
    """
    pending = b''
    while True:
        chunk = _read(resp)
        if not chunk:
            raise StreamBrokenError('stream ended without an end marker')
        pending += chunk
        *lines, pending = pending.split(b'\n')
        for line in lines:
            if not line.startswith(_DATA_PREFIX):
                continue
            payload = line[len(_DATA_PREFIX) :].strip()
            if payload == _DONE:
                return
            yield _parse(payload)


def _read(resp: urllib3.BaseHTTPResponse) -> bytes:
    try:
        return resp.read1(_READ_BYTES)
    except RESPONSE_ERRORS as exc:
        raise StreamBrokenError(str(exc)) from exc


def _parse(payload: bytes) -> StreamEvent:
    try:
        return StreamEvent.model_validate_json(payload)
    except pydantic.ValidationError as exc:
        raise StreamBrokenError('invalid event') from exc
