"""One that says in its answers that it leaves gets nothing from any instance.

In a large fleet an instance talks to the hubs only. They were told and told
nobody on: of a service without an owner each instance went on sending until it
had an answer of its own that said so.
"""

import pytest

from tests.platform.harness import MODEL, PLAIN
from tests.platform.limit_fleet import LimitFleet, simulate_time

_TOLD_S = 0.5


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', [6, 87])
async def test_who_has_not_heard_it_itself_sends_nothing_either(
    size: int,
    service: str,
) -> None:
    simulate_time()
    fleet = LimitFleet(size, 3, service)
    await fleet.settle()
    leaver = fleet.engines['e0']
    leaver.leaving = True
    await fleet.ask(_TOLD_S, 40)
    known_at = fleet.now
    await fleet.ask(4, 40)
    await fleet.close()
    assert leaver.arrivals
    assert leaver.most(known_at) == 0


@pytest.mark.parametrize('size', [6, 87])
async def test_one_that_has_just_started_sends_nothing(size: int) -> None:
    simulate_time()
    fleet = LimitFleet(size, 3, PLAIN)
    await fleet.settle()
    leaver = fleet.engines['e0']
    leaver.leaving = True
    await fleet.ask(2, 40)
    started = fleet.names[-1]
    fleet.kill(started)
    fleet.start(started)
    await fleet.ask(_TOLD_S, 1)
    known_at = fleet.now
    await fleet.ask(2, 20, [started])
    await fleet.close()
    assert leaver.most(known_at) == 0
