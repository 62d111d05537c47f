"""A non-idempotent call runs at most once, wherever its connection breaks."""

import dataclasses
import types
from collections.abc import Iterator

import pytest
from tallyhall_bench.fleet import Fleet
from tallyhall_bench.proxy import FaultProxy, ProxyFaults
from tallyhall_client.client import Client
from tallyhall_client.outcome import CallOptions, CallOutcome

from tests.processes.fleets import small_spec

pytestmark = pytest.mark.processes


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start a fleet whose plain upstreams stand behind proxies."""
    with Fleet(small_spec(instances=2, engines=1)) as started:
        yield started


@pytest.fixture(scope='module')
def proxies(fleet: Fleet) -> Iterator[list[FaultProxy]]:
    """Put a proxy before each plain upstream and before the engine."""
    made = []
    for name, member in fleet.upstreams.items():
        proxy = FaultProxy(member.address)
        fleet.routes[name] = proxy.address
        made.append(proxy)
    fleet.announce()
    fleet.settle_list()
    yield made
    for proxy in made:
        proxy.close()


def _call(
    fleet: Fleet,
    *,
    idempotent: bool,
    service: str = 'tags',
) -> CallOutcome:
    options = CallOptions('foundry', 'desk', 3, idempotent=idempotent)
    client = Client(fleet.seeds)
    if service == 'ledger':
        return client.complete('ledger', 'issue lot tag ' * 40, 40, options)
    return client.call('tags', 'POST', '/lots', b'{}', options)


def _runs(fleet: Fleet, request_id: str) -> int:
    return sum(
        counts.get('runs', counts.get('dispatches', {})).get(request_id, 0)
        for counts in fleet.all_counts().values()
    )


_BREAKS = types.MappingProxyType(
    {
        'refused': ProxyFaults(refuse=True),
        'before the write': ProxyFaults(cut_up_after=0, cuts=99),
        'within the write': ProxyFaults(cut_up_after=40, cuts=99),
        'before the answer': ProxyFaults(cut_down_after=0, cuts=99),
        'within the answer': ProxyFaults(cut_down_after=30, cuts=99),
        'answer lost': ProxyFaults(half_open=True),
    }
)


@pytest.mark.parametrize('service', ['tags', 'ledger'])
@pytest.mark.parametrize('where', list(_BREAKS))
def test_runs_at_most_once(
    fleet: Fleet,
    proxies: list[FaultProxy],
    where: str,
    service: str,
) -> None:
    for proxy in proxies:
        proxy.faults = dataclasses.replace(_BREAKS[where])
    outcome = _call(fleet, idempotent=False, service=service)
    for proxy in proxies:
        proxy.faults = ProxyFaults()
    runs = _runs(fleet, outcome.request_id)
    assert runs <= 1
    assert outcome.verdict != 'answered'
    refusal = outcome.refusal
    if refusal is not None and refusal.executed == 'no':
        assert not runs
    if where not in {'refused'}:
        assert outcome.verdict == 'unknown' or refusal is not None


def test_idempotent_call_is_tried_again(
    fleet: Fleet,
    proxies: list[FaultProxy],
) -> None:
    for proxy in proxies:
        proxy.faults = ProxyFaults()
    proxies[-1].faults = ProxyFaults(cut_down_after=0, cuts=99)
    outcomes = [_call(fleet, idempotent=True) for _ in range(6)]
    assert {one.verdict for one in outcomes} == {'answered'}
