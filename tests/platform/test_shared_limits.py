"""Limits of upstreams in fleets: owners that are lost, cuts, restarts, changes.

In the large fleets nobody but the hubs hears all others, and an instance that
is lost is noticed after seconds.
"""

import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.platform.harness import MODEL, PLAIN
from tests.platform.limit_fleet import (
    LimitedEngine,
    LimitFleet,
    simulate_time,
)
from tests.platform.windows import limit_allows

_SIZES = (6, 87)
_TOLD_S = 0.5


@contextlib.asynccontextmanager
async def _fleet(
    size: int,
    *limits: float | None,
    service: str = MODEL,
) -> AsyncIterator[LimitFleet]:
    """Start a fleet before upstreams that have named these limits."""
    simulate_time()
    fleet = LimitFleet(size, len(limits), service)
    await fleet.settle()
    for engine, limit in zip(fleet.engines.values(), limits, strict=True):
        engine.limit_per_s = limit
    try:
        await fleet.ask(_TOLD_S, 40)
        yield fleet
    finally:
        await fleet.close()


def _engines(fleet: LimitFleet) -> list[LimitedEngine]:
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
async def test_all_together_use_what_is_named(
    size: int,
    service: str,
    per_s: float,
) -> None:
    async with _fleet(size, *[per_s] * 4, service=service) as fleet:
        began_at = fleet.now
        await fleet.ask(12, 40)
        for engine in _engines(fleet):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at + 2, fleet.now) >= 0.8 * per_s
        assert min(fleet.refused) > 0


async def test_one_instance_that_meets_all_callers_uses_all() -> None:
    async with _fleet(6, 3.7) as fleet:
        began_at = fleet.now
        await fleet.ask(8, 40, fleet.names[-1:])
        engine = _engines(fleet)[0]
        assert engine.most(began_at) <= limit_allows(3.7)
        assert engine.per_s(began_at + 1, fleet.now) >= 0.8 * 3.7


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', _SIZES)
async def test_owners_lost_one_after_another_lose_no_count(
    size: int,
    service: str,
) -> None:
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        began_at = fleet.now
        for _ in range(3):
            await fleet.ask(1.5, 40)
            fleet.kill(fleet.owner())
        await fleet.ask(6, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize(
    ('size', 'service', 'part'),
    [(87, MODEL, 0.5), (87, PLAIN, 0.5), (410, MODEL, 0.3)],
)
async def test_all_hubs_lost_at_once_lose_no_count(
    size: int,
    service: str,
    part: float,
) -> None:
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        began_at = fleet.now
        for name in fleet.hubs():
            fleet.kill(name)
        await fleet.ask(10, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at, fleet.now) >= part * per_s


@pytest.mark.parametrize('size', _SIZES)
async def test_restarts_of_owners_lose_no_count(size: int) -> None:
    async with _fleet(size, 3.2, 1.1) as fleet:
        began_at = fleet.now
        for _ in range(4):
            lost = fleet.owner()
            fleet.kill(lost)
            await fleet.ask(1, 40)
            fleet.start(lost)
            await fleet.ask(1, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('sides', [2, 0])
async def test_a_fleet_that_is_cut_apart_keeps_together_to_a_limit(
    size: int,
    service: str,
    sides: int,
) -> None:
    """In halves, and each alone; whole again later."""
    async with _fleet(size, 3.2, 1.1, service=service) as fleet:
        began_at = fleet.now
        for number, name in enumerate(fleet.names):
            fleet.side[name] = number % (sides or size)
        await fleet.ask(8, 40)
        fleet.side.clear()
        await fleet.ask(6, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at, fleet.now) >= 0.5 * per_s


@pytest.mark.parametrize('size', _SIZES)
async def test_a_limit_that_falls_binds_at_once(size: int) -> None:
    async with _fleet(size, 9, 3.2) as fleet:
        await fleet.ask(3, 40)
        for engine, per_s in zip(_engines(fleet), (2.2, 1.1), strict=True):
            engine.limit_per_s = per_s
        await fleet.ask(_TOLD_S + 1, 40)
        began_at = fleet.now
        await fleet.ask(8, 40)
        for engine, per_s in zip(_engines(fleet), (2.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
            assert engine.per_s(began_at, fleet.now) >= 0.8 * per_s


@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('service', [MODEL, PLAIN])
async def test_a_limit_ends_with_the_first_answer_without_one(
    size: int,
    service: str,
) -> None:
    async with _fleet(size, 1.1, 1.1, service=service) as fleet:
        await fleet.ask(3, 40)
        for engine in _engines(fleet):
            engine.limit_per_s = None
        await fleet.ask(2, 40)
        began_at = fleet.now
        refused = len(fleet.refused)
        await fleet.ask(3, 40)
        assert len(fleet.refused) == refused
        for engine in _engines(fleet):
            assert engine.per_s(began_at, fleet.now) >= 5


@pytest.mark.parametrize('size', _SIZES)
async def test_one_that_takes_nothing_is_asked_now_and_then(size: int) -> None:
    async with _fleet(size, 0, None) as fleet:
        began_at = fleet.now
        await fleet.ask(10, 10)
        none = _engines(fleet)[0]
        assert none.most(began_at) <= 2
        none.limit_per_s = None
        await fleet.ask(10, 10)
        assert none.per_s(fleet.now - 2, fleet.now) >= 2


@pytest.mark.parametrize('size', _SIZES)
async def test_a_fleet_that_starts_anew_hears_of_limits_soon(size: int) -> None:
    """All are lost at once; who knew the limit is gone."""
    async with _fleet(size, 3.2, 1.1) as fleet:
        for name in fleet.names:
            fleet.kill(name)
        for name in fleet.names:
            fleet.start(name)
        await fleet.ask(_TOLD_S + 1, 40)
        began_at = fleet.now
        await fleet.ask(8, 40)
        for engine, per_s in zip(_engines(fleet), (3.2, 1.1), strict=True):
            assert engine.most(began_at) <= limit_allows(per_s)
