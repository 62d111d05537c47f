"""Registrations that the store executes seconds after they were sent.

A stopping process marks its entry as leaving under lease 3, gets no answer,
repeats the write under lease 4 and ends lease 4. Its successor registers under
lease 5. If the store executes the first write only now, the entry is the old
one again and expires with lease 3, while the successor keeps renewing lease 5
without an error. It then stayed unregistered for good, because the lease of an
unanswered write was never ended and the instance never checked its entry in
the store. A first write that was lost at a start had the same effect.
"""

import asyncio
import base64
import contextlib
import json
import random
from collections.abc import Iterator
from typing import Any

from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.quota import StoredUse
from tallyhall_platform.entries import InstanceEntry
from tallyhall_platform.errors import StoreError, StoreUnavailableError
from tallyhall_platform.registration import Registration
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreStandIn

from tests.platform.harness import Deployment, deployment, until

_Write = tuple[str, bytes, int]
_KEY = 'tallyhall/instances/x'
_RENEW_INTERVAL_S = 0.8
_LEASE_S = 2.4


async def test_a_delayed_leaving_mark_does_not_replace_the_new_entry() -> None:
    async with deployment(1) as made:
        old = _Process(made, 'old')
        with old.running():
            await until(lambda: _incarnation_of(made.store, _KEY) == 'old')
        late = old.drop_next_write()
        with old.leaving():
            await until(lambda: _is_leaving(made.store))
        await old.registration.unregister(0.2)
        assert not made.store.keys(_KEY)
        new = _Process(made, 'new')
        with new.running():
            await until(lambda: _incarnation_of(made.store, _KEY) == 'new')
            await _execute_late(made, late)
            assert _incarnation_of(made.store, _KEY) == 'new'
            await asyncio.sleep(_LEASE_S + _RENEW_INTERVAL_S)
            assert _incarnation_of(made.store, _KEY) == 'new'


async def test_a_late_first_write_does_not_end_the_entry() -> None:
    async with deployment(1) as made:
        new = _Process(made, 'new')
        late = new.drop_next_write()
        with new.running():
            await until(lambda: _incarnation_of(made.store, _KEY) == 'new')
            await asyncio.sleep(0.3)
            await _execute_late(made, late)
            await asyncio.sleep(_LEASE_S + _RENEW_INTERVAL_S)
            assert _incarnation_of(made.store, _KEY) == 'new'


async def test_a_missing_or_replaced_entry_is_written_again() -> None:
    """The entry is of another run, wrongly marked as leaving, or missing."""
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


async def test_an_intact_entry_is_not_written_again() -> None:
    async with deployment(2) as made:
        await made.ready()
        await asyncio.sleep(1)
        revision = made.store.revision
        await asyncio.sleep(3)
        assert made.store.revision == revision


class _LossyClient(StoreClient):
    """Drops one write and reports that it got no answer."""

    def __init__(self, address: Listening) -> None:
        super().__init__(address)
        self.is_write_lost = False
        self.unanswered: list[_Write] = []

    async def put(self, key: str, content: bytes, lease: int) -> None:
        if self.is_write_lost:
            self.is_write_lost = False
            self.unanswered.append((key, content, lease))
            raise StoreUnavailableError('no answer')
        await super().put(key, content, lease)


class _NoUse:
    """A source without any use of quotas."""

    def pending(self) -> StoredUse | None:
        """Return None: there is nothing to write."""

    def mark_written(self, use: StoredUse) -> None:
        """Ignore the call."""


class _Process:
    """The registration of the instance `x` by one of its runs."""

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
        """Register and renew inside the context."""
        task = asyncio.create_task(self.registration.run())
        yield
        task.cancel()

    @contextlib.contextmanager
    def leaving(self) -> Iterator[None]:
        """Mark the entry as leaving inside the context."""
        task = asyncio.create_task(self.registration.mark_leaving(8))
        yield
        task.cancel()

    def drop_next_write(self) -> list[_Write]:
        """Drop the next write; return a list that will hold it."""
        self._client.is_write_lost = True
        return self._client.unanswered


def _no_log(*args: Any, **fields: Any) -> None:
    """Discard a log event."""


def _address(made: Deployment) -> Listening:
    return made.options[0].store.address


async def _execute_late(made: Deployment, late: list[_Write]) -> None:
    """Execute a dropped write now, if its lease has not ended."""
    assert late
    with contextlib.suppress(StoreError):
        await StoreClient(_address(made)).put(*late[0])


def _content(store: StoreStandIn, key: str) -> dict[str, Any]:
    found = store.item(key)
    if found is None:
        return {}
    fields: dict[str, Any] = json.loads(base64.b64decode(found.text))
    return fields


def _incarnation_of(store: StoreStandIn, key: str) -> object:
    return _content(store, key).get('incarnation')


def _is_leaving(store: StoreStandIn) -> bool:
    return bool(_content(store, _KEY).get('leaving'))
