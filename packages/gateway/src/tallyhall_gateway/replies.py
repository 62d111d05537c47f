"""Answers to callers: refusals, whole answers and event streams."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Iterable, Iterator

from tallyhall_core.refusals import CATALOGUE, Refusal

from .errors import CutOffError
from .sse import StreamEvent
from .ticket import Ticket

REQUEST_ID_HEADER = 'x-tallyhall-request-id'
JSON_TYPE = 'application/json'
_MILLI = 1000
_OK = 200
_PART_WAIT_S = 3600.0

_STATUS_TEXT = 'Answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP answer; the body may be produced while it is sent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Return the status as WSGI wants it."""
        return f'{self.status} {_STATUS_TEXT}'


def json_reply(status: int, content: object) -> Reply:
    """Return a JSON answer."""
    return _sized(status, JSON_TYPE, json.dumps(content).encode(), ())


def refusal_fields(refusal: Refusal, request_id: str) -> dict[str, object]:
    """Return the JSON object of a refusal."""
    row = CATALOGUE[refusal.reason]
    retry_ms = None
    if refusal.retry_after is not None:
        retry_ms = math.ceil(refusal.retry_after * _MILLI)
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
    """Return a refusal as an HTTP answer."""
    row = CATALOGUE[refusal.reason]
    headers = [(REQUEST_ID_HEADER, request_id)] if request_id else []
    if refusal.retry_after is not None:
        wait = max(1, math.ceil(refusal.retry_after))
        headers.append(('retry-after', str(wait)))
    body = {'error': refusal_fields(refusal, request_id)}
    return _sized(
        row.status,
        JSON_TYPE,
        json.dumps(body).encode(),
        tuple(headers),
    )


def plain_reply(ticket: Ticket) -> Reply:
    """Return a whole plain answer."""
    part = ticket.part(0, _PART_WAIT_S)
    head = ticket.head
    if part is None or head is None:
        return _final_refusal(ticket)
    return _sized(
        head.status,
        head.content_type or 'application/octet-stream',
        part.content,
        ((REQUEST_ID_HEADER, ticket.id),),
    )


def whole_reply(ticket: Ticket) -> Reply:
    """Return a model answer in one piece, once it is complete."""
    text = ''
    number = 0
    while True:
        part = ticket.part(number, _PART_WAIT_S)
        if part is None:
            break
        number += 1
        text += StreamEvent.model_validate_json(part.content).text
    if not ticket.is_complete:
        return _final_refusal(ticket)
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
    return _sized(
        _OK,
        JSON_TYPE,
        json.dumps(body).encode(),
        ((REQUEST_ID_HEADER, ticket.id),),
    )


def stream_reply(ticket: Ticket) -> Reply:
    """Return a model answer as server-sent events."""
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
        part = ticket.part(number, _PART_WAIT_S)
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
    # The server then closes without the last chunk, so that no client can
    # take the short answer for a whole one.
    raise CutOffError(ticket.id)


def _final_refusal(ticket: Ticket) -> Reply:
    if ticket.refusal is None:
        raise CutOffError(ticket.id)
    return refusal_reply(ticket.refusal, ticket.id)


def _sized(
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
