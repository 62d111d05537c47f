"""A rate limit announced by an upstream applies to all instances together.

Guards against ignored limits: two engines that announced 2.7 and 3.1 requests
per second received 46 and 45 in four seconds from seven instances with one
owner, because the announcements were not read.

In any four seconds, 1.5 times the limit plus five requests are allowed. At
least half of the limit has to be used while callers are waiting.
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

# Seconds after an announcement from which on all instances must apply it.
_PROPAGATION_S = 0.5
_LIMIT_PER_S = 1.5
# Requests per second of all callers, which exceeds the limits of all upstreams.
_OFFERED_PER_S = 30
_for_each_kind = pytest.mark.parametrize(
    ('path', 'service'),
    [('/stream/x', MODEL), ('/safe/x', PLAIN), ('/once/x', PLAIN)],
    ids=['stream', 'safe', 'once'],
)


@dataclasses.dataclass(slots=True)
class _Load:
    """Open-loop load that is sent to all instances in turn."""

    made: Deployment
    path: str
    answers: list[Answer] = dataclasses.field(default_factory=list)
    asked: int = 0

    async def run(self, seconds: float, per_s: float = _OFFERED_PER_S) -> None:
        """Send requests for `seconds`, then wait for all responses."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        asks = set()
        for number in range(round(seconds * per_s)):
            await asyncio.sleep(began_at + number / per_s - loop.time())
            asks.add(asyncio.create_task(self._ask()))
        await asyncio.gather(*asks)

    def statuses(self) -> collections.Counter[int]:
        """Return the number of responses by status."""
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


@_for_each_kind
async def test_limit_of_one_upstream_applies_to_all_instances_together(
    path: str,
    service: str,
) -> None:
    async with deployment(3) as made:
        engines = await _engines(made, service, 3)
        load = _Load(made, path)
        await load.run(0.5)
        engines[0].limit_per_s = _LIMIT_PER_S
        announced_at = asyncio.get_running_loop().time()
        await load.run(_PROPAGATION_S + LIMIT_WINDOW_S + 1)
        assert _most(engines[0], announced_at + _PROPAGATION_S) <= limit_allows(
            _LIMIT_PER_S
        )
        assert set(load.statuses()) == {200}


@_for_each_kind
async def test_rejected_callers_get_a_retry_delay_if_all_upstreams_have_limits(
    path: str,
    service: str,
) -> None:
    async with deployment(3) as made:
        engines = await _engines(made, service, 3)
        for engine in engines:
            engine.limit_per_s = _LIMIT_PER_S
        load = _Load(made, path)
        announced_at = asyncio.get_running_loop().time()
        await load.run(_PROPAGATION_S + LIMIT_WINDOW_S + 1)
        for engine in engines:
            most = _most(engine, announced_at + _PROPAGATION_S)
            assert most <= limit_allows(_LIMIT_PER_S)
            assert most >= 0.5 * LIMIT_WINDOW_S * _LIMIT_PER_S
        assert set(load.statuses()) == {200, 503}
        for answer in load.answers:
            if answer.status == 503:
                assert float(answer.header('retry-after')) > 0
