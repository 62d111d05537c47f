"""Parsing of the headers in which upstreams signal their state."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_edge.messages import ResponseHead
from tallyhall_platform.headers import PlatformHeaderCodec

_LEAVING = (b'Server-Leaving', b'1')


def _head(status: int, *headers: tuple[bytes, bytes]) -> ResponseHead:
    return ResponseHead(status, b'', headers)


def test_a_response_of_any_status_may_announce_leaving() -> None:
    dialect = PlatformHeaderCodec()
    for status in (200, 404, 500, 503):
        assert dialect.parse_response(_head(status, _LEAVING)).leaving
    assert not dialect.parse_response(_head(200)).leaving
    assert not dialect.parse_response(
        _head(200, (b'Server-Leaving', b'0'))
    ).leaving
    # 421: another upstream has taken over the address.
    assert not dialect.parse_response(_head(421, _LEAVING)).leaving


@pytest.mark.parametrize(
    ('status', 'text', 'rest_s'),
    [
        (503, b'3', 3),
        (503, b'0.25', 0.25),
        (503, b'-1', 0),
        (503, b'Wed, 21 Oct 2015 07:28:00 GMT', 0),
        (503, b'nan', 0),
        (503, b'1e9', 600),
        (200, b'3', 0),
        (429, b'3', 0),
    ],
)
def test_only_a_503_asks_for_a_backoff(
    status: int,
    text: bytes,
    rest_s: float,
) -> None:
    head = _head(status, (b'Retry-After', text))
    assert PlatformHeaderCodec().parse_response(head).backoff_s == rest_s


@given(st.binary(max_size=20))
def test_a_backoff_is_bounded(text: bytes) -> None:
    head = _head(503, (b'Retry-After', text))
    assert 0 <= PlatformHeaderCodec().parse_response(head).backoff_s <= 600


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (b'3.5', 3.5),
        (b'12', 12),
        (b'0', 0),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'many', None),
    ],
)
def test_a_limit_is_a_finite_rate(
    text: bytes,
    limit: float | None,
) -> None:
    dialect = PlatformHeaderCodec()
    for status in (200, 500, 503):
        said = dialect.parse_response(_head(status, (b'Server-Limit', text)))
        assert said.limit_per_s == limit
        assert said.unknown_headers == (
            ('server-limit',) if limit is None else ()
        )
    # 421: another upstream has taken over the address.
    other = dialect.parse_response(_head(421, (b'Server-Limit', text)))
    assert other.limit_per_s is None


def test_unknown_upstream_headers_are_reported() -> None:
    said = PlatformHeaderCodec().parse_response(
        _head(
            200,
            _LEAVING,
            (b'Server-Mood', b'1'),
            (b'X-Tallyhall-Server-Load', b'1,2,3'),
            (b'X-Tallyhall-News', b'1'),
            (b'Date', b'today'),
        ),
    )
    assert said.unknown_headers == ('server-mood', 'x-tallyhall-news')
