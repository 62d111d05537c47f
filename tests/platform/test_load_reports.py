"""Load reports of upstreams: decoding, validity and effect on decisions."""

import asyncio
import random
from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.load_reports import LoadReport, UpstreamLoads
from tallyhall_dispatch.pool import Decision, GrantDecision, ServicePool
from tallyhall_dispatch.switches import ALL_ENABLED
from tallyhall_dispatch.usual_time import UsualTime, moving_average
from tallyhall_edge.messages import ResponseHead
from tallyhall_platform.headers import PlatformHeaderCodec

from tests.platform.harness import HOST, TOKENS, deployment, until

_USUAL = LoadReport(1, 0, 4, 1)
_SLOWED = LoadReport(1, 0, 4, 2.5)
_EVENT_TOKENS = 5
_RAN = RunReport(AttemptOutcome.answered, 0.4, 0.09, 20, 0.3, 0.02)


def _upstream(name: str, slots: int = 4, service: str = 'svc') -> Upstream:
    return Upstream(name, service, '127.0.0.1', 1, 'a', slots, leaving=False)


def _job(key: str, now: float, **changes: object) -> Job:
    job = Job(
        key,
        'svc',
        'a',
        0,
        2000,
        100,
        asked_at=now,
        due_at=now + 2,
        reject_at=now + 4,
    )
    return msgspec.structs.replace(job, **changes)


def _loads(*names: str) -> UpstreamLoads:
    loads = UpstreamLoads()
    for name in names:
        loads.add('svc', name)
    return loads


class _Service:
    """A pool with the reports that it receives."""

    def __init__(
        self,
        upstreams: Iterable[Upstream],
        event_tokens: int = _EVENT_TOKENS,
        seed: int = 1,
        *,
        enabled: bool = True,
    ) -> None:
        """Create a pool of these upstreams."""
        self.loads = UpstreamLoads()
        switches = msgspec.structs.replace(ALL_ENABLED, load_reports=enabled)
        self.pool = ServicePool(
            'svc', event_tokens, random.Random(seed), switches, self.loads
        )
        self.pool.set_upstreams(upstreams)

    def run(self, name: str, report: RunReport, now: float) -> None:
        """Let a job run on an upstream, and end with this report."""
        view = self.pool.views[name]
        job = _job(f'run on {name}', now - report.total_s)
        view.grant(job, now - report.total_s)
        view.finish(job.key, report, now)

    def grant(self, key: str, now: float) -> str:
        """Queue a job; return the upstream that it gets, empty if none."""
        self.pool.enqueue(_job(key, now))
        return self.granted(now).get(key, '')

    def granted(self, now: float) -> dict[str, str]:
        """Return the upstreams of the jobs that start now."""
        return {
            decision.key: decision.upstream.name
            for decision in self.pool.decide(now)
            if isinstance(decision, GrantDecision)
        }


# -- header


def _decoded(text: bytes, status: int = 200) -> LoadReport | None:
    headers = ((b'X-Tallyhall-Server-Load', text),)
    head = ResponseHead(status, b'', headers)
    return PlatformHeaderCodec().parse_response(head).load


@pytest.mark.parametrize(
    ('text', 'report'),
    [
        (b'3,0,4', LoadReport(3, 0, 4)),
        (b'3,1,4,100', LoadReport(3, 1, 4, 1)),
        (b' 3, 1, 4, 250 ', LoadReport(3, 1, 4, 2.5)),
        (b'3,1,4,20', LoadReport(3, 1, 4, 0.2)),
        (b'3,1,4,2000', LoadReport(3, 1, 4, 20)),
        (b'3,1,4,112.5', LoadReport(3, 1, 4, 1.125)),
        (b'10000,0,0,100', LoadReport(10_000, 0, 0, 1)),
        # Additional figures of later versions.
        (b'3,1,4,100,7,idle', LoadReport(3, 1, 4, 1)),
    ],
)
def test_load_is_decoded(text: bytes, report: LoadReport) -> None:
    for status in (200, 500, 503):
        assert _decoded(text, status) == report
    # 421: another upstream has taken over the address.
    assert _decoded(text, 421) is None


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b',,',
        b'3',
        b'3,1',
        b'a,1,4',
        b'3,1.5,4',
        b'-1,0,4,100',
        b'10001,0,4',
        b'1' * 5000 + b',0,4',
        b'3,1,4,',
        b'3,1,4,fast',
        b'3,1,4,nan',
        b'3,1,4,inf',
        b'3,1,4,-100',
        b'3,1,4,0',
        b'3,1,4,19',
        b'3,1,4,2001',
        b'3;1;4;100',
    ],
)
def test_load_that_is_not_credible_gives_no_report(text: bytes) -> None:
    assert _decoded(text) is None


@given(st.binary(max_size=40))
def test_any_value_of_the_header_is_accepted_or_ignored(text: bytes) -> None:
    """A garbled header must not fail the response that carries it."""
    report = _decoded(text)
    if report is not None:
        counts = (report.running, report.waiting, report.slots)
        assert all(0 <= count <= 10_000 for count in counts)
        assert report.slowdown is None or 0.2 <= report.slowdown <= 20


async def _respond_busy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(
        b'HTTP/1.1 503 Busy\r\nX-Tallyhall-Server-Load: 4,2,4,250\r\n'
        b'X-Tallyhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    )
    await writer.drain()
    writer.close()


async def test_report_in_a_response_reaches_the_scheduler() -> None:
    """Guards the path from the wire to the state that decisions use."""
    server = await asyncio.start_server(_respond_busy, HOST, 0)
    async with server, deployment() as made:
        port = server.sockets[0].getsockname()[1]
        made.register('engine-0', f'{HOST}:{port}')
        await made.ready()
        loads = made.instances[0]._dispatcher.upstream_loads  # noqa: SLF001
        now = asyncio.get_running_loop().time
        asked = asyncio.create_task(
            made.caller().ask('/stream/x', 'r1', **TOKENS)
        )
        await until(lambda: any(loads.fresh(now())))
        _, report, received_at = next(iter(loads.fresh(now())))
        assert report == LoadReport(4, 2, 4, 2.5)
        assert 0 <= now() - received_at < 1
        await asked


# -- validity


def test_slowdown_decays_linearly_to_unknown() -> None:
    loads = _loads('u', 'other')
    assert loads.slowdown('u', 9) == 1
    loads.record('u', _SLOWED, 10)
    assert loads.slowdown('u', 10) == 2.5
    assert loads.slowdown('u', 10.25) == pytest.approx(1.75)
    assert loads.slowdown('u', 10.5) == 1
    assert loads.slowdown('u', 99) == 1
    assert loads.slowdown('other', 10) == 1


def test_report_received_in_the_future_has_no_greater_effect() -> None:
    """The age that another instance states may be wrong."""
    loads = _loads('u')
    loads.record('u', _SLOWED, 11)
    assert loads.slowdown('u', 10) == 2.5


def test_late_and_out_of_order_reports_do_not_replace_newer_ones() -> None:
    loads = _loads('u')
    loads.record('u', _USUAL, 10.1)
    loads.record('u', _SLOWED, 10)
    assert loads.slowdown('u', 10.1) == 1
    loads.record('u', _SLOWED, 10.2)
    assert loads.slowdown('u', 10.2) == 2.5


def test_understated_slowdown_counts_as_the_usual_time() -> None:
    loads = _loads('u')
    loads.record('u', LoadReport(1, 0, 4, 0.2), 10)
    assert loads.slowdown('u', 10) == 1


def test_fresh_reports_are_those_of_slowdowns_in_effect() -> None:
    loads = _loads('old', 'new', 'plain')
    loads.record('old', _SLOWED, 10)
    loads.record('new', _USUAL, 10.4)
    loads.record('plain', LoadReport(1, 0, 4), 10.4)
    assert list(loads.fresh(10.5)) == [('new', _USUAL, 10.4)]


def test_nothing_is_kept_of_upstreams_that_are_gone() -> None:
    """Entries must not accumulate over the restarts of upstreams."""
    service = _Service([_upstream('a'), _upstream('b')])
    for name in 'ab':
        service.loads.record(name, _SLOWED, 10)
    service.pool.set_upstreams([_upstream('b')])
    assert [name for name, _, _ in service.loads.fresh(10)] == ['b']
    service.pool.ignore_upstream('b')
    # A response that was under way when its upstream was removed.
    service.loads.record('b', _SLOWED, 10)
    assert not list(service.loads.fresh(10))


def _duration_s(mean_s: float, interval_s: float) -> float:
    """Return for how long reports are used after 200 s of slowdowns.

    Ten upstreams alternate between slowed and usual and report at random
    times.
    """
    rng = random.Random(1)
    loads = UpstreamLoads()
    for name in 'abcdefghij':
        load = loads.add('svc', name)
        slowed = False
        changes_at: float = 0
        now: float = 0
        while now < 200:
            now += rng.expovariate(1 / interval_s)
            while changes_at <= now:
                slowed = not slowed
                usual_s = mean_s if slowed else 5 * mean_s
                changes_at += rng.expovariate(1 / usual_s)
            load.record(_SLOWED if slowed else _USUAL, now)
    load = loads.add('svc', 'probe')
    load.record(_SLOWED, 1000)
    ages_s = [number / 100 for number in range(1, 1000)]
    return next(age for age in ages_s if not load.is_fresh(1000 + age))


@pytest.mark.parametrize('mean_s', [0.3, 0.6, 2])
def test_duration_of_slowdowns_is_learned(mean_s: float) -> None:
    """A report must not be used for longer than slowdowns last."""
    learned_s = _duration_s(mean_s, 0.1)
    assert 0.6 * mean_s <= learned_s <= 1.6 * mean_s


def test_duration_is_kept_if_reports_are_too_far_apart() -> None:
    """An instance that decides alone sees an upstream once in seconds."""
    assert _duration_s(0.6, 8) <= 0.7


def test_frozen_report_does_not_extend_the_duration() -> None:
    loads = _loads('frozen', 'probe')
    for step in range(500):
        loads.record('frozen', _SLOWED, step / 10)
    loads.record('probe', _SLOWED, 60)
    assert loads.slowdown('probe', 60.5) == 1


# -- speed


def test_slowed_upstream_is_avoided_while_its_report_is_fresh() -> None:
    service = _Service([_upstream('a', 40), _upstream('b', 40)])
    service.loads.record('a', _SLOWED, 10)
    service.loads.record('b', _USUAL, 10)
    assert {service.grant(f'{one}', 10) for one in range(8)} == {'b'}
    # The effect has expired; b runs more jobs than a.
    assert service.grant('later', 10.6) == 'a'


def test_temporary_slowdown_does_not_change_the_learned_speed() -> None:
    """After it, the upstream is as good as before.

    Without reports, the time of the slowed runs was learned as the speed of the
    upstream, and it was avoided for as long as others had free slots.
    """
    slow = RunReport(AttemptOutcome.answered, 1, 0.2, 20, 0.75, 0.05)
    chosen = {}
    for enabled in (True, False):
        service = _Service(
            [_upstream('a', 40), _upstream('b', 40)], enabled=enabled
        )
        for number in range(10):
            now = 2.0 * number
            service.run('a', _RAN, now)
            service.run('b', _RAN, now)
        for number in range(10):
            now = 30 + 2.0 * number
            # Reports arrive during the whole run.
            view = service.pool.views['a']
            job = _job('slowed', now)
            service.loads.record('a', _SLOWED, now)
            view.grant(job, now)
            service.loads.record('a', _SLOWED, now + 1)
            view.finish('slowed', slow, now + 1)
        names = []
        for number in range(20):
            names.append(service.grant(f'{number}', 60))
            # A pending prefill would count against the upstream.
            service.pool.record_first_byte(f'{number}')
        chosen[enabled] = names.count('a')
    assert 5 <= chosen[True] <= 15
    assert not chosen[False]


def test_permanently_slow_upstream_that_reports_the_usual_time() -> None:
    """Its learned speed counts: a report of 100 does not attract requests."""
    slow = RunReport(AttemptOutcome.answered, 1.2, 0.25, 20, 0.9, 0.05)
    service = _Service([_upstream('slow', 40), _upstream('usual', 40)])
    for number in range(10):
        now = 2.0 * number
        for name, ran in (('slow', slow), ('usual', _RAN)):
            service.run(name, ran, now)
            service.loads.record(name, _USUAL, now)
    service.loads.record('slow', LoadReport(0, 0, 4, 0.2), 30)
    assert {service.grant(f'{one}', 30) for one in range(10)} == {'usual'}


def test_overstated_slowdown_does_not_attract_requests() -> None:
    """Not even when the report has expired.

    The measured times were divided by 20, so that the upstream looked 20 times
    as fast as the others and its slots seemed to become free as often.
    """
    service = _Service([_upstream('liar', 40), _upstream('usual', 40)])
    for number in range(30):
        now = 2.0 * number
        for name, slowdown in (('liar', 20), ('usual', 1)):
            load = LoadReport(1, 0, 40, slowdown)
            service.loads.record(name, load, now)
            service.run(name, _RAN, now)
    names = []
    for number in range(20):
        names.append(service.grant(f'{number}', 90))
        service.pool.record_first_byte(f'{number}')
    assert 5 <= names.count('liar') <= 15
    rate = service.pool.upstreams.forecast(91).rate
    assert rate == pytest.approx(80 / 0.4, rel=0.1)


def test_upstream_that_becomes_slower_for_good_is_learned() -> None:
    """Its best time must not hide that, nor count for ever."""
    usual = UsualTime()
    for _ in range(20):
        usual.record(0.1, 1)
    for _ in range(60):
        usual.record(0.3, 1)
    assert usual.usual_s == pytest.approx(0.3, rel=0.01)
    # 0.3 now is the time under a slowdown, but was also the usual time.
    usual.record(0.3, 2.5)
    assert usual.usual_s == pytest.approx(0.3, rel=0.01)


@given(st.lists(st.floats(0.001, 10), min_size=1, max_size=50))
def test_usual_time_without_slowdowns_is_the_moving_average(
    times: list[float],
) -> None:
    """Services that report no slowdowns must decide as before."""
    usual = UsualTime()
    average: float | None = None
    for time_s in times:
        usual.record(time_s, 1)
        average = moving_average(average, time_s)
    assert usual.usual_s == average


def test_forecast_counts_slowed_upstreams() -> None:
    service = _Service([_upstream('a')])
    service.run('a', _RAN, 1)
    usual = service.pool.upstreams.forecast(9)
    assert usual.rate == pytest.approx(4 / 0.4)
    service.loads.record('a', _SLOWED, 10)
    slowed = service.pool.upstreams.forecast(10)
    assert slowed.rate == pytest.approx(usual.rate / 2.5)
    assert slowed.token_s == pytest.approx(usual.token_s * 2.5)


def test_instances_do_not_all_choose_the_same_upstream() -> None:
    """Herd effect: all have just received that these are as fast as usual."""
    chosen = set()
    for seed in range(20):
        service = _Service(
            [_upstream(f'u{one}') for one in range(5)], seed=seed
        )
        service.loads.record('u0', _SLOWED, 10)
        for number in range(1, 5):
            service.loads.record(f'u{number}', _USUAL, 10)
        chosen.add(service.grant('job', 10))
    assert chosen == {'u1', 'u2', 'u3', 'u4'}


# -- runs that are not known


def _free(service: _Service, now: float) -> int:
    return service.pool.upstreams.free_slots(now)


def test_runs_that_only_the_upstream_knows_occupy_slots() -> None:
    """Instances that are cut off or have terminated left them there."""
    service = _Service([_upstream('a')])
    assert service.grant('known', 10) == 'a'
    service.loads.record('a', LoadReport(3, 0, 4, 1), 10)
    assert _free(service, 10) == 1
    assert service.grant('fills it', 10.1) == 'a'
    assert not service.grant('waits', 10.1)
    # The report expires.
    assert service.granted(10.6) == {'waits': 'a'}


def test_known_runs_that_end_do_not_become_unknown() -> None:
    """Also if the report is older than the news of their end."""
    service = _Service([_upstream('a')])
    for number in range(3):
        service.grant(f'{number}', 10)
    service.loads.record('a', LoadReport(3, 0, 4, 1), 10.1)
    for number in range(3):
        service.pool.finish(f'{number}', _RAN, 10.2)
    assert _free(service, 10.2) == 4
    # Received by another instance before they ended.
    service.loads.record('a', LoadReport(3, 0, 4, 1), 10.15)
    assert _free(service, 10.3) == 4


def test_runs_that_end_while_a_report_is_under_way_are_known() -> None:
    """The news of an end may be faster than a response written before it."""
    service = _Service([_upstream('a')])
    service.loads.record('a', _USUAL, 9)
    service.grant('ends', 10)
    service.pool.finish('ends', _RAN, 10.2)
    service.loads.record('a', LoadReport(1, 0, 4, 1), 10.21)
    assert _free(service, 10.21) == 4
    service.loads.record('a', LoadReport(1, 0, 4, 1), 10.4)
    assert _free(service, 10.4) == 3


def test_runs_of_a_terminated_instance_occupy_slots() -> None:
    service = _Service([_upstream('a')])
    for number in range(3):
        service.grant(f'gone/{number}', 10)
    service.loads.record('a', LoadReport(3, 0, 4, 1), 10)
    service.pool.remove_jobs('gone/')
    assert _free(service, 10.1) == 4
    service.loads.record('a', LoadReport(3, 0, 4, 1), 10.1)
    assert _free(service, 10.1) == 1


def test_new_owner_does_not_count_the_runs_of_its_fleet_twice() -> None:
    """It learns of reports and of running jobs in any order."""
    service = _Service([_upstream('a')])
    service.loads.record('a', LoadReport(2, 0, 4, 1), 10)
    assert _free(service, 10) == 2
    for number in range(2):
        service.pool.add_running(_job(f'{number}', 9.9), 'a')
    assert _free(service, 10) == 2


def test_upstream_that_always_reports_to_be_full_stays_in_use() -> None:
    """A wrong report must not exclude an upstream for good."""
    service = _Service([_upstream('a')])
    for number in range(20):
        now = 10 + number / 10
        service.loads.record('a', LoadReport(10_000, 0, 4, 1), now)
        assert service.grant(f'{number}', now) == 'a'
        service.pool.finish(f'{number}', _RAN, now)


def test_instance_that_decides_alone_keeps_its_share() -> None:
    """The runs of the others fill their own shares of the slots."""
    service = _Service([_upstream('a')])
    service.pool.apply_share(0.25)
    service.loads.record('a', LoadReport(2, 0, 4, 1), 10)
    assert _free(service, 10) == 1


def test_no_run_is_unknown_where_each_instance_grants_slots() -> None:
    """The runs of other instances are not known to this one there."""
    service = _Service([_upstream('a')], event_tokens=0)
    service.loads.record('a', LoadReport(4, 0, 4, 1), 10)
    assert _free(service, 10) == 4


# -- services without slowdowns


def _decided(
    seed: int, reports: bool, figures: tuple[float | None, ...]
) -> list[Decision]:
    """Return the decisions for a random load with or without reports."""
    rng = random.Random(seed)
    service = _Service([_upstream(f'u{one}', 2) for one in range(3)])
    running: dict[str, str] = {}
    decided: list[Decision] = []
    now: float = 0
    for number in range(120):
        now += rng.random() * 0.1
        load = LoadReport(
            rng.randrange(9), rng.randrange(9), 2, rng.choice(figures)
        )
        name = f'u{rng.randrange(3)}'
        if reports:
            service.loads.record(name, load, now)
        # In the last part nothing arrives, so that all jobs get a decision.
        if number < 80 and rng.random() < 0.6:
            job = _job(f'j{number}', now, due_at=now + rng.random())
            service.pool.enqueue(job)
        if running and (number >= 80 or rng.random() < 0.5):
            ended = rng.choice(sorted(running))
            running.pop(ended)
            total_s = rng.random()
            ran = RunReport(
                AttemptOutcome.answered, total_s, 0.1, 9, total_s / 2
            )
            service.pool.finish(ended, ran, now)
        for decision in service.pool.decide(now):
            decided.append(decision)
            if isinstance(decision, GrantDecision):
                running[decision.key] = decision.upstream.name
        used = list(running.values())
        assert all(used.count(one) <= 2 for one in used)
    assert not service.pool.waiting
    return decided


@given(st.integers(0, 10_000))
def test_reports_without_a_slowdown_change_no_decision(seed: int) -> None:
    """Three figures are sent today and have no effect."""
    without = _decided(seed, False, (None,))
    assert _decided(seed, True, (None,)) == without


@given(st.integers(0, 10_000))
def test_hostile_reports_break_no_rule(seed: int) -> None:
    """Each job gets one decision, also while upstreams claim to be full."""
    decided = _decided(seed, True, (None, 0.2, 1, 2.5, 20))
    keys = [decision.key for decision in decided]
    assert len(set(keys)) == len(keys)


def test_disabled_reports_change_no_decision() -> None:
    service = _Service([_upstream('a')], enabled=False)
    service.loads.record('a', LoadReport(4, 0, 4, 2.5), 10)
    assert _free(service, 10) == 4
    assert service.loads.slowdown('a', 10) == 1
