"""No instance sends requests to an upstream that announced its leaving.

In a large fleet an instance exchanges messages with the hubs only. Hubs did
not forward the announcement, so for a service without an owner each instance
sent requests until it received such a response itself.
"""

import pytest

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import MODEL, PLAIN
from tests.platform.limit_fleet import LimitFleet

_PROPAGATION_S = 0.5


@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('size', [6, 87])
async def test_no_instance_sends_once_leaving_is_known(
    size: int,
    service: str,
) -> None:
    wait_for(Outside.nothing)
    fleet = LimitFleet(size, 3, service)
    await fleet.settle()
    leaving_engine = fleet.engines['e0']
    leaving_engine.leaving = True
    await fleet.send_requests(_PROPAGATION_S, 40)
    propagated_at = fleet.now
    await fleet.send_requests(4, 40)
    await fleet.close()
    assert leaving_engine.arrivals
    assert leaving_engine.max_in_window(propagated_at) == 0


@pytest.mark.parametrize('size', [6, 87])
async def test_restarted_instance_sends_nothing(size: int) -> None:
    wait_for(Outside.nothing)
    fleet = LimitFleet(size, 3, PLAIN)
    await fleet.settle()
    leaving_engine = fleet.engines['e0']
    leaving_engine.leaving = True
    await fleet.send_requests(2, 40)
    started = fleet.names[-1]
    fleet.kill(started)
    fleet.start(started)
    await fleet.send_requests(_PROPAGATION_S, 1)
    propagated_at = fleet.now
    await fleet.send_requests(2, 20, [started])
    await fleet.close()
    assert leaving_engine.max_in_window(propagated_at) == 0
