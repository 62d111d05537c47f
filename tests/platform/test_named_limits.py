"""A limit that an upstream names holds for all instances together.

Two engines that named 2.7 and 3.1 requests a second were sent 46 and 45 in
four seconds, by seven instances and one owner: nothing read what they named.

Allowed in any four seconds: one and a half times the limit, and five requests.
Half of the limit at least is to be used while callers wait.
"""

import asyncio
import collections
import dataclasses

import pytest
from tallyhall_standins.platform_engine import EngineStandIn

from tests.platform.harness import (
    MODEL,
    PLAIN,
    TOKENS,
    Answer,
    Deployment,
    deployment,
)
from tests.platform.windows import (
    LIMIT_WINDOW_S,
    limit_allows,
    most_in_window,
)

# An instance that was told must keep to it this much later.
_TOLD_S = 0.5
_LIMIT_PER_S = 1.5
# Requests a second of all callers: more than all upstreams would take.
_ASKED_PER_S = 30
_of_each_kind = pytest.mark.parametrize(
    ('path', 'service'),
    [('/stream/x', MODEL), ('/safe/x', PLAIN), ('/once/x', PLAIN)],
    ids=['stream', 'safe', 'once'],
)


@dataclasses.dataclass(slots=True)
class _Load:
    """Callers that ask all instances in turn, whatever becomes of it."""

    made: Deployment
    path: str
    answers: list[Answer] = dataclasses.field(default_factory=list)
    asked: int = 0

    async def run(self, seconds: float, per_s: float = _ASKED_PER_S) -> None:
        """Ask for so long, then wait for the answers."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        asks = set()
        for number in range(round(seconds * per_s)):
            await asyncio.sleep(began_at + number / per_s - loop.time())
            asks.add(asyncio.create_task(self._ask()))
        await asyncio.gather(*asks)

    def statuses(self) -> collections.Counter[int]:
        """Return how many answers had each status."""
        return collections.Counter(answer.status for answer in self.answers)

    async def _ask(self) -> None:
        self.asked += 1
        caller = self.made.caller(self.asked % len(self.made.instances))
        answer = await caller.ask(self.path, f'r{self.asked}', **TOKENS)
        self.answers.append(answer)


def _most(engine: EngineStandIn, since: float) -> float:
    arrivals = [(seen.at, 1.0) for seen in engine.seen if seen.at >= since]
    return most_in_window(arrivals, LIMIT_WINDOW_S)


async def _engines(
    made: Deployment,
    service: str,
    count: int,
) -> list[EngineStandIn]:
    engines = [
        await made.add_engine(f'e-{number}', service) for number in range(count)
    ]
    await made.ready()
    return engines


@_of_each_kind
async def test_one_that_names_a_limit_gets_no_more_from_all_together(
    path: str,
    service: str,
) -> None:
    async with deployment(3) as made:
        engines = await _engines(made, service, 3)
        load = _Load(made, path)
        await load.run(0.5)
        engines[0].limit_per_s = _LIMIT_PER_S
        named_at = asyncio.get_running_loop().time()
        await load.run(_TOLD_S + LIMIT_WINDOW_S + 1)
        assert _most(engines[0], named_at + _TOLD_S) <= limit_allows(
            _LIMIT_PER_S
        )
        assert set(load.statuses()) == {200}


@_of_each_kind
async def test_where_all_name_limits_the_rest_is_told_when_to_return(
    path: str,
    service: str,
) -> None:
    async with deployment(3) as made:
        engines = await _engines(made, service, 3)
        for engine in engines:
            engine.limit_per_s = _LIMIT_PER_S
        load = _Load(made, path)
        named_at = asyncio.get_running_loop().time()
        await load.run(_TOLD_S + LIMIT_WINDOW_S + 1)
        for engine in engines:
            most = _most(engine, named_at + _TOLD_S)
            assert most <= limit_allows(_LIMIT_PER_S)
            assert most >= 0.5 * LIMIT_WINDOW_S * _LIMIT_PER_S
        assert set(load.statuses()) == {200, 503}
        for answer in load.answers:
            if answer.status == 503:
                assert float(answer.header('retry-after')) > 0
