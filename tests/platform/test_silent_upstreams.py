"""What is sent to upstreams that have stopped answering."""

import asyncio
import itertools
from collections.abc import Callable

from tallyhall_bench.ports import free_ports
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.platform.harness import (
    HOST,
    PLAIN,
    Answer,
    Deployment,
    deployment,
    until,
)

# The time after which an answer on the safe route is overdue, and more.
_OVERDUE_S = 0.4
_PAUSE_S = 3.0
# For longer than this, no run counts as new.
_NEW_RUN_S = 11.0


class _PausingEngine(EngineStandIn):
    """Answers nothing while it is paused."""

    def __init__(self, incarnation: str) -> None:
        super().__init__(incarnation)
        self.goes_on = asyncio.Event()
        self.goes_on.set()

    async def answer_instead(self, writer: asyncio.StreamWriter) -> bool:
        await self.goes_on.wait()
        return False


class _Site:
    """One instance before a few upstreams that can be paused."""

    def __init__(self, made: Deployment) -> None:
        self.made = made
        self.engines: list[_PausingEngine] = []
        self._asked = 0

    async def open(self, count: int, earned_s: float | None = None) -> None:
        """Start upstreams; wait so long, None until retries are earned."""
        for number in range(count):
            engine = _PausingEngine(f'plain-{number}')
            port = free_ports(1)[0]
            await engine.listen(HOST, port)
            self.made.register(engine.incarnation, f'{HOST}:{port}', PLAIN)
            self.engines.append(engine)
        await self.made.ready()
        if earned_s is None:
            await self.made.until_retries_are_earned()
        else:
            await asyncio.sleep(earned_s)

    async def hear_from_all(self) -> None:
        """Ask until every upstream has answered."""
        while not all(one.seen for one in self.engines):
            await asyncio.gather(*(self.ask() for _ in self.engines))

    def ask(self) -> asyncio.Task[Answer]:
        self._asked += 1
        ask = self.made.caller().ask('/safe/x', f'r{self._asked}')
        return asyncio.create_task(ask)

    async def pause(self, *numbers: int) -> list[asyncio.Task[Answer]]:
        """Pause upstreams and return the requests that show it."""
        paused = [self.engines[number] for number in numbers]
        for engine in paused:
            engine.goes_on.clear()
        asked = []
        for _ in range(20):
            if all(one.running for one in paused):
                break
            asked.append(self.ask())
            await asyncio.sleep(0.05)
        await asyncio.sleep(_OVERDUE_S)
        return asked

    def arrived(self, number: int) -> int:
        return len(self.engines[number].seen)


def _reject_every_other() -> Callable[[str, int], EngineFault]:
    faults = itertools.cycle((EngineFault.rejects, EngineFault.none))
    return lambda target, running: next(faults)


async def test_silent_upstream_gets_one_request_at_a_time() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(2)
        await site.pause(0)
        before = site.arrived(0)
        answers = [await site.ask() for _ in range(20)]
        assert all(answer.status == 200 for answer in answers)
        assert site.arrived(0) <= before + 1


async def test_no_retry_is_sent_while_all_upstreams_are_silent() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(2)
        asked = await site.pause(0, 1)
        sent = site.arrived(0) + site.arrived(1)
        asked.extend(site.ask() for _ in range(2))
        await asyncio.sleep(_PAUSE_S)
        assert site.arrived(0) + site.arrived(1) == sent + 2
        for engine in site.engines:
            engine.goes_on.set()
        answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} == {200}


async def test_request_moves_once_an_upstream_answers_that_was_silent() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(2)
        await site.hear_from_all()
        for left in await site.pause(0, 1):
            left.cancel()
        await asyncio.sleep(0.1)
        asked = [site.ask() for _ in range(2)]
        await asyncio.sleep(1)
        site.engines[1].goes_on.set()
        async with asyncio.timeout(1.5):
            answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} == {200}
        assert not site.engines[0].goes_on.is_set()


async def test_upstream_that_answers_again_is_used_as_before() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(2)
        asked = await site.pause(0)
        await asyncio.sleep(_PAUSE_S)
        site.engines[0].goes_on.set()
        await asyncio.gather(*asked)
        # The send that shows that it answers may be one that was abandoned.
        await until(lambda: not site.engines[0].running)
        before = site.arrived(0)
        await asyncio.gather(*(site.ask() for _ in range(20)))
        assert site.arrived(0) >= before + 5


async def test_time_of_a_pause_is_no_service_time() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(2)
        asked = await site.pause(0, 1)
        asked.extend(site.ask() for _ in range(6))
        await asyncio.sleep(_PAUSE_S)
        for engine in site.engines:
            engine.goes_on.set()
        await asyncio.gather(*asked)
        answers = await asyncio.gather(*(site.ask() for _ in range(30)))
        assert {answer.status for answer in answers} == {200}


async def _asked_until_one_waits(site: _Site, number: int) -> set[str]:
    """Return what a paused upstream was sent, once that is overdue."""
    for _ in range(20):
        for _ in site.engines:
            site.ask()
        await asyncio.sleep(0.05)
    await asyncio.sleep(_OVERDUE_S)
    waiting = {seen.request_id for seen in site.engines[number].seen}
    assert waiting
    return waiting


async def test_new_run_leaves_no_send_where_earlier_ones_may_have() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(3, earned_s=0)
        site.engines[0].goes_on.clear()
        waiting = await _asked_until_one_waits(site, 0)
        others = {
            seen.request_id for one in site.engines[1:] for seen in one.seen
        }
        assert not waiting & others


async def test_new_run_sends_no_retry_where_it_has_heard_nothing() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(3, earned_s=0)
        site.engines[0].goes_on.clear()
        for engine in site.engines[1:]:
            engine.draw = _reject_every_other()
        waiting = await _asked_until_one_waits(site, 0)
        rejected = {
            seen.request_id
            for one in site.engines[1:]
            for seen in one.seen
            if not seen.ran
        }
        assert rejected
        assert not waiting & rejected


async def test_upstream_is_left_sends_once_a_run_is_not_new() -> None:
    async with deployment() as made:
        site = _Site(made)
        await site.open(3, earned_s=_NEW_RUN_S)
        site.engines[0].goes_on.clear()
        waiting = await _asked_until_one_waits(site, 0)
        others = {
            seen.request_id for one in site.engines[1:] for seen in one.seen
        }
        assert waiting & others
