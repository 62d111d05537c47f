"""Load reports between real processes while an owner, link or store fails.

Guards against reports that stop for good after a failure, and against an owner
that goes on to use what it heard before it was cut off.
"""

import asyncio
import contextlib
import dataclasses
import functools
import random
import signal
from collections.abc import AsyncIterator

import pytest
from tallyhall_bench.faulty_link import FaultyLink, LinkFault
from tallyhall_bench.platform_fleet import (
    PlatformFleet,
    open_link,
    platform_fleet,
)
from tallyhall_bench.platform_load import Caller, keep_calling
from tallyhall_bench.platform_run import usual_state
from tallyhall_bench.scrape import load_reports, scrape
from tallyhall_standins.engine_load import EngineLoad, LoadFault, SlowPhases
from tallyhall_standins.platform_store import StoreFault

pytestmark = pytest.mark.processes

_INSTANCES = 3
_REQUESTS_PER_S = 40
# Reports are outdated after 5 s at most, and gauges updated every 0.5 s.
_WITHIN_S = 10
_STEP_S = 0.25
# Reports per second from which on an instance counts as the owner; two thirds
# of the requests are received by others.
_MIN_TOLD = 8


@dataclasses.dataclass(slots=True)
class _Run:
    """A fleet under load; all upstreams of its engines are slowed."""

    fleet: PlatformFleet
    links: list[FaultyLink] = dataclasses.field(default_factory=list)
    asked: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)
    rng: random.Random = dataclasses.field(
        default_factory=functools.partial(random.Random, 1)
    )

    async def call(self) -> None:
        self.asked += 1
        entry = self.rng.choice(self.fleet.entries)
        tried = await Caller(self.rng).ask(
            entry.name, entry.front, 'summary', f'r{self.asked}', streams=True
        )
        self.statuses.append(tried.status)

    async def told(self, number: int) -> float:
        """Return how many reports an instance was told, 0 if it is down."""
        try:
            metrics = await scrape(self.fleet.entries[number].metrics)
        except (OSError, ValueError):
            return 0
        return load_reports(metrics, 'told')

    async def owner(self, numbers: set[int]) -> int:
        """Return which of these instances is told of most reports now.

        Instances may disagree on the owner for a moment after a change, so one
        that is told of a few reports need not be the owner.
        """
        async with asyncio.timeout(_WITHIN_S):
            while True:
                told = await self._told_in_a_second(numbers)
                number = max(told, key=lambda known: told[known])
                if told[number] >= _MIN_TOLD:
                    return number

    async def until_owner(self, number: int) -> None:
        """Wait until this instance is told of most reports."""
        async with asyncio.timeout(_WITHIN_S):
            while await self.owner(set(range(_INSTANCES))) != number:
                await asyncio.sleep(_STEP_S)

    async def until_slowed(self, number: int, *, known: bool) -> None:
        """Wait until an instance knows slowed upstreams, or knows of none."""
        place = self.fleet.entries[number].metrics
        async with asyncio.timeout(_WITHIN_S):
            while True:
                metrics = await scrape(place)
                if (metrics['tallyhall_slowed_upstreams'] > 0) == known:
                    return
                await asyncio.sleep(_STEP_S)

    async def _told_in_a_second(self, numbers: set[int]) -> dict[int, float]:
        before = {number: await self.told(number) for number in numbers}
        await asyncio.sleep(1)
        return {
            number: await self.told(number) - told
            for number, told in before.items()
        }


@contextlib.asynccontextmanager
async def _run() -> AsyncIterator[_Run]:
    async with platform_fleet(0, usual_state()) as fleet:
        run = _Run(fleet)
        for number in range(4):
            engine = await fleet.add_engine(f'engine-{number}', 'engines', 4)
            engine.load = EngineLoad(4, SlowPhases(run.rng, 1, 1000))
        places: dict[bytes, bytes] = {}
        for _ in range(_INSTANCES):
            entry = fleet.prepare_entry()
            link, place = await open_link(entry.peer)
            run.links.append(link)
            places[f'"{entry.peer}"'.encode()] = f'"{place}"'.encode()
        fleet.store.on_write = functools.partial(_put_links, places)
        for prepared in fleet.entries:
            await prepared.start()
        await fleet.until_ready()
        load = asyncio.create_task(
            keep_calling(run.call, run.rng, _REQUESTS_PER_S)
        )
        yield run
        load.cancel()
        await asyncio.wait((load,))
        for started in fleet.entries:
            assert 'internal_error' not in started.log.read_text()
        for opened in run.links:
            opened.close()


def _put_links(places: dict[bytes, bytes], key: str, content: bytes) -> bytes:
    """Let instances reach each other through the links."""
    for peer, link in places.items():
        content = content.replace(peer, link)
    return content


async def test_next_owner_is_told_when_the_owner_dies() -> None:
    async with _run() as run:
        numbers = set(range(_INSTANCES))
        owner = await run.owner(numbers)
        entry = run.fleet.entries[owner]
        entry.send(signal.SIGKILL)
        await entry.wait()
        following = await run.owner(numbers - {owner})
        await run.until_slowed(following, known=True)
        await entry.start()
        await run.until_owner(owner)
        assert run.statuses.count(200) > len(run.statuses) / 2


async def test_reports_go_on_without_the_store() -> None:
    async with _run() as run:
        numbers = set(range(_INSTANCES))
        owner = await run.owner(numbers)
        run.fleet.store.fault = StoreFault.refuses
        # Requests are refused 3.7 s after the loss of the store.
        await asyncio.sleep(0.5)
        assert await run.owner(numbers) == owner
        await run.until_slowed(owner, known=True)


async def test_next_owner_is_told_when_the_owner_is_cut_off() -> None:
    async with _run() as run:
        numbers = set(range(_INSTANCES))
        owner = await run.owner(numbers)
        # No instance reaches the owner, while it still reaches the others.
        run.links[owner].fault = LinkFault.refused
        run.links[owner].reset_all()
        following = await run.owner(numbers - {owner})
        await run.until_slowed(following, known=True)
        told = await run.told(owner)
        await asyncio.sleep(1)
        assert await run.told(owner) == told
        run.links[owner].fault = LinkFault.none
        await run.until_owner(owner)


async def test_slowdowns_are_forgotten_when_reports_stop() -> None:
    async with _run() as run:
        owner = await run.owner(set(range(_INSTANCES)))
        await run.until_slowed(owner, known=True)
        for engine in run.fleet.engines:
            engine.load.fault = LoadFault.missing
        await run.until_slowed(owner, known=False)
        assert run.statuses.count(200) > len(run.statuses) / 2
