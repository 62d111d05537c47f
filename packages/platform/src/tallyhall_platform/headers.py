"""Decodes the platform's HTTP headers and writes those sent to upstreams."""

from __future__ import annotations

import http
import json
import math

from tallyhall_core.refusals import CATALOGUE, Refusal
from tallyhall_dispatch.load_reports import (
    MAX_REQUESTS,
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    LoadReport,
)
from tallyhall_edge.dialect import (
    InvalidHeaderError,
    LocalResponse,
    RequestInfo,
    ResponseInfo,
    UpstreamRequestInfo,
)
from tallyhall_edge.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    count_headers,
    find_header,
    forwardable_headers,
)

_REQUEST_ID = b'x-tallyhall-request-id'
_DEADLINE = b'x-tallyhall-deadline-ms'
# Prompt tokens and the maximum of output tokens, separated by a comma.
_TOKENS = b'x-tallyhall-token-counts'
# The parts of the prompt in order, as ID:TOKENS separated by commas. The last
# one belongs to the request itself or to its session.
_PROMPT_PARTS = b'x-tallyhall-prompt-prefix'
_LAST_EVENT = b'last-event-id'
# The request id of the attempt that began a stream that is resumed.
_RESUMES = b'resumes'
_AUTHORIZATION = b'authorization'
_EXPECTED = b'x-tallyhall-expect-instance'
_EXPECTED_VERSION = b'x-tallyhall-expect-version'
# Engine memory and slots that are reserved or copied for one request.
_HOLD = b'x-tallyhall-hold'
_PIN = b'x-tallyhall-pin-ms'
_BACKUP = b'x-tallyhall-kv-backup'
_KV_FROM = b'kv-from'
_KV_FETCH = b'kv-fetch'
_WORKSPACE = b'x-tallyhall-tenant'
# Proves that the upstream itself produced the answer.
_SIGNATURE = b'x-tallyhall-response-signature'
_NOT_EXECUTED = b'x-tallyhall-not-executed'
_LEAVING = b'server-leaving'
_LIMIT = b'server-limit'
# Requests running, requests waiting and slots, then optionally how long work
# takes at this moment in percent of the usual time.
_LOAD = b'x-tallyhall-server-load'
_RETRY_AFTER = b'retry-after'
# Prefixes of headers that describe the upstream or the request.
_NAMESPACES = (b'server-', b'x-tallyhall-')
# Headers with such a prefix that are decoded here or need no action.
_KNOWN_HEADERS = frozenset(
    (
        _REQUEST_ID,
        _SIGNATURE,
        _NOT_EXECUTED,
        _LEAVING,
        _LOAD,
        b'x-tallyhall-weight-versions',
        b'x-tallyhall-instance-id',
    ),
)
# Maximum length of a request id, in characters, and what none contains.
_MAX_ID_CHARS = 200
_SEPARATORS = frozenset(' ,;\t')
# Maximum number of parts of a prompt that are read, and the maximum length of
# the id of one, in characters.
_MAX_PARTS = 16
_MAX_PART_CHARS = 40
# Largest token count of a request; instances exchange it in 32 bits.
_MAX_TOKENS = 2_147_483_647
# Deadlines further away are treated as this one, in milliseconds.
_MAX_DEADLINE_MS = 86_400_000
_SCHEME = 'bearer '
_MILLI = 1000
_HUNDREDTHS = 100
# Number of integer fields at the start of the load header.
_LOAD_COUNTS = 3
_MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503
# Longest Retry-After of an upstream that is honoured, in seconds; it can send
# another one.
_MAX_RETRY_AFTER_S = 600.0
# Headers that are never forwarded from a caller: they could select an
# upstream, a workspace or engine memory that belongs to other requests.
OVERRIDDEN_HEADERS = (
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


class PlatformHeaderCodec:
    """Translates between the platform's headers and the product's types."""

    id_header = _REQUEST_ID

    def parse_request(self, head: RequestHead) -> RequestInfo:
        """Decode the headers of a request; raise InvalidHeaderError."""
        headers = head.headers
        if count_headers(headers, b'host') != 1:
            raise InvalidHeaderError('exactly one Host header is needed')
        request_id = find_header(headers, _REQUEST_ID)
        if not request_id or count_headers(headers, _REQUEST_ID) != 1:
            raise InvalidHeaderError('exactly one request id is needed')
        tokens = _numbers(headers, _TOKENS)
        if tokens and len(tokens) != 2:
            raise InvalidHeaderError('two token counts are needed')
        if any(count > _MAX_TOKENS for count in tokens):
            raise InvalidHeaderError(f'a token count is over {_MAX_TOKENS}')
        last_event = _numbers(headers, _LAST_EVENT)
        return RequestInfo(
            request_id=request_id,
            host=_host(headers),
            key=_key(headers),
            deadline_s=_deadline_s(headers),
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens=tokens[1] if tokens else 0,
            last_event=last_event[0] if last_event else None,
            resumes=_resumes(headers),
            parts=_shared_parts(headers),
        )

    def upstream_headers(
        self,
        head: RequestHead,
        body_size: int,
        info: UpstreamRequestInfo,
    ) -> Headers:
        """Return the headers of a request to an upstream."""
        without: tuple[bytes, ...] = OVERRIDDEN_HEADERS
        if info.last_event is not None:
            without = (*OVERRIDDEN_HEADERS, _LAST_EVENT)
        headers = list(forwardable_headers(head.headers, without))
        left_ms = max(1, int(info.remaining_s * _MILLI))
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

    def parse_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the status and headers of an answer."""
        media = find_header(head.headers, b'content-type') or b''
        misplaced = head.status == _MISDIRECTED_REQUEST
        limit_per_s = _limit_per_s(head.headers)
        return ResponseInfo(
            is_signed=find_header(head.headers, _SIGNATURE) is not None,
            not_executed=(
                misplaced
                or find_header(head.headers, _NOT_EXECUTED) is not None
            ),
            is_misdirected=misplaced,
            streams=media.lower().startswith(b'text/event-stream'),
            # A misdirected request was answered by another upstream, whose
            # headers describe that one alone.
            leaving=not misplaced and _is_set(head.headers, _LEAVING),
            backoff_s=_retry_after_s(head),
            limit_per_s=None if misplaced else limit_per_s,
            load=None if misplaced else _load(head.headers),
            unknown_headers=_unknown_headers(
                head.headers,
                has_limit=limit_per_s is not None,
            ),
        )

    def encode_refusal(self, refusal: Refusal) -> LocalResponse:
        """Encode a refusal in the platform's form."""
        entry = CATALOGUE[refusal.reason]
        headers = [(b'Content-Type', b'application/json')]
        if refusal.retry_after is not None:
            # Rounded up, as a caller that retries too early is refused again.
            wait_s = math.ceil(refusal.retry_after * _HUNDREDTHS) / _HUNDREDTHS
            wait = f'{wait_s:.2f}'.encode()
            headers.append((b'Retry-After', wait))
        body = {
            'error': entry.number,
            'reason': refusal.reason.value,
            'text': entry.text,
        }
        phrase = http.HTTPStatus(entry.status).phrase.encode()
        raw = json.dumps(body).encode()
        return LocalResponse(entry.status, phrase, tuple(headers), raw)


def _host(headers: Headers) -> str:
    text = (find_header(headers, b'host') or b'').decode('latin-1').lower()
    return text.partition(':')[0]


def _key(headers: Headers) -> str:
    text = (find_header(headers, _AUTHORIZATION) or b'').decode('latin-1')
    if text.lower().startswith(_SCHEME):
        return text[len(_SCHEME) :].strip()
    return ''


def _deadline_s(headers: Headers) -> float | None:
    deadline = _numbers(headers, _DEADLINE)
    return min(deadline[0], _MAX_DEADLINE_MS) / _MILLI if deadline else None


def _resumes(headers: Headers) -> str:
    """Return the id of the attempt that began a stream, empty without one."""
    if not count_headers(headers, _RESUMES):
        return ''
    request_id = (find_header(headers, _RESUMES) or b'').decode('latin-1')
    if count_headers(headers, _RESUMES) > 1 or not _is_id(request_id):
        raise InvalidHeaderError('Resumes takes one request id')
    return request_id


def _shared_parts(headers: Headers) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last.

    Upstreams decide whether the list is valid, so entries in another form are
    skipped.
    """
    listed = (find_header(headers, _PROMPT_PARTS) or b'').decode('latin-1')
    entries = listed.split(',')[:-1]
    parts = (entry.partition(':')[0].strip() for entry in entries[:_MAX_PARTS])
    return tuple(
        dict.fromkeys(
            part
            for part in parts
            if part.isalnum() and len(part) <= _MAX_PART_CHARS
        ),
    )


def _is_id(text: str) -> bool:
    """Return whether a text can be one request id."""
    return 0 < len(text) <= _MAX_ID_CHARS and not set(text) & _SEPARATORS


def _is_set(headers: Headers, name: bytes) -> bool:
    return find_header(headers, name) == b'1'


def _retry_after_s(head: ResponseHead) -> float:
    text = find_header(head.headers, _RETRY_AFTER)
    if head.status != _SERVICE_UNAVAILABLE or text is None:
        return 0
    try:
        rest_s = float(text)
    except ValueError:
        # An HTTP date or an invalid value.
        return 0
    return min(_MAX_RETRY_AFTER_S, max(0, rest_s))


def _limit_per_s(headers: Headers) -> float | None:
    text = find_header(headers, _LIMIT)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def _load(headers: Headers) -> LoadReport | None:
    """Return the stated load, None if it is missing or not credible."""
    text = find_header(headers, _LOAD)
    if text is None:
        return None
    parts = text.split(b',')
    counts = tuple(map(_count, parts[:_LOAD_COUNTS]))
    if len(counts) < _LOAD_COUNTS or None in counts:
        return None
    slowdown: float | None = None
    if len(parts) > _LOAD_COUNTS:
        slowdown = _slowdown(parts[_LOAD_COUNTS])
        if slowdown is None:
            return None
    running, waiting, slots = (count or 0 for count in counts)
    return LoadReport(running, waiting, slots, slowdown)


def _count(part: bytes) -> int | None:
    try:
        count = int(part)
    except ValueError:
        return None
    return count if 0 <= count <= MAX_REQUESTS else None


def _slowdown(part: bytes) -> float | None:
    try:
        slowdown = float(part) / _HUNDREDTHS
    except ValueError:
        return None
    return slowdown if MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN else None


def _unknown_headers(headers: Headers, *, has_limit: bool) -> tuple[str, ...]:
    """Return unknown header names, and the limit's if it is no number."""
    known = _KNOWN_HEADERS | {_LIMIT} if has_limit else _KNOWN_HEADERS
    names = (name.lower() for name, _ in headers)
    return tuple(
        name.decode('latin-1')
        for name in names
        if name.startswith(_NAMESPACES) and name not in known
    )


def _numbers(headers: Headers, name: bytes) -> tuple[int, ...]:
    text = find_header(headers, name)
    if text is None:
        return ()
    try:
        return tuple(max(0, int(part)) for part in text.split(b','))
    except ValueError as exc:
        raise InvalidHeaderError(f'{name.decode()}: {text!r}') from exc
