"""Token buckets for the rate limits announced by upstreams."""

import random

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.announced_limits import AnnouncedLimit, AnnouncedLimits
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.group import UpstreamGroup
from tallyhall_dispatch.switches import ALL_ENABLED
from tallyhall_dispatch.token_bucket import TokenBucket

from tests.platform.windows import most_in_window

_WINDOW_S = 4.0


def _bucket(per_s: float, part: float, seed: int = 1) -> TokenBucket:
    bucket = TokenBucket(0, random.Random(seed))
    bucket.update_rate(per_s, part, 0)
    return bucket


@given(
    st.floats(0.2, 50),
    st.floats(0.1, 1),
    st.lists(st.floats(0, 1), min_size=1, max_size=200),
)
def test_no_window_exceeds_the_rate_and_the_bucket_capacity(
    per_s: float,
    part: float,
    pauses: list[float],
) -> None:
    bucket = _bucket(per_s, part)
    sent = []
    now: float = 0
    for pause_s in pauses:
        now += pause_s
        if bucket.has_token(now):
            bucket.take_token()
            sent.append((now, 1.0))
    rate = per_s * part
    most = rate * _WINDOW_S + max(1, rate / 2) + 1
    assert most_in_window(sent, _WINDOW_S) <= most


def test_bucket_without_a_part_of_the_limit_has_no_tokens() -> None:
    bucket = _bucket(10, 0)
    assert not bucket.has_token(1000)
    bucket.update_rate(10, 1, 1000)
    assert bucket.has_token(1000.2)


def test_hundreds_of_independent_instances_keep_to_the_limit() -> None:
    buckets = [_bucket(4, 1 / 400, seed) for seed in range(400)]
    sent = 0
    for tick in range(200):
        for bucket in buckets:
            if bucket.has_token(tick / 20):
                bucket.take_token()
                sent += 1
    assert 0.6 * 40 <= sent <= 1.4 * 40


def test_debt_of_other_instances_and_return_of_unused_tokens() -> None:
    bucket = _bucket(1, 1)
    bucket.take_token()
    bucket.take_token()
    assert not bucket.has_token(1)
    bucket.return_token()
    bucket.return_token()
    assert bucket.has_token(1)


def test_canary_may_announce_a_limit() -> None:
    group = UpstreamGroup(ALL_ENABLED, random.Random(1))
    fields = ('svc', '', 1, 'a', 1)
    group.set_upstreams(
        (
            Upstream('old', *fields, leaving=False),
            Upstream('new', *fields, leaving=False, canary=True),
        ),
    )
    group.apply_limits({'new': 2}, 1, 0)
    assert group.has_limits
    assert [view.incarnation for view in group.free_canaries(1)] == ['new']


def test_latest_announcement_applies() -> None:
    limits = AnnouncedLimits()
    assert limits.update('u', AnnouncedLimit(3, 10))
    assert not limits.update('u', AnnouncedLimit(5, 9))
    assert limits.is_superseded('u', AnnouncedLimit(5, 9))
    assert not limits.is_withdrawn('u', 9.5)
    assert limits.is_withdrawn('u', 10.5)
    assert limits.update('u', AnnouncedLimit(None, 11))
    assert not limits.current
    assert not limits.update('u', AnnouncedLimit(3, 10))
    assert not limits.current


def test_few_requests_are_sent_to_an_upstream_that_does_not_answer() -> None:
    bucket = _bucket(4, 1)
    sent = 0
    for step in range(400):
        if bucket.may_send(step / 20, sent):
            bucket.take_token()
            sent += 1
    assert sent == 6
    assert bucket.may_send(20, 0)
