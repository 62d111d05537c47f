"""Validation of callers' requests.

The scheduler's parameters are in headers. Bodies of plain calls are passed on
unchanged. An invalid request raises a typed refusal, which states that
nothing was executed.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Mapping
from typing import Any, Literal

import pydantic
from tallyhall_core.content import content_digest
from tallyhall_core.ids import BadRequestIdError, RequestId
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_node.actions import RequestSpec
from tallyhall_table.model import MAX_DEADLINE_S, LimitRow, Table

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
MAX_BLOCKS = 48
MAX_TOKENS = 1_000_000
_DETAIL_CHARS = 200
_BLOCK_HASH_BYTES = 6
_DEFAULT_MAX_TOKENS = 256
_MS_PER_S = 1000
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))

CallKind = Literal['model', 'plain']


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The scheduler's own headers; a missing one is an empty string."""

    workspace: str
    tier: str
    deadline_ms: str
    idempotent: str
    idempotency_key: str
    request_id: str
    hops: int

    @classmethod
    def read(cls, environ: Mapping[str, Any]) -> CallerHeaders:
        """Read the headers from a WSGI environment."""
        hops = environ.get('HTTP_X_TALLYHALL_HOPS', '0')
        return cls(
            environ.get('HTTP_X_TALLYHALL_WORKSPACE', ''),
            environ.get('HTTP_X_TALLYHALL_TIER', ''),
            environ.get('HTTP_X_TALLYHALL_DEADLINE_MS', ''),
            environ.get('HTTP_X_TALLYHALL_IDEMPOTENT', ''),
            environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            environ.get('HTTP_X_TALLYHALL_REQUEST_ID', ''),
            int(hops) if hops.isdigit() else 0,
        )


class Message(pydantic.BaseModel):
    """A chat message; unknown keys are passed on unchanged."""

    role: str
    content: str


class ModelBody(pydantic.BaseModel):
    """Fields of an OpenAI-style request body that the scheduler reads."""

    model: str
    prompt: str | None = None
    messages: tuple[Message, ...] = ()
    max_tokens: int | None = pydantic.Field(None, ge=1, le=MAX_TOKENS)
    stream: bool = False

    @property
    def text(self) -> str:
        """Return the complete prompt."""
        if self.prompt is not None:
            return self.prompt
        return '\n'.join(f'{msg.role}: {msg.content}' for msg in self.messages)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated request.

    body: sent to the upstream. caller_body: as received, for relays.
    """

    kind: CallKind
    method: str
    path: str
    body: bytes
    caller_body: bytes
    content_type: str
    spec: RequestSpec
    request_id: RequestId | None
    idempotency_key: str
    stream: bool
    hops: int


def parse_request_id(text: str) -> RequestId | None:
    """Parse a request id; an empty string gives None.

    Raises RefusedError if the id is malformed.
    """
    if not text:
        return None
    try:
        return RequestId.parse(text)
    except BadRequestIdError as exc:
        raise RefusedError(Refusal.of(Reason.bad_request_id)) from exc


def model_call(
    path: str,
    raw: bytes,
    headers: CallerHeaders,
    table: Table,
) -> Call:
    """Validate a completion request; raise RefusedError if it is invalid."""
    try:
        body = ModelBody.model_validate_json(raw)
    except pydantic.ValidationError as exc:
        fault = exc.errors()[0]
        detail = f'{fault["loc"]}: {fault["msg"]}'
        raise _refusal_error(Reason.bad_request, detail) from exc
    if not body.text:
        raise _refusal_error(Reason.bad_request, 'prompt or messages needed')
    spec = _request_spec(headers, body.model, 'model', table)
    max_tokens = body.max_tokens or _DEFAULT_MAX_TOKENS
    spec = dataclasses.replace(
        spec,
        content=_request_digest(spec, 'POST', path, raw),
        prompt_tokens=max(1, len(body.text) // CHARS_PER_TOKEN),
        max_tokens=max_tokens,
        prefixes=prefix_hashes(body.text),
        idempotent=headers.idempotent != 'false',
    )
    return Call(
        'model',
        'POST',
        path,
        _upstream_body(raw, max_tokens),
        raw,
        'application/json',
        spec,
        parse_request_id(headers.request_id),
        headers.idempotency_key,
        body.stream,
        headers.hops,
    )


def plain_call(
    environ: Mapping[str, Any],
    service: str,
    path: str,
    raw: bytes,
    headers: CallerHeaders,
    table: Table,
) -> Call:
    """Validate a pass-through request; raise RefusedError if it is invalid."""
    spec = _request_spec(headers, service, 'plain', table)
    method = environ['REQUEST_METHOD']
    idempotent = method in _IDEMPOTENT_METHODS
    if headers.idempotent:
        idempotent = headers.idempotent == 'true'
    query = environ.get('QUERY_STRING', '')
    target = f'{path}?{query}' if query else path
    spec = dataclasses.replace(
        spec,
        content=_request_digest(spec, method, target, raw),
        idempotent=idempotent,
    )
    return Call(
        'plain',
        method,
        target,
        raw,
        raw,
        environ.get('CONTENT_TYPE', ''),
        spec,
        parse_request_id(headers.request_id),
        headers.idempotency_key,
        stream=False,
        hops=headers.hops,
    )


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return a hash of each prefix that consists of complete blocks."""
    hashes = []
    chain = hashlib.blake2b(digest_size=_BLOCK_HASH_BYTES)
    blocks = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for block in range(blocks):
        start = block * BLOCK_CHARS
        chain.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)


def _upstream_body(raw: bytes, max_tokens: int) -> bytes:
    fields = json.loads(raw)
    fields['stream'] = True
    fields['max_tokens'] = max_tokens
    fields['stream_options'] = {'include_usage': True}
    return json.dumps(fields).encode()


def _request_spec(
    headers: CallerHeaders,
    service: str,
    kind: CallKind,
    table: Table,
) -> RequestSpec:
    row = _limit_row(headers.workspace, service, kind, table)
    lowest = row.tiers[-1] if row.tiers else ''
    tier_name = headers.tier or lowest
    tier = table.tier(tier_name)
    if tier is None or tier_name not in row.tiers:
        raise _refusal_error(Reason.unknown_tier, f'open: {list(row.tiers)}')
    return RequestSpec(
        headers.workspace,
        service,
        tier_name,
        idempotent=True,
        left_s=_parse_deadline(headers.deadline_ms, tier.deadline_s),
    )


def _request_digest(
    spec: RequestSpec, method: str, target: str, raw: bytes
) -> str:
    where = (spec.service, method, target, spec.workspace)
    return content_digest(*(part.encode() for part in where), raw)


def _limit_row(
    workspace: str,
    service: str,
    kind: CallKind,
    table: Table,
) -> LimitRow:
    if not table.has_workspace(workspace):
        raise _refusal_error(Reason.unknown_workspace, workspace)
    known = table.service(service)
    if known is None or known.kind != kind:
        raise _refusal_error(Reason.unknown_service, service)
    row = table.limit(workspace, service)
    if row is None:
        raise _refusal_error(
            Reason.unknown_service, 'not open to the workspace'
        )
    return row


def _parse_deadline(text: str, default_s: float) -> float:
    if not text:
        return default_s
    try:
        left_s = float(text) / _MS_PER_S
    except ValueError as exc:
        raise _refusal_error(
            Reason.bad_request, 'deadline is no number'
        ) from exc
    if not left_s < MAX_DEADLINE_S:
        raise _refusal_error(Reason.bad_request, f'at most {MAX_DEADLINE_S} s')
    if left_s <= 0:
        raise _refusal_error(Reason.deadline_past, f'{left_s} s')
    return left_s


def _refusal_error(reason: Reason, detail: str) -> RefusedError:
    return RefusedError(Refusal.of(reason, detail=detail[:_DETAIL_CHARS]))
