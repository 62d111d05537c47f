"""Requests that ask slow, partitioned or stopping owners.

Guards against three failures:

Lost jobs. When an owner got no CPU time for 0.1 s, a request queued there asked
the next owner and moved back 0.3 s later. Withdrawals wait for the next
heartbeat (1.1 s at 87 instances), so the withdrawal was sent in one batch with
the new ask. The owner accepted the ask, responded "queued", and then processed
the withdrawal and dropped the job. The request waited until it was given up
although slots were free.

Overfilled engines. When all instances stopped at once, no instance owned a
service, and each considered itself the only one and filled all slots: with six
stopping instances 24 requests ran at once on an engine with 4 slots.

Repeated asks. A request whose owners were partitioned left the local queue
every 0.3 s to ask them again, and so was in no queue for half of the time. A
request that was due soon spent 180 ms on three unresponsive owners.
"""

import asyncio

import pytest
from tallyhall_entry import shared

from tests.platform.ask_network import OWNERS, AskNetwork
from tests.platform.harness import deployment, patient


async def test_a_job_that_is_asked_for_again_is_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    first, second = network.owners()[:2]
    network.occupy(first, second)
    network.late_s[first] = 0.1
    asked = network.ask('a/1', due_s=5)
    await network.run(0.15)
    network.late_s.clear()
    # The first owner is asked again before the next heartbeat.
    await network.run(0.6)
    assert any(network.holds(name, 'a/1') for name in OWNERS)
    network.vacate(first, second)
    await network.run(0.2)
    assert asked.done()
    await asked


async def test_a_withdrawn_ask_is_not_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An ask that is withdrawn before it is sent queues nothing."""
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    first = network.owners()[0]
    network.occupy(first)
    asked = network.ask('a/1', due_s=5)
    asyncio.get_running_loop().call_soon(asked.cancel)
    await network.run(0.2)
    network.flush_all()
    await network.run(0.1)
    assert asked.cancelled()
    assert not network.holds(first, 'a/1')


async def test_a_stopping_fleet_counts_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All instances share one event loop, whose delays must not count as an
    # unresponsive owner.
    monkeypatch.setattr(shared, '_OWNER_TIMEOUT_S', 5)
    async with deployment(6) as made:
        engine = await made.add_engine('model-0', event_s=0.02)
        await made.ready()
        await made.change(patient(2))
        stops = [
            asyncio.create_task(stopping.stop()) for stopping in made.instances
        ]
        await asyncio.sleep(0.8)
        statuses = await made.ask_all([number % 6 for number in range(24)])
        assert set(statuses) == {200}
        assert engine.most_running <= 4
        await asyncio.gather(*stops)


async def test_unresponsive_owners_are_not_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    network.lost.update(OWNERS)
    network.occupy('a')
    asked = network.ask('a/1', due_s=5)
    await network.run(0.25)
    assert network.asks() == list(network.owners())
    await network.run(1)
    assert network.asks() == list(network.owners())
    # Once the owners are reachable again, waiting requests ask them. One
    # heartbeat carries the question, the next one its answer.
    network.lost.clear()
    network.flush_all()
    await network.run(0.1)
    network.flush_all()
    await network.run(0.2)
    assert network.asks()[3:]
    asked.cancel()


@pytest.mark.parametrize(('due_s', 'expected'), [(0.3, 2), (5, 3)])
async def test_a_request_due_soon_asks_two_owners(
    monkeypatch: pytest.MonkeyPatch,
    due_s: float,
    expected: int,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    network.lost.update(OWNERS)
    network.occupy('a')
    asked = network.ask('a/1', due_s=due_s)
    await network.run(0.25)
    assert len(network.asks()) == expected
    asked.cancel()
