"""What is sent to upstreams that have stopped answering."""

import asyncio

from tallyhall_bench.ports import free_ports
from tallyhall_standins.platform_engine import EngineStandIn

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

    async def open(self, count: int) -> None:
        for number in range(count):
            engine = _PausingEngine(f'plain-{number}')
            port = free_ports(1)[0]
            await engine.listen(HOST, port)
            self.made.register(engine.incarnation, f'{HOST}:{port}', PLAIN)
            self.engines.append(engine)
        await self.made.ready()
        await self.made.until_retries_are_earned()

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
