"""Relays requests to the instance that is responsible for their id."""

from __future__ import annotations

from collections.abc import Iterator

import urllib3

from .calls import Call
from .errors import NotSentError, StreamBrokenError, TruncatedResponseError
from .replies import Reply
from .upstream import RESPONSE_ERRORS, UpstreamConnection

MAX_HOPS = 3
_FORWARDED_HEADERS = frozenset(
    (
        'content-type',
        'content-length',
        'retry-after',
        'x-tallyhall-request-id',
    )
)
_READ_BYTES = 65_536
_MS_PER_S = 1000
_READ_GRACE_S = 5.0


def relay(call: Call, request_id: str, http: str) -> Reply:
    """Return the response of another instance.

    Raises NotSentError if that instance cannot be reached. If the connection
    fails later, the response to the caller is aborted as well; the caller may
    then retry with the same id.
    """
    conn = UpstreamConnection(http, call.spec.left_s + _READ_GRACE_S)
    conn.connect()
    path = call.path
    if call.kind == 'plain':
        path = f'/v1/services/{call.spec.service}{call.path}'
    try:
        resp = conn.exchange(
            call.method,
            path,
            call.body if call.kind == 'plain' else call.caller_body,
            _headers(call, request_id),
        )
    except StreamBrokenError as exc:
        conn.close()
        raise TruncatedResponseError(request_id) from exc
    passed = tuple(
        (name, text)
        for name, text in resp.headers.items()
        if name.lower() in _FORWARDED_HEADERS
    )
    return Reply(resp.status, passed, _read_body(conn, resp))


def _headers(call: Call, request_id: str) -> dict[str, str]:
    headers = {
        'content-type': call.content_type,
        'x-tallyhall-workspace': call.spec.workspace,
        'x-tallyhall-tier': call.spec.tier,
        'x-tallyhall-deadline-ms': str(int(call.spec.left_s * _MS_PER_S)),
        'x-tallyhall-idempotent': str(call.spec.idempotent).lower(),
        'x-tallyhall-request-id': request_id,
        'x-tallyhall-hops': str(call.hops + 1),
    }
    if call.idempotency_key:
        headers['idempotency-key'] = call.idempotency_key
    return headers


def _read_body(
    conn: UpstreamConnection,
    resp: urllib3.BaseHTTPResponse,
) -> Iterator[bytes]:
    try:
        while True:
            chunk = resp.read1(_READ_BYTES)
            if not chunk:
                return
            yield chunk
    except RESPONSE_ERRORS as exc:
        raise TruncatedResponseError('relay') from exc
    finally:
        conn.close()


__all__ = ('MAX_HOPS', 'NotSentError', 'relay')
