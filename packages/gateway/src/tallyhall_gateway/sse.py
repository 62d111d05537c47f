"""Reading an engine's server-sent events, with their order checked.

Every event names the request and its sequence number. An event of another
request breaks the stream, a repeated one is dropped, a gap breaks it so that
it is resumed from the last good event. Only the end marker makes an answer
whole.
"""

from __future__ import annotations

from collections.abc import Iterator

import pydantic
import urllib3

from .errors import StreamBrokenError
from .upstream import BROKEN_ERRORS

_DATA_LINE = b'data: '
_DONE = b'[DONE]'
_READ_BYTES = 65_536


class PromptDetails(pydantic.BaseModel):
    """The part of `usage` that tells of cached prompt tokens."""

    cached_tokens: int = 0


class UsageBody(pydantic.BaseModel):
    """The `usage` object of a last event."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: PromptDetails = PromptDetails()


class Delta(pydantic.BaseModel):
    """A piece of a chat answer."""

    content: str = ''


class Choice(pydantic.BaseModel):
    """One choice of an event; only the first is used."""

    text: str = ''
    delta: Delta = Delta()
    finish_reason: str | None = None


class StreamEvent(pydantic.BaseModel):
    """One event of an engine's stream. tokens: number of tokens in it."""

    id: str
    seq: int
    tokens: int = 0
    choices: tuple[Choice, ...] = ()
    usage: UsageBody | None = None

    @property
    def is_last(self) -> bool:
        """Return whether the engine finished the answer with this event."""
        return any(choice.finish_reason for choice in self.choices)

    @property
    def text(self) -> str:
        """Return the text of the first choice."""
        if not self.choices:
            return ''
        return self.choices[0].text or self.choices[0].delta.content


class OrderCheck:
    """Tells for each event whether it is the next of this request."""

    def __init__(self, request_id: str) -> None:
        """Expect event 0 of this request."""
        self.expected = 0
        self._id = request_id

    def accept(self, event: StreamEvent) -> bool:
        """Return whether the event is new; raise if the stream is wrong."""
        if event.id != self._id:
            raise StreamBrokenError('an event of another request')
        if event.seq > self.expected:
            raise StreamBrokenError(f'gap before event {event.seq}')
        if event.seq < self.expected:
            return False
        self.expected += 1
        return True


def read_events(resp: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    """Yield events up to the end marker; raise StreamBrokenError before."""
    pending = b''
    while True:
        part = _read(resp)
        if not part:
            raise StreamBrokenError('ended without an end marker')
        pending += part
        *lines, pending = pending.split(b'\n')
        for line in lines:
            if not line.startswith(_DATA_LINE):
                continue
            payload = line[len(_DATA_LINE) :].strip()
            if payload == _DONE:
                return
            yield _parse(payload)


def _read(resp: urllib3.BaseHTTPResponse) -> bytes:
    try:
        return resp.read1(_READ_BYTES)
    except BROKEN_ERRORS as exc:
        raise StreamBrokenError(str(exc)) from exc


def _parse(payload: bytes) -> StreamEvent:
    try:
        return StreamEvent.model_validate_json(payload)
    except pydantic.ValidationError as exc:
        raise StreamBrokenError('an event that cannot be read') from exc
