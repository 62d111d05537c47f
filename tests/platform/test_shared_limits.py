"""Rate limits of upstreams across a fleet: lost owners, partitions, restarts.

In the large fleets only hubs are connected to all instances, and the loss of
an instance is detected after seconds.
"""

import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import MODEL, PLAIN
from tests.platform.limit_fleet import (
    LimitFleet,
    RateLimitedEngine,
)
from tests.platform.windows import limit_allows

_SIZES = (6, 87)
_PROPAGATION_S = 0.5


@contextlib.asynccontextmanager
async def _fleet(
    size: int,
    *limits: float | None,
    service: str = MODEL,
) -> AsyncIterator[LimitFleet]:
    """Start a fleet and upstreams that have announced these limits."""
    wait_for(Outside.nothing)
    fleet = LimitFleet(size, len(limits), service)
    await fleet.settle()
    for engine, limit in zip(fleet.engines.values(), limits, strict=True):
        engine.limit_per_s = limit
    try:
        await fleet.send_requests(_PROPAGATION_S, 40)
        yield fleet
    finally:
        await fleet.close()


def _engines(fleet: LimitFleet) -> list[RateLimitedEngine]:
    return list(fleet.engines.values())


@pytest.mark.parametrize(
    ('size', 'service', 'per_s'),
    [
        (6, MODEL, 1.1),
        (6, PLAIN, 3.7),
        (87, MODEL, 3.7),
        (87, PLAIN, 1.1),
        (410, PLAIN, 3.7),
    ],
)
async def test_fleet_uses_and_respects_the_limit(
    size: int,
    service: str,
    per_s: float,
) -> None:
    async with _fleet(size, *[per_s] * 4, service=service) as fleet:
        started_at = fleet.now
        await fleet.send_requests(12, 40)
        for engine in _engines(fleet):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at + 2, fleet.now) >= 0.8 * per_s
        assert min(fleet.refused) > 0


async def test_single_loaded_instance_uses_the_whole_limit() -> None:
    async with _fleet(6, 3.7) as fleet:
        started_at = fleet.now
        await fleet.send_requests(8, 40, fleet.names[-1:])
        engine = _engines(fleet)[0]
        assert engine.max_in_window(started_at) <= limit_allows(3.7)
        assert engine.mean_rate(started_at + 1, fleet.now) >= 0.8 * 3.7


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', _SIZES)
async def test_limit_holds_when_owners_die_in_turn(
    size: int,
    service: str,
) -> None:
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        started_at = fleet.now
        for _ in range(3):
            await fleet.send_requests(1.5, 40)
            fleet.kill(fleet.owner())
        await fleet.send_requests(6, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize(
    ('size', 'service', 'min_share'),
    [(87, MODEL, 0.5), (87, PLAIN, 0.5), (410, MODEL, 0.3)],
)
async def test_limit_holds_when_all_hubs_die(
    size: int,
    service: str,
    min_share: float,
) -> None:
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        started_at = fleet.now
        for name in fleet.hubs():
            fleet.kill(name)
        await fleet.send_requests(10, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at, fleet.now) >= min_share * per_s


@pytest.mark.parametrize('size', _SIZES)
async def test_limit_holds_across_owner_restarts(size: int) -> None:
    async with _fleet(size, 3.2, 1.1) as fleet:
        started_at = fleet.now
        for _ in range(4):
            owner_name = fleet.owner()
            fleet.kill(owner_name)
            await fleet.send_requests(1, 40)
            fleet.start(owner_name)
            await fleet.send_requests(1, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('partitions', [2, 0])
async def test_limit_holds_in_a_partitioned_fleet(
    size: int,
    service: str,
    partitions: int,
) -> None:
    """Split in halves or into single instances; later joined again."""
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        started_at = fleet.now
        for number, name in enumerate(fleet.names):
            fleet.partitions[name] = number % (partitions or size)
        await fleet.send_requests(8, 40)
        fleet.partitions.clear()
        await fleet.send_requests(6, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize('size', _SIZES)
async def test_lowered_limit_applies_at_once(size: int) -> None:
    async with _fleet(size, 9, 3.2) as fleet:
        await fleet.send_requests(3, 40)
        for engine, per_s in zip(_engines(fleet), (2.2, 1.1), strict=True):
            engine.limit_per_s = per_s
        await fleet.send_requests(_PROPAGATION_S + 1, 40)
        started_at = fleet.now
        await fleet.send_requests(8, 40)
        for engine, per_s in zip(_engines(fleet), (2.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
            assert engine.mean_rate(started_at, fleet.now) >= 0.8 * per_s


@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('service', [MODEL, PLAIN])
async def test_limit_ends_with_the_first_response_without_one(
    size: int,
    service: str,
) -> None:
    async with _fleet(size, 1.1, 1.1, service=service) as fleet:
        await fleet.send_requests(3, 40)
        for engine in _engines(fleet):
            engine.limit_per_s = None
        await fleet.send_requests(2, 40)
        started_at = fleet.now
        refused = len(fleet.refused)
        await fleet.send_requests(3, 40)
        assert len(fleet.refused) == refused
        for engine in _engines(fleet):
            assert engine.mean_rate(started_at, fleet.now) >= 5


@pytest.mark.parametrize('size', _SIZES)
async def test_upstream_with_zero_limit_is_probed(size: int) -> None:
    async with _fleet(size, 0, None) as fleet:
        started_at = fleet.now
        await fleet.send_requests(10, 10)
        blocked = _engines(fleet)[0]
        assert blocked.max_in_window(started_at) <= 2
        blocked.limit_per_s = None
        await fleet.send_requests(10, 10)
        assert blocked.mean_rate(fleet.now - 2, fleet.now) >= 2


@pytest.mark.parametrize('size', _SIZES)
async def test_restarted_fleet_learns_limits(size: int) -> None:
    """All instances restart at once, so the known limits are lost."""
    async with _fleet(size, 3.2, 1.1) as fleet:
        for name in fleet.names:
            fleet.kill(name)
        for name in fleet.names:
            fleet.start(name)
        await fleet.send_requests(_PROPAGATION_S + 1, 40)
        started_at = fleet.now
        await fleet.send_requests(8, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.max_in_window(started_at) <= limit_allows(per_s)
