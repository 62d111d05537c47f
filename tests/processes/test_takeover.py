"""At-most-once dispatch with real processes that are killed or frozen."""

import json
import signal
import time
from collections.abc import Iterator
from concurrent import futures

import pytest
import urllib3
from tallyhall_bench.fleet import Fleet, Member
from tallyhall_bench.workloads import mixed_burst
from tallyhall_client.locating import Locator

from tests.processes.fleets import (
    count_answered,
    loaded,
    small_spec,
    violations,
)

pytestmark = pytest.mark.processes

_REQUESTS = 60
_BURST_S = 4.0


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start a small fleet; each test restarts instances that were killed."""
    with Fleet(small_spec()) as started:
        yield started


def _owner(fleet: Fleet) -> Member:
    for member in fleet.instances.values():
        state = fleet.status(member) if member.is_running else None
        if state is not None:
            name = state['owners']['ledger'].partition('.')[0]
            return fleet.instances[name]
    raise AssertionError('no instance answers')


def _other_instance(fleet: Fleet, owner: Member) -> Member:
    return next(
        member for member in fleet.instances.values() if member is not owner
    )


def _restore(fleet: Fleet) -> None:
    for name, member in tuple(fleet.instances.items()):
        if not member.is_running:
            member.process.wait()
            fleet.start_instance(name)
    for member in fleet.instances.values():
        fleet.wait_ready(member)


@pytest.mark.parametrize('victims', ['entry', 'owner', 'both'])
def test_kill(fleet: Fleet, victims: str) -> None:
    _restore(fleet)
    owner = _owner(fleet)
    entry = _other_instance(fleet, owner)
    plan = mixed_burst(len(victims), _REQUESTS, _BURST_S)
    with loaded(fleet, plan) as done:
        time.sleep(_BURST_S / 2)
        if victims != 'owner':
            entry.process.kill()
        if victims != 'entry':
            owner.process.kill()
    assert not violations(fleet, done, plan)
    assert count_answered(done) > len(plan) // 2


def test_freeze_longer_than_all_timeouts(fleet: Fleet) -> None:
    _restore(fleet)
    owner = _owner(fleet)
    plan = mixed_burst(5, _REQUESTS, _BURST_S)
    with loaded(fleet, plan) as done:
        time.sleep(_BURST_S / 4)
        owner.process.send_signal(signal.SIGSTOP)
        time.sleep(_BURST_S)
        owner.process.send_signal(signal.SIGCONT)
    assert not violations(fleet, done, plan)


def test_same_id_at_several_entries_at_once(fleet: Fleet) -> None:
    _restore(fleet)
    locator = Locator(fleet.seeds, 'test')
    http = urllib3.PoolManager(retries=False, maxsize=8)

    def post(address: str, rid: str) -> bytes:  # noqa: WPS430
        body = {'model': 'ledger', 'prompt': 'x' * 400, 'max_tokens': 20}
        return http.request(
            'POST',
            f'http://{address}/v1/completions',
            body=json.dumps(body),
            headers={
                'x-tallyhall-workspace': 'foundry',
                'x-tallyhall-request-id': rid,
            },
        ).data

    for _ in range(5):
        rid = locator.pick().new_id()
        with futures.ThreadPoolExecutor(3) as pool:
            futs = [pool.submit(post, seed, rid) for seed in fleet.seeds]
            answers = {fut.result() for fut in futs}
        assert len(answers) == 1
        counts = fleet.all_counts().values()
        runs = sum(one.get('dispatches', {}).get(rid, 0) for one in counts)
        assert runs == 1
