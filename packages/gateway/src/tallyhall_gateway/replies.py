"""Responses to callers: refusals, complete responses and event streams."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Iterable, Iterator

from tallyhall_core.refusals import CATALOGUE, Refusal

from .errors import TruncatedResponseError
from .sse import StreamEvent
from .ticket import Ticket

REQUEST_ID_HEADER = 'x-tallyhall-request-id'
JSON_TYPE = 'application/json'
_MS_PER_S = 1000
_OK = 200
_PART_TIMEOUT_S = 3600.0

_STATUS_TEXT = 'Answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP response; the body may be generated while it is sent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Return the status line in the form that WSGI requires."""
        return f'{self.status} {_STATUS_TEXT}'


def json_reply(status: int, content: object) -> Reply:
    """Return a JSON response."""
    return _fixed_length_reply(
        status, JSON_TYPE, json.dumps(content).encode(), ()
    )


def refusal_fields(refusal: Refusal, request_id: str) -> dict[str, object]:
    """Return the JSON object that describes a refusal."""
    row = CATALOGUE[refusal.reason]
    retry_ms = None
    if refusal.retry_after is not None:
        retry_ms = math.ceil(refusal.retry_after * _MS_PER_S)
    return {
        'code': row.number,
        'reason': str(refusal.reason),
        'message': row.text,
        'detail': refusal.detail,
        'executed': str(refusal.executed),
        'request_id': request_id,
        'retry_after_ms': retry_ms,
    }


def refusal_reply(refusal: Refusal, request_id: str) -> Reply:
    """Return a refusal as an HTTP response."""
    row = CATALOGUE[refusal.reason]
    headers = [(REQUEST_ID_HEADER, request_id)] if request_id else []
    if refusal.retry_after is not None:
        wait = max(1, math.ceil(refusal.retry_after))
        headers.append(('retry-after', str(wait)))
    body = {'error': refusal_fields(refusal, request_id)}
    return _fixed_length_reply(
        row.status,
        JSON_TYPE,
        json.dumps(body).encode(),
        tuple(headers),
    )


def plain_reply(ticket: Ticket) -> Reply:
    """Wait for the response of a plain call and return it."""
    part = ticket.part(0, _PART_TIMEOUT_S)
    head = ticket.head
    if part is None or head is None:
        return _refusal_of(ticket)
    return _fixed_length_reply(
        head.status,
        head.content_type or 'application/octet-stream',
        part.content,
        ((REQUEST_ID_HEADER, ticket.id),),
    )


def completion_reply(ticket: Ticket) -> Reply:
    """Wait for a complete model response and return it unstreamed."""
    text = ''
    number = 0
    while True:
        part = ticket.part(number, _PART_TIMEOUT_S)
        if part is None:
            break
        number += 1
        text += StreamEvent.model_validate_json(part.content).text
    if not ticket.is_complete:
        return _refusal_of(ticket)
    usage = ticket.usage
    body = {
        'id': ticket.id,
        'choices': [
            {
                'text': text,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': 'stop',
            },
        ],
        'usage': {
            'prompt_tokens': usage.prompt_tokens,
            'completion_tokens': usage.output_tokens,
            'prompt_tokens_details': {'cached_tokens': usage.cached_tokens},
        },
    }
    return _fixed_length_reply(
        _OK,
        JSON_TYPE,
        json.dumps(body).encode(),
        ((REQUEST_ID_HEADER, ticket.id),),
    )


def stream_reply(ticket: Ticket) -> Reply:
    """Return a model response as server-sent events."""
    return Reply(
        _OK,
        (
            ('content-type', 'text/event-stream'),
            ('cache-control', 'no-store'),
            (REQUEST_ID_HEADER, ticket.id),
        ),
        _events(ticket),
    )


def _events(ticket: Ticket) -> Iterator[bytes]:
    number = 0
    while True:
        part = ticket.part(number, _PART_TIMEOUT_S)
        if part is None:
            break
        number += 1
        yield b'data: %b\n\n' % part.content
    if ticket.is_complete:
        yield b'data: [DONE]\n\n'
        return
    refusal = ticket.refusal
    if refusal is not None:
        fields = json.dumps(refusal_fields(refusal, ticket.id))
        yield f'event: error\ndata: {fields}\n\n'.encode()
    # The server then closes the connection without sending the last chunk, so
    # that clients can't mistake the truncated response for a complete one.
    raise TruncatedResponseError(ticket.id)


def _refusal_of(ticket: Ticket) -> Reply:
    if ticket.refusal is None:
        raise TruncatedResponseError(ticket.id)
    return refusal_reply(ticket.refusal, ticket.id)


def _fixed_length_reply(
    status: int,
    content_type: str,
    content: bytes,
    headers: tuple[tuple[str, str], ...],
) -> Reply:
    own = (
        ('content-type', content_type),
        ('content-length', str(len(content))),
    )
    return Reply(status, (*own, *headers), [content])
