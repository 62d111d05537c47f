"""Removals of upstreams during and after an outage of the store.

Two instances lost their connection to the store for 12 s, while an upstream
was removed. One of them sent it a request 3.1 s after the connection worked
again, later than the 3 s of `contact_s`, and both dropped it only after 3.4 s.
Every failed call counted as an outage of the store itself, so removals were
held for 2.3 s from the time at which the return was noticed, up to 1.3 s late,
and applied only when the watch running then had ended.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.options import Listening
from tallyhall_edge.client import ClientConnection
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import (
    HOST,
    PLAIN,
    Caller,
    Deployment,
    deployment,
    until,
)

_REMOVED_KEY = 'servers/plain-1'
# A watch that was pending when the store went silent is answered within this
# time.
_LAST_WATCH_S = 1.5


async def test_a_removed_upstream_gets_no_requests_after_the_bound() -> None:
    async with deployment(revoke_s=30) as made:
        await made.add_engine('plain-0', PLAIN)
        gone = await made.add_engine('plain-1', PLAIN)
        await made.ready()
        async with _load(made.caller()):
            restored_at = await _outage(made, 2.5)
            seen = len(gone.seen)
            assert seen
            await _until_time(restored_at + made.options[0].bounds.contact_s)
            seen = len(gone.seen)
            await asyncio.sleep(1)
            assert len(gone.seen) == seen


async def test_the_bound_is_configurable() -> None:
    async with deployment(contact_s=1.2, heartbeat_s=0.4) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        restored_at = await _outage(made, 0.5)
        assert instance.usable_upstreams == 2
        await _until_time(restored_at + 1.2)
        assert instance.usable_upstreams == 1


async def test_entries_that_return_in_time_are_used_throughout() -> None:
    async with deployment(revoke_s=30) as made:
        await made.add_engine('plain-0', PLAIN)
        back = await made.add_engine('plain-1', PLAIN)
        await made.ready()
        async with _load(made.caller()):
            restored_at = await _outage(made, 2.5)
            while asyncio.get_running_loop().time() < restored_at + 2:
                seen = len(back.seen)
                await asyncio.sleep(0.3)
                assert len(back.seen) > seen
            made.register('plain-1', made.addresses['plain-1'], PLAIN)
            while asyncio.get_running_loop().time() < restored_at + 4:
                seen = len(back.seen)
                await asyncio.sleep(0.3)
                assert len(back.seen) > seen


@pytest.mark.parametrize('fault', [StoreFault.resets, StoreFault.silent])
async def test_a_single_failed_call_holds_no_removal(fault: StoreFault) -> None:
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        made.store.fault = fault
        await made.next_watch()
        made.store.fault = StoreFault.none
        made.store.remove(_REMOVED_KEY)
        # A watch without an answer times out after 1.5 s.
        await until(lambda: instance.usable_upstreams == 1, 1.8)


async def test_an_unanswered_watch_ends_within_the_bound() -> None:
    """A removal is applied in time although a watch got no answer.

    A watch used to time out after 1.5 s, or 2.5 s in a large fleet,
    regardless of `contact_s`.
    """
    async with deployment(contact_s=1.3) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        await asyncio.sleep(1)
        made.store.fault = StoreFault.silent
        await made.next_watch()
        made.store.fault = StoreFault.none
        made.store.remove(_REMOVED_KEY)
        await until(lambda: instance.usable_upstreams == 1, 1.3)


async def test_a_store_that_answers_others_holds_no_removal() -> None:
    # Others hear an instance only until its own entry expires.
    async with deployment(2, least_lease_s=20) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        cut = made.instances[0]
        options = made.options[0]
        nowhere = Listening(HOST, free_ports(1)[0])
        lost = msgspec.structs.replace(options.store, address=nowhere)
        cut.reload(msgspec.structs.replace(options, store=lost))
        await asyncio.sleep(4)
        made.store.remove(_REMOVED_KEY)
        await asyncio.sleep(0.5)
        assert cut.usable_upstreams == 2
        cut.reload(options)
        await until(lambda: cut.usable_upstreams == 1, 1)


async def test_rate_limited_calls_are_no_outage() -> None:
    """A removal is applied at once after calls were refused as too many.

    The store works then, and upstreams write their entries. Such refusals
    used to count as an outage, and removals were held for 2.2 s after it.
    """
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        made.store.fault = StoreFault.limits
        await asyncio.sleep(4.5)
        made.store.remove(_REMOVED_KEY)
        made.store.fault = StoreFault.none
        # The pause after refused calls is at most 0.8 s.
        await until(lambda: instance.usable_upstreams == 1, 1)


async def test_an_upstream_removed_while_connecting_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An upstream is checked again right before the first byte is sent.

    Connecting may take 0.3 s, more than the margin of `contact_s`. A granted
    request used to be sent although its upstream had been removed meanwhile.
    """
    async with deployment() as made:
        gone = await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        slow = _SlowConnect(int(made.addresses['plain-1'].rpartition(':')[2]))
        monkeypatch.setattr(ClientConnection, 'open', slow)
        # A watch that has just begun returns the removal at once, unless it
        # already ends with what the instance itself wrote at its start.
        await asyncio.sleep(1)
        await made.next_watch()
        answered = await made.caller().start('/once/x', 'r1')
        await slow.began.wait()
        made.store.remove(_REMOVED_KEY)
        await until(lambda: not instance.usable_upstreams, 0.2)
        assert (await answered).status == 503
        assert gone.connections == 1
        assert not gone.seen


class _SlowConnect:
    """Delays connections to one port by a quarter of a second."""

    def __init__(self, port: int) -> None:
        self.began = asyncio.Event()
        self._port = port
        self._open = ClientConnection.open

    async def __call__(
        self,
        host: str,
        port: int,
        *more: Any,
    ) -> ClientConnection:
        if port == self._port:
            self.began.set()
            await asyncio.sleep(0.25)
        return await self._open(host, port, *more)


async def _outage(made: Deployment, more_s: float) -> float:
    """Cut the connection to the store; return when it works again.

    An upstream is removed meanwhile. The connection is restored right after
    the start of a watch that gets no answer, so that this is noticed as late
    as possible.
    """
    made.store.fault = StoreFault.silent
    await asyncio.sleep(_LAST_WATCH_S)
    made.store.remove(_REMOVED_KEY)
    await asyncio.sleep(more_s)
    await made.next_watch()
    made.store.fault = StoreFault.none
    return asyncio.get_running_loop().time()


async def _until_time(moment: float) -> None:
    await asyncio.sleep(moment - asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def _load(caller: Caller) -> AsyncIterator[None]:
    """Send requests one after another inside the context; all must succeed."""
    ends = asyncio.Event()
    task = asyncio.create_task(_send(caller, ends))
    yield
    ends.set()
    assert await task == {200}


async def _send(caller: Caller, ends: asyncio.Event) -> set[int]:
    statuses: set[int] = set()
    for number in itertools.count():
        if ends.is_set():
            break
        answer = await caller.ask('/safe/x', f'load-{number}')
        statuses.add(answer.status)
        await asyncio.sleep(0.02)
    return statuses
