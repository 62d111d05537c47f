"""Invalid requests are refused with a reason and as not executed."""

import json

import pytest
from tallyhall_core.refusals import Executed, Reason, RefusedError
from tallyhall_gateway.calls import (
    CallerHeaders,
    model_call,
    plain_call,
    prefix_hashes,
)

from tests.unit import admission as build

_VALID_BODY = '{"model": "ledger", "prompt": "hello", "max_tokens": 5}'


def _headers(**changed: str) -> CallerHeaders:
    names = {
        'workspace': 'foundry',
        'tier': 'desk',
        'deadline_ms': '',
        'idempotent': '',
        'idempotency_key': '',
        'request_id': '',
        **changed,
    }
    return CallerHeaders(hops=0, **names)


@pytest.mark.parametrize(
    ('body', 'changed', 'reason'),
    [
        ('', {}, Reason.bad_request),
        ('{', {}, Reason.bad_request),
        ('[]', {}, Reason.bad_request),
        ('{"prompt": "x"}', {}, Reason.bad_request),
        ('{"model": "ledger"}', {}, Reason.bad_request),
        ('{"model": "ledger", "prompt": 5}', {}, Reason.bad_request),
        (
            '{"model": "ledger", "prompt": "x", "max_tokens": 0}',
            {},
            Reason.bad_request,
        ),
        (_VALID_BODY, {'workspace': 'nobody'}, Reason.unknown_workspace),
        (_VALID_BODY, {'workspace': ''}, Reason.unknown_workspace),
        (_VALID_BODY, {'tier': 'gold'}, Reason.unknown_tier),
        ('{"model": "x", "prompt": "x"}', {}, Reason.unknown_service),
        (_VALID_BODY, {'deadline_ms': '-5'}, Reason.deadline_past),
        (_VALID_BODY, {'deadline_ms': '0'}, Reason.deadline_past),
        (_VALID_BODY, {'deadline_ms': 'soon'}, Reason.bad_request),
        (_VALID_BODY, {'deadline_ms': 'nan'}, Reason.bad_request),
        (_VALID_BODY, {'deadline_ms': '1e12'}, Reason.bad_request),
        (_VALID_BODY, {'request_id': 'mine'}, Reason.bad_request_id),
    ],
)
def test_invalid_request_is_refused_as_not_executed(
    body: str,
    changed: dict[str, str],
    reason: Reason,
) -> None:
    with pytest.raises(RefusedError) as caught:
        model_call(
            '/v1/completions',
            body.encode(),
            _headers(**changed),
            build.table(),
        )
    assert caught.value.refusal.reason == reason
    assert caught.value.refusal.executed == Executed.no


def test_plain_call_to_model_service_is_refused() -> None:
    with pytest.raises(RefusedError) as caught:
        plain_call(
            {'REQUEST_METHOD': 'GET'},
            'ledger',
            '/',
            b'',
            _headers(),
            build.table(),
        )
    assert caught.value.refusal.reason == Reason.unknown_service


@pytest.mark.parametrize(
    ('changed', 'left_s'),
    [({}, 10), ({'deadline_ms': '1500'}, 1.5)],
)
def test_deadline_and_upstream_body(
    changed: dict[str, str], left_s: float
) -> None:
    call = model_call(
        '/v1/completions',
        _VALID_BODY.encode(),
        _headers(**changed),
        build.table(),
    )
    assert call.spec.left_s == left_s
    sent = json.loads(call.body)
    assert sent['stream']
    assert sent['max_tokens'] == 5


def test_equal_text_prefixes_have_equal_hashes() -> None:
    shared = 'a' * 600
    first = prefix_hashes(f'{shared}{"b" * 300}')
    second = prefix_hashes(f'{shared}{"c" * 300}')
    assert first[:2] == second[:2]
    assert first[2] != second[2]
