"""Writes of an instance's entry that the store executes seconds later.

The failure: a process that stops writes its mark under lease 3 and gets no
answer, repeats it under lease 4 and ends lease 4 at its end. The new process
registers under lease 5. Now the store executes the first write: the entry is
the old run's, marked, under lease 3, and goes with that lease. The new one
renews lease 5, which is answered, and never writes again: no caller is sent
to it and no other instance counts it, for good. The same happens at a start
after a first write that was lost.

The cause: a lease that a write went out under was forgotten where the write
got no answer, so nobody ended it; and a registration never looked at what
the store holds.

The evidence: the store's item after each step, in the same course: the old
run's incarnation with `leaving` after the late write, no item 6 s later.
"""

import asyncio
import base64
import contextlib
import json
import random
from collections.abc import Iterator
from typing import Any

from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.quota import Written
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.errors import StoreError, StoreUnavailableError
from tallyhall_platform.registry import Registration
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreStandIn

from tests.platform.harness import Deployment, deployment, until

_Write = tuple[str, bytes, int]
_KEY = 'tallyhall/instances/x'
_RENEWED_S = 0.8
_LEASE_S = 2.4


async def test_a_late_mark_does_not_replace_the_new_entry() -> None:
    async with deployment(1) as made:
        old = _Process(made, 'old')
        with old.running():
            await until(lambda: _run_of(made.store, _KEY) == 'old')
        late = old.lose_a_write()
        with old.leaving():
            await until(lambda: _is_marked(made.store))
        await old.registration.end(0.2)
        assert not made.store.keys(_KEY)
        new = _Process(made, 'new')
        with new.running():
            await until(lambda: _run_of(made.store, _KEY) == 'new')
            await _execute(made, late)
            assert _run_of(made.store, _KEY) == 'new'
            await asyncio.sleep(_LEASE_S + _RENEWED_S)
            assert _run_of(made.store, _KEY) == 'new'


async def test_a_late_first_write_does_not_end_the_entry() -> None:
    async with deployment(1) as made:
        new = _Process(made, 'new')
        late = new.lose_a_write()
        with new.running():
            await until(lambda: _run_of(made.store, _KEY) == 'new')
            await asyncio.sleep(0.3)
            await _execute(made, late)
            await asyncio.sleep(_LEASE_S + _RENEWED_S)
            assert _run_of(made.store, _KEY) == 'new'


async def test_an_entry_that_is_lost_is_written_again() -> None:
    """It is another run's, or marked though this run stays, or missing."""
    async with deployment(1) as made:
        await made.ready()
        key = 'tallyhall/instances/entry-1'
        own = _content(made.store, key)
        made.store.put(key, own | {'incarnation': 'old'})
        await until(lambda: _content(made.store, key) == own, 4)
        made.store.put(key, own | {'leaving': True})
        await until(lambda: _content(made.store, key) == own, 4)
        made.store.remove(key)
        await until(lambda: _content(made.store, key) == own, 4)


async def test_an_entry_that_stands_is_not_written_again() -> None:
    async with deployment(2) as made:
        await made.ready()
        await asyncio.sleep(1)
        revision = made.store.revision
        await asyncio.sleep(3)
        assert made.store.revision == revision


class _LossyClient(StoreClient):
    """Gets no answer to one write."""

    def __init__(self, address: Listening) -> None:
        super().__init__(address)
        self.is_losing = False
        self.lost: list[_Write] = []

    async def put(self, key: str, content: bytes, lease: int) -> None:
        if self.is_losing:
            self.is_losing = False
            self.lost.append((key, content, lease))
            raise StoreUnavailableError('no answer')
        await super().put(key, content, lease)


class _NoUse:
    """Nothing was used."""

    def due(self) -> Written | None:
        """Return nothing."""

    def written(self, use: Written) -> None:
        """Take nothing."""


class _Process:
    """One run's registration of the instance `x`."""

    def __init__(self, made: Deployment, incarnation: str) -> None:
        self._client = _LossyClient(_address(made))
        self.registration = Registration(
            self._client,
            InstanceEntry('x', incarnation, 'h:1', 'h:2', 'a', 'r'),
            _no_log,
            random.Random(1),
            _NoUse(),
            1,
        )

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Register and renew meanwhile."""
        task = asyncio.create_task(self.registration.run())
        yield
        task.cancel()

    @contextlib.contextmanager
    def leaving(self) -> Iterator[None]:
        """Mark the entry meanwhile."""
        task = asyncio.create_task(self.registration.leave(8))
        yield
        task.cancel()

    def lose_a_write(self) -> list[_Write]:
        """Get no answer to the next write; return it once it was sent."""
        self._client.is_losing = True
        return self._client.lost


def _no_log(*args: Any, **fields: Any) -> None:
    """Drop the line."""


def _address(made: Deployment) -> Listening:
    return made.options[0].store.address


async def _execute(made: Deployment, late: list[_Write]) -> None:
    """Let the store execute what it got before, if its lease still runs."""
    assert late
    with contextlib.suppress(StoreError):
        await StoreClient(_address(made)).put(*late[0])


def _content(store: StoreStandIn, key: str) -> dict[str, Any]:
    found = store.item(key)
    if found is None:
        return {}
    fields: dict[str, Any] = json.loads(base64.b64decode(found.text))
    return fields


def _run_of(store: StoreStandIn, key: str) -> object:
    return _content(store, key).get('incarnation')


def _is_marked(store: StoreStandIn) -> bool:
    return bool(_content(store, _KEY).get('leaving'))
