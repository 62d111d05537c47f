"""Passing a caller's request on to the instance that holds its id."""

from __future__ import annotations

from collections.abc import Iterator

import urllib3

from .calls import Call
from .errors import CutOffError, NotSentError, StreamBrokenError
from .replies import Reply
from .upstream import BROKEN_ERRORS, UpstreamCall

MAX_HOPS = 3
_PASSED_HEADERS = frozenset(
    (
        'content-type',
        'content-length',
        'retry-after',
        'x-tallyhall-request-id',
    )
)
_READ_BYTES = 65_536
_MILLI = 1000
_GRACE_S = 5.0


def relay(call: Call, request_id: str, http: str) -> Reply:
    """Return the other instance's answer; raise NotSentError.

    A relay that breaks later is broken towards the caller as well, who may
    ask again with the same id.
    """
    conn = UpstreamCall(http, call.spec.left_s + _GRACE_S)
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
        raise CutOffError(request_id) from exc
    passed = tuple(
        (name, text)
        for name, text in resp.headers.items()
        if name.lower() in _PASSED_HEADERS
    )
    return Reply(resp.status, passed, _body(conn, resp))


def _headers(call: Call, request_id: str) -> dict[str, str]:
    headers = {
        'content-type': call.content_type,
        'x-tallyhall-workspace': call.spec.workspace,
        'x-tallyhall-tier': call.spec.tier,
        'x-tallyhall-deadline-ms': str(int(call.spec.left_s * _MILLI)),
        'x-tallyhall-idempotent': str(call.spec.idempotent).lower(),
        'x-tallyhall-request-id': request_id,
        'x-tallyhall-hops': str(call.hops + 1),
    }
    if call.idempotency_key:
        headers['idempotency-key'] = call.idempotency_key
    return headers


def _body(
    conn: UpstreamCall,
    resp: urllib3.BaseHTTPResponse,
) -> Iterator[bytes]:
    try:
        while True:
            part = resp.read1(_READ_BYTES)
            if not part:
                return
            yield part
    except BROKEN_ERRORS as exc:
        raise CutOffError('relay') from exc
    finally:
        conn.close()


__all__ = ('MAX_HOPS', 'NotSentError', 'relay')
