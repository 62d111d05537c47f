"""Quotas and retry budgets while several instances stop at the same time.

Guards against an overrun of the quota when seven instances were restarted in
turn while a workspace asked for many times its quota. A stopping instance
ended its lease, so its peers dropped it with its streams and reports, but it
admitted requests on open connections for up to the grace time. With no
registered peer left it took itself for the whole fleet, with the full quota,
all slots and the full retry allowance; seven instances did so at once.

In the logs: instances_changed with hears 1 from 12.5 s on, with known 0 from
14.4 s on, and admitted for up to 6 s more.

The cause: quotas were divided by the number of instances that are listed for
callers. An instance that is no longer listed may still admit requests.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.options import Listening
from tallyhall_entry.instance import Instance
from tallyhall_platform.entries import QUOTA_USE_KEY, decode_quota_use
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import (
    HOST,
    PLAIN,
    Answer,
    Caller,
    Deployment,
    deployment,
    desired,
    until,
)

_FLEET_SIZE = 4
_RATE = 100
_BURST = 50
_LIMIT = _RATE * 8 + _BURST
_TOKENS_PER_REQUEST = 10
_RETRY_ALLOWANCE = 50
# The loss of a peer is detected after 0.5 s.
_LOSS_DETECTED_S = 0.8
# Stopping instances accept all requests for 2.9 s after the signal.
_LOAD_S = 1.5
_LOAD_PER_INSTANCE_S = 0.2
# Instances send reports every 0.15 s.
_REPORT_S = 0.25


def _quota_state() -> dict[str, Any]:
    state = desired(2)
    state['tenants'][0] |= {'rate-per-s': _RATE, 'burst': _BURST}
    return state


async def _add_engines(cluster: Deployment) -> list[EngineStandIn]:
    engines = [
        await cluster.add_engine(f'plain-{number}', PLAIN)
        for number in range(2)
    ]
    await cluster.ready()
    return engines


@contextlib.asynccontextmanager
async def _stopping(stopped: list[Instance]) -> AsyncIterator[None]:
    """Stop instances 50 ms apart; run the body past the loss detection."""
    stops = []
    for instance in stopped:
        stops.append(asyncio.create_task(instance.stop()))
        await asyncio.sleep(0.05)
    await asyncio.sleep(_LOSS_DETECTED_S)
    yield
    await asyncio.gather(*stops)


async def _send_repeatedly(
    caller: Caller,
    name: str,
    for_s: float,
) -> list[Answer]:
    ends_at = asyncio.get_running_loop().time() + for_s
    answers: list[Answer] = []
    while asyncio.get_running_loop().time() < ends_at:
        request_id = f'{name}-{len(answers)}'
        answers.append(await caller.ask('/safe/x', request_id))
        if caller.conn and answers[-1].header('connection') == 'close':
            caller.conn.close()
    return answers


async def _send_load(
    cluster: Deployment, indexes: range, for_s: float
) -> list[Answer]:
    """Send requests to instances repeatedly, on two connections each."""
    wait_for(Outside.threads)
    responses = await asyncio.gather(
        *(
            _send_repeatedly(cluster.caller(index), f'{index}-{number}', for_s)
            for index in indexes
            for number in range(2)
        ),
    )
    return list(itertools.chain(*responses))


async def _send_load_in_turn(cluster: Deployment) -> list[Answer]:
    """Send requests to one instance after another, with time for reports."""
    answers: list[Answer] = []
    for index, _ in enumerate(cluster.instances):
        answers += await _send_load(
            cluster, range(index, index + 1), _LOAD_PER_INSTANCE_S
        )
        await asyncio.sleep(_REPORT_S)
    return answers


def _count_served(answers: list[Answer]) -> int:
    return sum(answer.status == 200 for answer in answers)


async def test_stopping_instances_stay_connected_and_counted() -> None:
    async with deployment(_FLEET_SIZE) as cluster:
        await cluster.ready()
        async with _stopping(cluster.instances):
            assert [instance.heard_count for instance in cluster.instances] == [
                _FLEET_SIZE
            ] * _FLEET_SIZE
            assert [instance.counts for instance in cluster.instances] == [
                _FLEET_SIZE
            ] * _FLEET_SIZE


async def test_stop_of_all_stays_within_the_quota() -> None:
    async with deployment(_FLEET_SIZE) as cluster:
        await _add_engines(cluster)
        cluster.store.put('op/config', _quota_state())
        await until(_all_apply(cluster, 2))
        async with _stopping(cluster.instances):
            answers = await _send_load_in_turn(cluster)
        # All requests fall into one quota window.
        assert (
            _count_served(answers) * _TOKENS_PER_REQUEST <= _LIMIT * 1.1 + 100
        )
        assert {answer.status for answer in answers} == {200, 429}


async def test_stop_of_all_stays_within_the_retry_budget() -> None:
    bounds = {'retry_ratio': 0, 'retry_allowance': _RETRY_ALLOWANCE}
    async with deployment(_FLEET_SIZE, **bounds) as cluster:
        engines = await _add_engines(cluster)
        for engine in engines:
            engine.faults.extend([EngineFault.rejects] * 10_000)
        async with _stopping(cluster.instances):
            await _send_load(cluster, range(_FLEET_SIZE), _LOAD_S)
        sent = [
            seen.request_id for upstream in engines for seen in upstream.seen
        ]
        assert len(sent) - len(set(sent)) <= _RETRY_ALLOWANCE


def _all_apply(cluster: Deployment, version: int) -> Callable[[], bool]:
    return lambda: all(
        instance.state_version == version for instance in cluster.instances
    )


async def test_stopping_instances_count_in_a_fleet_with_hubs() -> None:
    """14 of 18 instances stop, among them all hubs."""
    async with deployment(18) as cluster:
        await cluster.ready()
        remaining = [
            instance
            for instance in cluster.instances
            if instance.options.instance not in instance.live_instances
        ][:4]
        names = {instance.options.instance for instance in remaining}
        stops = [
            instance
            for instance in cluster.instances
            if instance not in remaining
        ]
        async with _stopping(stops):
            await until(
                lambda: all(
                    instance.live_instances == names for instance in remaining
                ),
                3,
            )
            await until(
                lambda: _peer_counts(cluster.instances) == [(18, 18)] * 18,
                3,
            )


async def test_unregistered_instance_counts_until_it_dies() -> None:
    """Its lease expires during a store outage, it serves on, then it dies."""
    async with deployment(3, revoke_s=3) as cluster:
        await cluster.ready()
        first, *others = cluster.instances
        options = cluster.options[0]
        unreachable = Listening(HOST, free_ports(1)[0])
        unreachable_store = msgspec.structs.replace(
            options.store, address=unreachable
        )
        first.reload(msgspec.structs.replace(options, store=unreachable_store))
        key = f'tallyhall/instances/{cluster.options[0].instance}'
        cluster.store.remove(key)
        # Longer than the bound on confirmations, 1.7 s.
        await asyncio.sleep(2.5)
        assert _peer_counts(cluster.instances) == [(3, 3)] * 3
        assert cluster.options[0].instance not in others[0].live_instances
        await first.close()
        await asyncio.sleep(0.8)
        assert _peer_counts(others) == [(2, 3)] * 2
        await until(lambda: _peer_counts(others) == [(2, 2)] * 2, 2)


async def test_stopped_instance_no_longer_counts() -> None:
    async with deployment(3) as cluster:
        await cluster.ready()
        last = cluster.instances[2]
        await asyncio.gather(
            *(instance.stop() for instance in cluster.instances[:2])
        )
        await until(lambda: _peer_counts([last]) == [(1, 1)], 1)
        left = cluster.store.keys('tallyhall/instances/')
        assert left == [f'tallyhall/instances/{cluster.options[2].instance}']


def _peer_counts(instances: list[Instance]) -> list[tuple[int, int]]:
    return [(instance.heard_count, instance.counts) for instance in instances]


async def test_what_stopping_instances_admit_is_written() -> None:
    """Instances that stop together store the quota usage they admit.

    The instances started after them can read it from the store alone. When
    all stop at once, services have no owner and so had no instance that writes
    usage: of 470 tokens admitted after the signal the store had none.
    """
    async with deployment(2) as cluster:
        await _add_engines(cluster)
        cluster.store.put('op/config', _quota_state())
        await until(_all_apply(cluster, 2))
        async with _stopping(cluster.instances):
            answers = await _send_load(cluster, range(1), 0.5)
            # The writer checks for unwritten usage every 0.8 s.
            await asyncio.sleep(1.2)
            stored_usage = await _read_stored_usage(cluster)
        admitted = _count_served(answers) * _TOKENS_PER_REQUEST
        # A write is due once 0.3 of 185 tokens are unwritten.
        assert stored_usage['shop'] >= admitted - 60


async def _read_stored_usage(cluster: Deployment) -> dict[str, float]:
    client = StoreClient(cluster.options[0].store.address)
    snapshot = await client.snapshot(QUOTA_USE_KEY)
    client.close()
    uses: dict[str, float] = {'shop': 0}
    for kept in snapshot.entries:
        for name, parts in decode_quota_use(kept.content).items():
            uses[name] = sum(amount for _, amount in parts)
    return uses
