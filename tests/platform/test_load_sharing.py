"""Load reports of upstreams reach the owner of their service.

Guards against decisions on outdated or missing reports: an instance receives a
response of a given upstream once in several seconds, while a slowdown lasts
0.6 s, so an owner that knew only its own reports would see few slowdowns.
Also guards against reports that flood the streams between instances.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

import pytest
from tallyhall_dispatch.load_reports import LoadReport
from tallyhall_dispatch.unsent_loads import UnsentLoad, UnsentLoads
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer_codec import decode_load, encode_load

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import MODEL
from tests.platform.limit_fleet import LimitFleet
from tests.platform.windows import most_in_window

_USUAL = LoadReport(2, 0, 10, 1)
_SLOWED = LoadReport(2, 0, 10, 2.5)
# Maximum bytes of load reports that an instance of the largest fleet sends in
# any second.
_MAX_BYTES = 1000
_LARGEST_FLEET = 410


def _load(number: int, at: float, owner: str = 'o') -> UnsentLoad:
    return UnsentLoad(f'upstream-{number:03}-1234567890', owner, _SLOWED, at)


def test_only_the_newest_report_of_an_upstream_is_sent() -> None:
    unsent = UnsentLoads(0)
    unsent.add(_load(1, 0))
    unsent.add(_load(1, 0.1))
    unsent.add(_load(2, 0.1))
    taken = unsent.take('o', 3, 0.2)
    assert taken == [_load(1, 0.1), _load(2, 0.1)]
    assert not unsent.take('o', 3, 0.3)


def test_reports_are_sent_to_the_current_owner_only() -> None:
    """A report for an owner that was lost must not wait for it."""
    unsent = UnsentLoads(0)
    unsent.add(_load(1, 0, 'lost'))
    assert not unsent.take('next', 3, 0.1)
    unsent.add(_load(1, 0.2, 'next'))
    assert not unsent.take('lost', 3, 0.3)
    assert unsent.take('next', 3, 0.3) == [_load(1, 0.2, 'next')]


def test_outdated_reports_are_discarded() -> None:
    """After a link was lost, reports of before must not fill the budget."""
    unsent = UnsentLoads(0)
    unsent.add(_load(1, 0))
    unsent.add(_load(2, 2))
    assert unsent.take('o', 3, 3) == [_load(2, 2)]
    assert unsent.discarded == 1


def test_busy_upstream_does_not_displace_the_others() -> None:
    """One upstream that responds often must not use up the byte budget."""
    unsent = UnsentLoads(0)
    sent = []
    for step in range(1000):
        now = step / 100
        unsent.add(_load(0, now))
        if step % 10 == 0:
            for number in range(1, 31):
                unsent.add(_load(number, now))
        sent += unsent.take('o', _LARGEST_FLEET, now)
    counts = collections.Counter(load.incarnation for load in sent)
    assert len(counts) == 31
    assert min(counts.values()) >= 3
    assert max(counts.values()) <= min(counts.values()) + 2


@pytest.mark.parametrize('name_length', [1, 30, 200])
@pytest.mark.parametrize('step_s', [0.001, 0.05, 1.2])
def test_bytes_per_second_are_bounded(name_length: int, step_s: float) -> None:
    """600 upstreams that report in every response exceed the limit."""
    unsent = UnsentLoads(0)
    largest = LoadReport(10_000, 10_000, 10_000, 20)
    sent = []
    for step in range(round(5 / step_s)):
        now = step * step_s
        for number in range(600):
            name = f'{number:0{name_length}}'
            unsent.add(UnsentLoad(name, 'o', largest, now))
        batch = peers_pb2.Batch()
        for load in unsent.take('o', _LARGEST_FLEET, now):
            age_s = now - load.received_at
            encode_load(batch.loads.add(), load.incarnation, load.report, age_s)
        sent.append((now, float(batch.ByteSize())))
    assert 0 < most_in_window(sent, 1) < _MAX_BYTES


def test_forwarded_report_is_decoded_as_it_was() -> None:
    load = peers_pb2.Load()
    encode_load(load, 'u', LoadReport(3, 4, 5, 2.55), 0.1234)
    assert load.upstream == 'u'
    assert decode_load(load) == (LoadReport(3, 4, 5, 2.55), 0.123)


@pytest.mark.parametrize(
    'changes',
    [
        {'slowdown_percent': 0},
        {'slowdown_percent': 19},
        {'slowdown_percent': 2001},
        {'running': 10_001},
        {'waiting': 2**32 - 1},
        {'slots': 10_001},
    ],
)
def test_forwarded_report_out_of_range_is_ignored(
    changes: dict[str, int],
) -> None:
    """A peer of another version may accept other values."""
    fields = {'running': 1, 'slots': 4, 'slowdown_percent': 100}
    load = peers_pb2.Load(upstream='u', **(fields | changes))
    assert decode_load(load) is None


@contextlib.asynccontextmanager
async def _fleet(size: int) -> AsyncIterator[LimitFleet]:
    """Start a fleet with an upstream that is slowed and three that are not."""
    wait_for(Outside.nothing)
    fleet = LimitFleet(size, 4, MODEL)
    await fleet.settle()
    for engine in fleet.engines.values():
        engine.load = _USUAL
    fleet.engines['e0'].load = _SLOWED
    try:
        yield fleet
    finally:
        await fleet.close()


def _slowdown(fleet: LimitFleet, instance: str, engine: str = 'e0') -> float:
    loads = fleet.nodes[instance].dispatcher.upstream_loads
    return loads.slowdown(engine, fleet.now)


def _known(fleet: LimitFleet, instance: str) -> dict[str, float | None]:
    loads = fleet.nodes[instance].dispatcher.upstream_loads
    return {name: known.slowdown for name, known, _ in loads.fresh(fleet.now)}


@pytest.mark.parametrize('size', [6, 87])
async def test_owner_knows_the_slowdowns(size: int) -> None:
    """Each instance alone sees too few responses to know them."""
    async with _fleet(size) as fleet:
        known_at = 0
        others_known = 0
        for _ in range(20):
            await fleet.send_requests(0.2, 100)
            owner = fleet.owner()
            known_at += _slowdown(fleet, owner) > 1
            other = next(name for name in fleet.names if name != owner)
            others_known += _slowdown(fleet, other) > 1
        assert known_at >= 18
        assert _known(fleet, owner).get('e0') == 2.5
        if size == 87:
            assert others_known < 10


@pytest.mark.parametrize('size', [6, 87])
async def test_end_of_a_slowdown_reaches_the_owner(size: int) -> None:
    """A report that arrives late must not replace a newer one."""
    async with _fleet(size) as fleet:
        await fleet.send_requests(2, 100)
        fleet.engines['e0'].load = _USUAL
        await fleet.send_requests(1.5, 100)
        assert _slowdown(fleet, fleet.owner()) == 1


async def test_reports_without_slowdown_are_not_sent() -> None:
    """Deployments without a fourth figure must not pay for reports."""
    async with _fleet(6) as fleet:
        for engine in fleet.engines.values():
            engine.load = LoadReport(2, 0, 10)
        await fleet.send_requests(2, 100)
        assert not fleet.load_bytes
        assert not _known(fleet, fleet.owner())


@pytest.mark.parametrize('size', [6, 87])
async def test_reports_expire_when_the_owner_is_cut_off(size: int) -> None:
    """Without new reports the owner decides as if it had none."""
    async with _fleet(size) as fleet:
        await fleet.send_requests(2, 100)
        owner = fleet.owner()
        assert _slowdown(fleet, owner) > 1
        fleet.partitions[owner] = 1
        others = [name for name in fleet.names if name != owner]
        await fleet.send_requests(6, 100, others)
        assert _slowdown(fleet, owner) == 1
        assert not _known(fleet, owner)
        # The other side has a new owner, which is told.
        assert max(_slowdown(fleet, name) for name in others) > 1
        fleet.partitions.clear()
        await fleet.send_requests(6, 100)
        assert _slowdown(fleet, fleet.owner()) > 1


@pytest.mark.parametrize('size', [6, 87])
async def test_next_owner_learns_the_slowdowns(size: int) -> None:
    """Nothing is handed over by an owner that is lost."""
    async with _fleet(size) as fleet:
        await fleet.send_requests(2, 100)
        lost = fleet.owner()
        fleet.kill(lost)
        await fleet.send_requests(6, 100)
        owner = fleet.owner()
        assert owner != lost
        assert _slowdown(fleet, owner) > 1


async def test_instance_alone_uses_its_own_reports() -> None:
    """Every instance is cut off from every other one."""
    async with _fleet(6) as fleet:
        for number, name in enumerate(fleet.names):
            fleet.partitions[name] = number
        await fleet.send_requests(6, 100)
        fleet.load_bytes.clear()
        await fleet.send_requests(2, 100, fleet.names[:1])
        assert _slowdown(fleet, fleet.names[0]) > 1
        assert not _known(fleet, fleet.names[1])


async def test_reports_of_the_largest_fleet_are_bounded() -> None:
    """One instance receives far more responses than the others."""
    async with _fleet(_LARGEST_FLEET) as fleet:
        owner = fleet.owner()
        busy = next(name for name in fleet.names if name != owner)
        await fleet.send_requests(4, 150, [busy])
        sent = fleet.load_bytes[busy]
        assert 0 < most_in_window(sent, 1) < _MAX_BYTES
        assert _slowdown(fleet, owner) > 1


async def test_forwarded_report_keeps_the_time_of_its_receipt() -> None:
    """A report waits for a batch for up to a heartbeat, longer than it holds.

    With the time of its arrival, the owner would use outdated reports, and
    replace newer ones by them.
    """
    async with _fleet(87) as fleet:
        owner = fleet.owner()
        other = next(name for name in fleet.names if name != owner)
        received_at = fleet.now
        listeners = {
            name: fleet.nodes[name].scheduler.upstream_listener
            for name in (owner, other)
        }
        for engine in ('e0', 'e1'):
            listeners[other].on_load_reported(engine, _SLOWED)
        await asyncio.sleep(0.05)
        listeners[owner].on_load_reported('e1', _USUAL)
        await asyncio.sleep(2)
        loads = fleet.nodes[owner].dispatcher.upstream_loads
        ages = {
            name: at - received_at for name, _, at in loads.fresh(received_at)
        }
        # Whole milliseconds and the delay of the link add to the first one.
        assert 0 <= ages['e0'] < 0.02
        assert ages['e1'] == pytest.approx(0.05)
        assert loads.slowdown('e0', received_at) > 2
        assert loads.slowdown('e1', received_at) == 1
