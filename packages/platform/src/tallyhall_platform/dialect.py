"""The platform's HTTP headers: read from callers, written to upstreams."""

from __future__ import annotations

import http
import json
import math

from tallyhall_core.refusals import CATALOGUE, Refusal
from tallyhall_edge.dialect import (
    AnswerInfo,
    BadCallError,
    CallInfo,
    OwnAnswer,
    SendInfo,
)
from tallyhall_edge.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    count,
    find,
    forwarded,
)

_REQUEST_ID = b'x-tallyhall-request-id'
_DEADLINE = b'x-tallyhall-deadline-ms'
# Prompt tokens and the most output tokens, separated by a comma.
_TOKENS = b'x-tallyhall-token-counts'
_LAST_EVENT = b'last-event-id'
_AUTHORIZATION = b'authorization'
_EXPECTED = b'x-tallyhall-expect-instance'
_EXPECTED_VERSION = b'x-tallyhall-expect-version'
# Memory and places at an engine, kept back or copied for one request.
_HOLD = b'x-tallyhall-hold'
_PIN = b'x-tallyhall-pin-ms'
_BACKUP = b'x-tallyhall-kv-backup'
_KV_FROM = b'kv-from'
_KV_FETCH = b'kv-fetch'
_WORKSPACE = b'x-tallyhall-tenant'
# Proof that the answer is the upstream's own.
_SIGNATURE = b'x-tallyhall-response-signature'
_NOT_EXECUTED = b'x-tallyhall-not-executed'
_LEAVING = b'server-leaving'
_LIMIT = b'server-limit'
_RETRY_AFTER = b'retry-after'
# Headers with these beginnings say something of the upstream or the request.
_SAYING = (b'server-', b'x-tallyhall-')
# Of these, the ones that are read, and those that forbid and ask nothing.
_KNOWN_TO_SAY = frozenset(
    (
        _REQUEST_ID,
        _SIGNATURE,
        _NOT_EXECUTED,
        _LEAVING,
        b'x-tallyhall-server-load',
        b'x-tallyhall-weight-versions',
        b'x-tallyhall-instance-id',
    ),
)
_SCHEME = 'bearer '
_MILLI = 1000
_CENTI = 100
_MISDIRECTED = 421
_TURNED_AWAY = 503
# What an upstream may ask for at most, in seconds; it can ask again.
_LONGEST_REST_S = 600.0
# Headers that this system sets itself, whatever the caller sent: with them a
# caller could name an upstream, its workspace or memory of other requests.
SET_HERE = (
    _DEADLINE,
    _EXPECTED,
    _EXPECTED_VERSION,
    _WORKSPACE,
    _AUTHORIZATION,
    _HOLD,
    _PIN,
    _BACKUP,
    _KV_FROM,
    _KV_FETCH,
)


class PlatformDialect:
    """The platform's headers as the product's types."""

    id_header = _REQUEST_ID

    def call(self, head: RequestHead) -> CallInfo:
        """Return what a request says; raise BadCallError."""
        headers = head.headers
        if count(headers, b'host') != 1:
            raise BadCallError('exactly one Host header is needed')
        request_id = find(headers, _REQUEST_ID)
        if not request_id or count(headers, _REQUEST_ID) != 1:
            raise BadCallError('exactly one request id is needed')
        tokens = _numbers(headers, _TOKENS)
        if tokens and len(tokens) != 2:
            raise BadCallError('two token counts are needed')
        deadline = _numbers(headers, _DEADLINE)
        last_event = _numbers(headers, _LAST_EVENT)
        return CallInfo(
            request_id=request_id,
            host=_host(headers),
            key=_key(headers),
            deadline_s=deadline[0] / _MILLI if deadline else None,
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens=tokens[1] if tokens else 0,
            last_event=last_event[0] if last_event else None,
        )

    def upstream_headers(
        self,
        head: RequestHead,
        body_size: int,
        info: SendInfo,
    ) -> Headers:
        """Return the headers of a request for one upstream."""
        without: tuple[bytes, ...] = SET_HERE
        if info.last_event is not None:
            without = (*SET_HERE, _LAST_EVENT)
        headers = list(forwarded(head.headers, without))
        left_ms = max(1, int(info.left_s * _MILLI))
        headers.append((b'X-Tallyhall-Deadline-Ms', b'%d' % left_ms))
        headers.append(
            (b'X-Tallyhall-Expect-Instance', info.upstream.encode()),
        )
        if info.workspace is not None:
            headers.append((b'X-Tallyhall-Tenant', info.workspace.encode()))
        if info.last_event is not None:
            headers.append((b'Last-Event-Id', b'%d' % info.last_event))
        if body_size or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            headers.append((b'Content-Length', b'%d' % body_size))
        return tuple(headers)

    def answer(self, head: ResponseHead) -> AnswerInfo:
        """Return what the head of an answer says."""
        media = find(head.headers, b'content-type') or b''
        misplaced = head.status == _MISDIRECTED
        limit_per_s = _limit_per_s(head.headers)
        return AnswerInfo(
            proven=find(head.headers, _SIGNATURE) is not None,
            not_executed=(
                misplaced or find(head.headers, _NOT_EXECUTED) is not None
            ),
            misplaced=misplaced,
            streams=media.lower().startswith(b'text/event-stream'),
            # Another one than was asked for speaks for itself only.
            leaving=not misplaced and _is_set(head.headers, _LEAVING),
            rest_s=_rest_s(head),
            limit_per_s=None if misplaced else limit_per_s,
            unread=_unread(head.headers, has_limit=limit_per_s is not None),
        )

    def refusal(self, refusal: Refusal) -> OwnAnswer:
        """Return a refusal as the platform's callers read it."""
        entry = CATALOGUE[refusal.reason]
        headers = [(b'Content-Type', b'application/json')]
        if refusal.retry_after is not None:
            # Rounded up: who comes a moment early is refused again.
            wait_s = math.ceil(refusal.retry_after * _CENTI) / _CENTI
            wait = f'{wait_s:.2f}'.encode()
            headers.append((b'Retry-After', wait))
        body = {
            'error': entry.number,
            'reason': refusal.reason.value,
            'text': entry.text,
        }
        phrase = http.HTTPStatus(entry.status).phrase.encode()
        raw = json.dumps(body).encode()
        return OwnAnswer(entry.status, phrase, tuple(headers), raw)


def _host(headers: Headers) -> str:
    text = (find(headers, b'host') or b'').decode('latin-1').lower()
    return text.partition(':')[0]


def _key(headers: Headers) -> str:
    text = (find(headers, _AUTHORIZATION) or b'').decode('latin-1')
    if text.lower().startswith(_SCHEME):
        return text[len(_SCHEME) :].strip()
    return ''


def _is_set(headers: Headers, name: bytes) -> bool:
    return find(headers, name) == b'1'


def _rest_s(head: ResponseHead) -> float:
    text = find(head.headers, _RETRY_AFTER)
    if head.status != _TURNED_AWAY or text is None:
        return 0
    try:
        rest_s = float(text)
    except ValueError:
        # A date, or nothing that is known.
        return 0
    return min(_LONGEST_REST_S, max(0, rest_s))


def _limit_per_s(headers: Headers) -> float | None:
    text = find(headers, _LIMIT)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def _unread(headers: Headers, *, has_limit: bool) -> tuple[str, ...]:
    """Return names that are not known, and a limit that is no number."""
    known = _KNOWN_TO_SAY | {_LIMIT} if has_limit else _KNOWN_TO_SAY
    names = (name.lower() for name, _ in headers)
    return tuple(
        name.decode('latin-1')
        for name in names
        if name.startswith(_SAYING) and name not in known
    )


def _numbers(headers: Headers, name: bytes) -> tuple[int, ...]:
    text = find(headers, name)
    if text is None:
        return ()
    try:
        return tuple(max(0, int(part)) for part in text.split(b','))
    except ValueError as exc:
        raise BadCallError(f'{name.decode()}: {text!r}') from exc
