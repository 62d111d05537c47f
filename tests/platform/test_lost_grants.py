"""Slots and asks whose messages were lost with a stream come back."""

import pytest

from tests.platform.ask_network import OWNERS, AskNetwork


@pytest.mark.parametrize('times', [1, 5])
async def test_a_grant_that_is_lost_with_its_stream_takes_no_slot_for_good(
    monkeypatch: pytest.MonkeyPatch, times: int
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    owner = network.owners()[0]
    for number in range(times):
        network.broken.add((owner, 'a'))
        asked = network.ask(f'a/{number}', due_s=5)
        await network.run(0.1)
        await network.leave(f'a/{number}', asked)
        await network.run(0.1)
        network.flush_all()
        network.reopen(owner, 'a')
        await network.run(0.2)
        assert not network.running(owner)


async def test_a_job_whose_grant_is_lost_while_it_waits_is_granted_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    owner = network.owners()[0]
    network.occupy(owner)
    asked = network.ask('a/1', due_s=5)
    await network.run(0.1)
    assert network.holds(owner, 'a/1')
    network.broken.add((owner, 'a'))
    network.vacate(owner)
    await network.run(0.1)
    assert not asked.done()
    network.reopen(owner, 'a')
    await network.run(0.2)
    assert asked.done()
    assert network.running(owner) == 1


async def test_a_job_whose_ask_is_lost_while_it_waits_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    owner = network.owners()[0]
    network.occupy(owner)
    asked = network.ask('a/1', due_s=5)
    await network.run(0.1)
    network.reopen('a', owner)
    await network.run(0.1)
    assert network.holds(owner, 'a/1')
    network.vacate(owner)
    await network.run(0.1)
    assert asked.done()


async def test_a_running_job_keeps_its_slot_when_streams_open_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = AskNetwork(monkeypatch, ('a', *OWNERS))
    owner = network.owners()[0]
    asked = network.ask('a/1', due_s=5)
    await network.run(0.1)
    assert asked.done()
    for pair in ((owner, 'a'), ('a', owner), (owner, 'a')):
        network.reopen(*pair)
        await network.run(0.1)
        network.flush_all()
        await network.run(0.1)
        assert network.running(owner) == 1
