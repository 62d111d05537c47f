"""Headers reserved for the system are never forwarded from a caller."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_edge.dialect import InvalidHeaderError, UpstreamRequestInfo
from tallyhall_edge.messages import Headers, RequestHead
from tallyhall_platform.headers import PlatformHeaderCodec

from tests.platform.harness import TOKENS, deployment

# Names from the documentation of the platform.
_SYSTEM_HEADERS = (
    'X-Tallyhall-Deadline-Ms',
    'X-Tallyhall-Expect-Instance',
    'X-Tallyhall-Expect-Version',
    'X-Tallyhall-Tenant',
    'X-Tallyhall-Hold',
    'X-Tallyhall-Pin-Ms',
    'X-Tallyhall-Kv-Backup',
    'Kv-From',
    'Kv-Fetch',
    'Authorization',
)
_CALLER_HEADERS = (
    'X-Tallyhall-Request-Id',
    'X-Tallyhall-Model',
    'X-Tallyhall-Token-Counts',
    'X-Tallyhall-Prompt-Prefix',
    'X-Tallyhall-Length-Hint',
    'Accept',
)
# What each request has.
_MINIMUM: Headers = (
    (b'Host', b'shop.example'),
    (b'X-Tallyhall-Request-Id', b'r1'),
)
_FORGED = b'as the caller sent it'
_INFO = UpstreamRequestInfo(1.5, 'i-1', 'shop', None)


def _spell(name: str, upper: list[bool], dash: str) -> bytes:
    letters = [
        letter.upper() if is_upper else letter.lower()
        for letter, is_upper in zip(name, upper, strict=False)
    ]
    return ''.join(letters).replace('-', dash).encode()


_system_header = st.builds(
    _spell,
    st.sampled_from(_SYSTEM_HEADERS),
    st.lists(st.booleans(), min_size=40, max_size=40),
    st.sampled_from('-_'),
)
_caller_header = st.sampled_from(_CALLER_HEADERS).map(str.encode)


@given(
    st.lists(_system_header, min_size=1, max_size=8),
    st.lists(_caller_header, max_size=4, unique=True),
    st.randoms(use_true_random=False),
)
def test_no_spelling_or_repetition_is_forwarded(
    systems: list[bytes],
    callers: list[bytes],
    rng: random.Random,
) -> None:
    sent = [(name, _FORGED) for name in systems]
    sent.extend((name, b'kept') for name in callers)
    rng.shuffle(sent)
    written = _upstream_headers(tuple(sent))
    assert _FORGED not in [text for _, text in written]
    assert {name for name, text in written if text == b'kept'} == set(callers)


def test_no_header_is_written_twice() -> None:
    sent = tuple((name.encode(), _FORGED) for name in _SYSTEM_HEADERS * 2)
    names = [name.lower() for name, _ in _upstream_headers(sent)]
    assert len(names) == len(set(names))


def test_headers_named_by_connection_are_dropped() -> None:
    sent = (
        (b'Connection', b'close'),
        (b'connection', b'X-One, x-two'),
        (b'X-One', b'1'),
        (b'X-Two', b'2'),
        (b'X-Three', b'3'),
    )
    names = [name for name, _ in _upstream_headers(sent)]
    assert b'X-Three' in names
    assert b'X-One' not in names
    assert b'X-Two' not in names


async def test_an_upstream_receives_no_forged_header() -> None:
    async with deployment() as made:
        engine = await made.add_engine('engine-0')
        await made.ready()
        forged = {
            'X_Tallyhall_Hold': 'h-1',
            'X_Tallyhall_Pin_Ms': '4000',
            'X_Tallyhall_Kv_Backup': '10.0.0.1:80',
            'X_Tallyhall_Expect_Version': '3',
            'X_Tallyhall_Tenant': 'another',
            'Kv_From': '10.0.0.1:80/1',
            'Kv_Fetch': '10.0.0.1:80',
        }
        answer = await made.caller().ask('/stream/x', 'r1', **TOKENS, **forged)
        assert answer.status == 200
        seen = engine.ran[0].headers
        for name in forged:
            wire = name.replace('_', '-').lower()
            if wire != 'x-tallyhall-tenant':
                assert wire not in seen
        assert seen['x-tallyhall-tenant'] == 'shop'


def _upstream_headers(sent: Headers) -> Headers:
    head = RequestHead(b'POST', b'/stream/x', sent)
    return PlatformHeaderCodec().upstream_headers(head, 5, _INFO)


@pytest.mark.parametrize(
    ('listed', 'parts'),
    [
        ('5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('a:1,b:2', ('a',)),
        ('a:1', ()),
        ('', ()),
        ('a:1,a:1,b:1', ('a',)),
        (',:3,no id,a:1,own', ('a',)),
        (f'{"f" * 99}:1,a:1,b:1', ('a',)),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(
    listed: str, parts: tuple[str, ...]
) -> None:
    assert _parse_parts(listed) == parts


def test_the_number_of_parts_of_a_prompt_is_bounded() -> None:
    listed = ','.join(f'{number}:1' for number in range(5000))
    assert len(_parse_parts(listed)) < 100


def _parse_parts(listed: str) -> tuple[str, ...]:
    headers = (
        (b'Host', b'shop.example'),
        (b'X-Tallyhall-Request-Id', b'r1'),
        (b'X-Tallyhall-Prompt-Prefix', listed.encode()),
    )
    head = RequestHead(b'POST', b'/x/', headers)
    return PlatformHeaderCodec().parse_request(head).parts


@pytest.mark.parametrize('counts', [b'4294967296,1', b'1,4294967296'])
def test_token_counts_that_instances_cannot_exchange_are_refused(
    counts: bytes,
) -> None:
    headers = ((b'X-Tallyhall-Token-Counts', counts), *_MINIMUM)
    with pytest.raises(InvalidHeaderError, match='token count'):
        PlatformHeaderCodec().parse_request(RequestHead(b'POST', b'/', headers))


def test_distant_deadline_is_bounded() -> None:
    headers = ((b'X-Tallyhall-Deadline-Ms', b'9' * 30), *_MINIMUM)
    head = RequestHead(b'POST', b'/', headers)
    assert PlatformHeaderCodec().parse_request(head).deadline_s == 86_400
