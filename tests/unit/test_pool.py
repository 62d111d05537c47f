"""Admission: limits, tier order, fair sharing, permits and their records."""

import dataclasses

import pytest
from tallyhall_admission.pool import Pool
from tallyhall_admission.upstream import UpstreamInfo
from tallyhall_core.messages import Progress
from tallyhall_core.refusals import Reason

from tests.unit import admission as build


def _train(pool: Pool, seconds: float) -> None:
    """Complete requests so that the estimated run time is this long."""
    for number in range(900, 904):
        request = build.ask(number)
        pool.ask(request, 0)
        pool.done(build.done(request, total_s=seconds), 0)


def test_permits_do_not_exceed_slots() -> None:
    pool = build.pool(slots=2)
    out = [
        message
        for number in range(5)
        for message in pool.ask(build.ask(number), 0)
    ]
    assert build.kinds(out) == ['permit', 'permit']
    out = pool.done(build.done(build.ask(0)), 1)
    assert build.ids(out, 'permit') == [build.ask(2).id]


def test_higher_tier_is_first() -> None:
    pool = build.pool(slots=1)
    pool.ask(build.ask(0, 'batch'), 0)
    for number, tier in enumerate(('batch', 'desk', 'audit'), 1):
        pool.ask(build.ask(number, tier), 0)
    order = []
    for number in (0, 3, 2):
        out = pool.done(build.done(build.ask(number)), 1)
        order += build.ids(out, 'permit')
    assert order == [build.ask(number).id for number in (3, 2, 1)]


def test_workspaces_share_by_tokens() -> None:
    pool = build.pool(slots=1)
    pool.ask(build.ask(0), 0)
    for number in range(1, 7):
        workspace = 'kitchen' if number == 6 else 'foundry'
        pool.ask(build.ask(number, workspace=workspace), 0)
    out = pool.done(build.done(build.ask(0)), 1)
    first = build.ids(out, 'permit')
    out = pool.done(build.done(build.ask(int(first[0][-8:], 16))), 1)
    granted = first + build.ids(out, 'permit')
    # The request of `kitchen` does not wait for the five of `foundry`.
    assert build.ask(6).id in granted


def test_duplicate_request_gets_the_same_permit() -> None:
    pool = build.pool(upstreams=2)
    first = pool.ask(build.ask(0), 0)
    again = pool.ask(build.ask(0), 0.5)
    assert again == first
    assert pool.counts().running == 1


def test_other_holder_of_a_permitted_id_is_refused() -> None:
    pool = build.pool()
    pool.ask(build.ask(0), 0)
    other = build.ask(0)
    object.__setattr__(other, 'holder', 'entry-2.ffffffffffff')
    out = pool.ask(other, 1)
    assert [getattr(one.message, 'reason', '') for one in out] == [
        Reason.takeover_unknown,
    ]


def test_leaving_upstream_gets_no_requests() -> None:
    pool = build.pool(upstreams=2)
    pool.apply_upstreams(
        (
            UpstreamInfo('engine-0', '127.0.0.1:1', leaving=True),
            UpstreamInfo('engine-1', '127.0.0.1:2'),
        ),
    )
    out = [
        message
        for number in range(4)
        for message in pool.ask(build.ask(number), 0)
    ]
    used = {getattr(one.message, 'upstream', '') for one in out}
    assert used == {'engine-1'}


def test_rate_limit_refuses_until_the_bucket_refills() -> None:
    pool = build.pool(slots=50, rate=2)
    out = [
        message
        for number in range(4)
        for message in pool.ask(build.ask(number), 0)
    ]
    assert build.kinds(out) == ['permit', 'permit', 'refused', 'refused']
    assert build.kinds(pool.ask(build.ask(9), 0.6)) == ['permit']


def test_concurrency_limit_does_not_block_other_workspaces() -> None:
    pool = build.pool(slots=50, concurrency=1)
    assert build.kinds(pool.ask(build.ask(0), 0)) == ['permit']
    assert not pool.ask(build.ask(1), 0)
    other = build.ask(2, workspace='kitchen')
    assert build.kinds(pool.ask(other, 0)) == ['permit']
    out = pool.done(build.done(build.ask(0)), 1)
    assert build.ids(out, 'permit') == [build.ask(1).id]


def test_unreachable_deadline_is_refused_immediately() -> None:
    pool = build.pool()
    _train(pool, 4)
    out = pool.ask(build.ask(0, left_s=1), 0)
    assert [getattr(one.message, 'reason', '') for one in out] == [
        Reason.deadline_unreachable,
    ]


def test_lower_tier_is_revoked_for_a_higher_one() -> None:
    pool = build.pool(slots=2)
    _train(pool, 4)
    pool.state.available_upstreams(0)[0].limit.limit = 2
    low = [build.ask(number, 'batch', left_s=20) for number in (0, 1)]
    for asked in low:
        pool.ask(asked, 0)
    out = pool.ask(build.ask(2, 'audit', left_s=4.5), 0)
    assert build.kinds(out) == ['revoke']
    victim = build.ids(out, 'revoke')[0]
    stopped = next(request for request in low if request.id == victim)
    out = pool.done(build.done(stopped), 0.1)
    assert build.ids(out, 'permit') == [build.ask(2).id]


def test_highest_tier_is_shed_only_if_no_lower_one_runs() -> None:
    pool = build.pool(slots=1)
    _train(pool, 4)
    pool.state.available_upstreams(0)[0].limit.limit = 1
    pool.ask(build.ask(0, 'batch', left_s=20), 0)
    refused = []
    for number in range(1, 6):
        out = pool.ask(build.ask(number, 'audit', left_s=6), 0)
        refused += build.ids(out, 'refused')
    assert not refused
    pool.done(build.done(build.ask(0, 'batch')), 0.1)
    out = pool.ask(build.ask(7, 'audit', left_s=6), 0.2)
    assert build.kinds(out)[-1] == 'refused'
    late = pool.ask(build.ask(8, 'batch', left_s=20), 0.3)
    assert build.kinds(late) == ['refused']


def test_duplicate_done_does_not_release_the_next_attempt() -> None:
    pool = build.pool(upstreams=2)
    pool.ask(build.ask(0), 0)
    unsent = dataclasses.replace(build.done(build.ask(0)), ran=False, ok=False)
    pool.done(unsent, 0.1)
    assert build.kinds(pool.ask(build.ask(0, attempt=1), 0.1)) == ['permit']
    pool.done(unsent, 0.2)
    assert pool.counts().running == 1


def test_new_owner_holds_lower_tiers_without_refusing_them() -> None:
    pool = build.pool()
    pool.inherit_holds(0)
    assert build.kinds(pool.ask(build.ask(0, 'audit'), 0.1)) == ['permit']
    assert not pool.ask(build.ask(1, 'batch'), 0.1)
    assert build.ids(pool.tick(2.1), 'permit') == [build.ask(1).id]


def test_delayed_request_of_an_earlier_attempt_is_ignored() -> None:
    pool = build.pool(upstreams=2)
    pool.ask(build.ask(0), 0)
    pool.ask(build.ask(0, attempt=1), 0.1)
    assert not pool.ask(build.ask(0), 0.2)
    done = build.done(build.ask(0, attempt=1))
    pool.done(done, 0.3)
    assert not pool.counts().running


def test_revocation_without_effect_is_repeated() -> None:
    pool = build.pool(slots=1)
    _train(pool, 4)
    pool.state.available_upstreams(0)[0].limit.limit = 1
    pool.ask(build.ask(0, 'batch', left_s=20), 0)
    out = pool.ask(build.ask(1, 'audit', left_s=4.5), 0)
    assert build.kinds(out) == ['revoke']
    assert not build.ids(pool.tick(0.2), 'revoke')
    assert build.ids(pool.tick(0.6), 'revoke') == [build.ask(0).id]


def test_only_the_lowest_tier_is_shed_while_a_home_has_not_reported() -> None:
    pool = build.pool(slots=1)
    _train(pool, 4)
    pool.state.available_upstreams(0)[0].limit.limit = 1
    pool.ask(build.ask(0, 'audit', left_s=20), 0)
    pool.set_unreported_work(exists=True)
    assert not pool.ask(build.ask(1, 'desk', left_s=6), 0)
    out = pool.ask(build.ask(2, 'batch', left_s=6), 0)
    assert build.kinds(out) == ['refused']
    pool.set_unreported_work(exists=False)
    out = pool.ask(build.ask(3, 'desk', left_s=6), 0)
    assert build.kinds(out) == ['refused']


def _fill_with_prefix(pool: Pool) -> str:
    """Fill an upstream by a request with a prefix; return its name."""
    shared = build.ask(0, prefixes=('weekly', 'draft'))
    out = pool.ask(shared, 0)
    return str(getattr(out[0].message, 'upstream', ''))


def test_job_waits_for_an_upstream_with_its_prefix() -> None:
    pool = build.pool(upstreams=2, slots=1)
    warm = _fill_with_prefix(pool)
    again = build.ask(1, prefixes=('weekly', 'draft'))
    assert not pool.ask(again, 0.1)
    out = pool.done(build.done(build.ask(0), upstream=warm), 0.2)
    assert [getattr(one.message, 'upstream', '') for one in out] == [warm]


def test_wait_for_a_cached_prefix_is_limited() -> None:
    pool = build.pool(upstreams=2, slots=1)
    warm = _fill_with_prefix(pool)
    pool.ask(build.ask(1, prefixes=('weekly', 'draft'), left_s=10), 0.1)
    assert not pool.tick(1.5)
    out = pool.tick(1.7)
    assert build.ids(out, 'permit') == [build.ask(1).id]
    assert getattr(out[0].message, 'upstream', '') != warm


def test_job_that_waits_for_its_prefix_does_not_block_others() -> None:
    pool = build.pool(upstreams=2, slots=1)
    _fill_with_prefix(pool)
    pool.ask(build.ask(1, prefixes=('weekly', 'draft')), 0.1)
    out = pool.ask(build.ask(2), 0.2)
    assert build.ids(out, 'permit') == [build.ask(2).id]


@pytest.mark.parametrize(
    ('tier', 'slots'),
    [('batch', 4), ('desk', 2)],
    ids=['lowest tier does not count', 'higher tier counts'],
)
def test_tightest_stream_above_the_lowest_tier_sets_the_limit(
    tier: str,
    slots: int,
) -> None:
    pool = build.pool(slots=4)
    pool.ask(build.ask(0, 'desk', left_s=100), 0)
    pool.ask(build.ask(1, tier, left_s=2), 0)
    pool.progress(Progress(build.SERVICE, 'engine-0', 2, 50, 1), 1)
    assert pool.counts().slots == slots


def test_jobs_with_cached_prefixes_do_not_starve_others() -> None:
    pool = build.pool(upstreams=1, slots=1)
    warm = ('weekly', 'draft')
    pool.ask(build.ask(0, prefixes=warm), 0)
    pool.ask(build.ask(1, prefixes=('another',), left_s=10), 0.1)
    granted = []
    for number in range(2, 8):
        pool.ask(build.ask(number, prefixes=warm, left_s=20), 0.1)
    running = build.ask(0)
    for step in range(1, 8):
        done = build.done(running, total_s=0.5)
        out = pool.done(done, step / 2)
        permitted = build.ids(out, 'permit')[0]
        granted.append(int(permitted[-8:], 16))
        running = build.ask(granted[-1])
    assert granted.index(1) == 3
