"""Admission: limits, order, fairness, permits and their memory."""

import dataclasses

import pytest
from tallyhall_admission.pool import Pool
from tallyhall_admission.upstream import UpstreamInfo
from tallyhall_core.messages import Progress
from tallyhall_core.refusals import Reason

from tests.unit import admission as build


def _teach(pool: Pool, seconds: float) -> None:
    """Let the pool learn that a request takes this long."""
    for number in range(900, 904):
        request = build.ask(number)
        pool.ask(request, 0)
        pool.done(build.done(request, total_s=seconds), 0)


def test_no_more_than_the_slots() -> None:
    pool = build.pool(slots=2)
    out = [
        message
        for number in range(5)
        for message in pool.ask(build.ask(number), 0)
    ]
    assert build.kinds(out) == ['permit', 'permit']
    out = pool.done(build.done(build.ask(0)), 1)
    assert build.ids(out, 'permit') == [build.ask(2).id]


def test_higher_tier_goes_first() -> None:
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
    # The one request of `kitchen` does not wait behind five of `foundry`.
    assert build.ask(6).id in granted


def test_repeated_ask_gets_the_same_permit() -> None:
    pool = build.pool(upstreams=2)
    first = pool.ask(build.ask(0), 0)
    again = pool.ask(build.ask(0), 0.5)
    assert again == first
    assert pool.counts().running == 1


def test_another_holder_never_gets_a_permit() -> None:
    pool = build.pool()
    pool.ask(build.ask(0), 0)
    other = build.ask(0)
    object.__setattr__(other, 'holder', 'entry-2.ffffffffffff')
    out = pool.ask(other, 1)
    assert [getattr(one.message, 'reason', '') for one in out] == [
        Reason.takeover_unknown,
    ]


def test_leaving_upstream_gets_nothing_new() -> None:
    pool = build.pool(upstreams=2)
    pool.take_instances(
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


def test_rate_is_refused_with_a_time_to_come_back() -> None:
    pool = build.pool(slots=50, rate=2)
    out = [
        message
        for number in range(4)
        for message in pool.ask(build.ask(number), 0)
    ]
    assert build.kinds(out) == ['permit', 'permit', 'refused', 'refused']
    assert build.kinds(pool.ask(build.ask(9), 0.6)) == ['permit']


def test_concurrency_of_a_row_does_not_block_others() -> None:
    pool = build.pool(slots=50, concurrency=1)
    assert build.kinds(pool.ask(build.ask(0), 0)) == ['permit']
    assert not pool.ask(build.ask(1), 0)
    other = build.ask(2, workspace='kitchen')
    assert build.kinds(pool.ask(other, 0)) == ['permit']
    out = pool.done(build.done(build.ask(0)), 1)
    assert build.ids(out, 'permit') == [build.ask(1).id]


def test_hopeless_deadline_is_refused_at_once() -> None:
    pool = build.pool()
    _teach(pool, 4)
    out = pool.ask(build.ask(0, left_s=1), 0)
    assert [getattr(one.message, 'reason', '') for one in out] == [
        Reason.deadline_unreachable,
    ]


def test_lower_tier_is_stopped_for_a_higher_one() -> None:
    pool = build.pool(slots=2)
    _teach(pool, 4)
    pool.roster.open_upstreams(0)[0].limit.limit = 2
    low = [build.ask(number, 'batch', left_s=20) for number in (0, 1)]
    for asked in low:
        pool.ask(asked, 0)
    out = pool.ask(build.ask(2, 'audit', left_s=4.5), 0)
    assert build.kinds(out) == ['revoke']
    victim = build.ids(out, 'revoke')[0]
    stopped = next(request for request in low if request.id == victim)
    out = pool.done(build.done(stopped), 0.1)
    assert build.ids(out, 'permit') == [build.ask(2).id]


def test_top_tier_is_shed_only_when_no_lower_runs() -> None:
    pool = build.pool(slots=1)
    _teach(pool, 4)
    pool.roster.open_upstreams(0)[0].limit.limit = 1
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


def test_a_repeated_return_does_not_free_the_next_attempt() -> None:
    pool = build.pool(upstreams=2)
    pool.ask(build.ask(0), 0)
    unsent = dataclasses.replace(build.done(build.ask(0)), ran=False, ok=False)
    pool.done(unsent, 0.1)
    assert build.kinds(pool.ask(build.ask(0, attempt=1), 0.1)) == ['permit']
    pool.done(unsent, 0.2)
    assert pool.counts().running == 1


def test_a_new_owner_holds_lower_tiers_back_but_refuses_none() -> None:
    pool = build.pool()
    pool.inherit_promises(0)
    assert build.kinds(pool.ask(build.ask(0, 'audit'), 0.1)) == ['permit']
    assert not pool.ask(build.ask(1, 'batch'), 0.1)
    assert build.ids(pool.tick(2.1), 'permit') == [build.ask(1).id]


def test_a_late_ask_of_an_earlier_attempt_frees_nothing() -> None:
    pool = build.pool(upstreams=2)
    pool.ask(build.ask(0), 0)
    pool.ask(build.ask(0, attempt=1), 0.1)
    assert not pool.ask(build.ask(0), 0.2)
    done = build.done(build.ask(0, attempt=1))
    pool.done(done, 0.3)
    assert not pool.counts().running


def test_a_lost_revocation_is_repeated() -> None:
    pool = build.pool(slots=1)
    _teach(pool, 4)
    pool.roster.open_upstreams(0)[0].limit.limit = 1
    pool.ask(build.ask(0, 'batch', left_s=20), 0)
    out = pool.ask(build.ask(1, 'audit', left_s=4.5), 0)
    assert build.kinds(out) == ['revoke']
    assert not build.ids(pool.tick(0.2), 'revoke')
    assert build.ids(pool.tick(0.6), 'revoke') == [build.ask(0).id]


def test_nothing_but_the_lowest_tier_is_shed_while_a_home_is_silent() -> None:
    pool = build.pool(slots=1)
    _teach(pool, 4)
    pool.roster.open_upstreams(0)[0].limit.limit = 1
    pool.ask(build.ask(0, 'audit', left_s=20), 0)
    pool.set_blind(blind=True)
    assert not pool.ask(build.ask(1, 'desk', left_s=6), 0)
    out = pool.ask(build.ask(2, 'batch', left_s=6), 0)
    assert build.kinds(out) == ['refused']
    pool.set_blind(blind=False)
    out = pool.ask(build.ask(3, 'desk', left_s=6), 0)
    assert build.kinds(out) == ['refused']


def _warm(pool: Pool) -> str:
    """Let one upstream get a prefix and be full; return its name."""
    shared = build.ask(0, prefixes=('weekly', 'draft'))
    out = pool.ask(shared, 0)
    return str(getattr(out[0].message, 'upstream', ''))


def test_a_job_waits_for_the_upstream_that_has_its_prefix() -> None:
    pool = build.pool(upstreams=2, slots=1)
    warm = _warm(pool)
    again = build.ask(1, prefixes=('weekly', 'draft'))
    assert not pool.ask(again, 0.1)
    out = pool.done(build.done(build.ask(0), upstream=warm), 0.2)
    assert [getattr(one.message, 'upstream', '') for one in out] == [warm]


def test_it_does_not_wait_for_long() -> None:
    pool = build.pool(upstreams=2, slots=1)
    warm = _warm(pool)
    pool.ask(build.ask(1, prefixes=('weekly', 'draft'), left_s=10), 0.1)
    assert not pool.tick(1.5)
    out = pool.tick(1.7)
    assert build.ids(out, 'permit') == [build.ask(1).id]
    assert getattr(out[0].message, 'upstream', '') != warm


def test_others_go_past_a_job_that_waits_for_its_prefix() -> None:
    pool = build.pool(upstreams=2, slots=1)
    _warm(pool)
    pool.ask(build.ask(1, prefixes=('weekly', 'draft')), 0.1)
    out = pool.ask(build.ask(2), 0.2)
    assert build.ids(out, 'permit') == [build.ask(2).id]


@pytest.mark.parametrize(
    ('tier', 'slots'),
    [('batch', 4), ('desk', 2)],
    ids=['a lower tier holds nobody off', 'its own tier does'],
)
def test_the_tightest_stream_but_of_the_lowest_tier_sets_the_limit(
    tier: str,
    slots: int,
) -> None:
    pool = build.pool(slots=4)
    pool.ask(build.ask(0, 'desk', left_s=100), 0)
    pool.ask(build.ask(1, tier, left_s=2), 0)
    pool.progress(Progress(build.SERVICE, 'engine-0', 2, 50, 1), 1)
    assert pool.counts().slots == slots


def test_jobs_with_warm_prefixes_do_not_go_past_one_for_ever() -> None:
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
