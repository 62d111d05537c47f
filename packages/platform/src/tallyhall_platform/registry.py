"""An instance's own entry in the store, kept alive by a lease.

The entries are how callers and other instances find each other. An entry
goes with its lease when the instance dies. One that stops marks its entry
first and removes it at its end: callers are not sent there any more, and the
other instances go on counting what it admits.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.quota import Written

from .calls import CallCause
from .entries import (
    INSTANCE_PREFIX,
    USE_KEY,
    InstanceEntry,
    encode_instance,
    encode_use,
)
from .errors import LeaseEndedError, StoreError
from .store import StoreClient

# A dead instance is offered to callers for at most this long; the lease is
# renewed three times within it, so that one lost answer does not end it.
_LEASE_S = 2.4
_RENEW_S = 0.8
# An instance whose lease ran out has not reached the store for this long.
LEAST_UNSEEN_S = _LEASE_S - _RENEW_S
_PAUSE_S = 0.2
_NO_LEASE = 0


class UseSource(Protocol):
    """The use of quotas that must outlast all processes."""

    def due(self) -> Written | None:
        """Return what must be written now, None for nothing."""

    def written(self, use: Written) -> None:
        """Take that the store has it."""


class Told(Protocol):
    """What the store was last known to hold."""

    entries: tuple[InstanceEntry, ...]
    # Nothing older than this is missing in the entries, on the loop's clock.
    confirmed_at: float


class Registration:
    """Keeps one instance's entry in the store."""

    def __init__(
        self,
        client: StoreClient,
        entry: InstanceEntry,
        log: Callable[..., None],
        rng: random.Random,
        uses: UseSource,
        least_lease_s: float,
        told: Told | None = None,
    ) -> None:
        """Register through a client that nothing else uses.

        told: None where nothing follows the store.
        """
        self._client = client
        self._entry = entry
        self._log = log
        self._rng = rng
        self._uses = uses
        self._lease_s = max(_LEASE_S, least_lease_s)
        self._lease: int | None = None
        # Writes under these got no answer and may be executed seconds later.
        self._doubtful: list[int] = []
        self._written_at = float('inf')
        self._told = told
        self._is_marked = False

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        await self._repeat(self._step)

    async def leave(self, life_s: float) -> None:
        """Mark the entry as leaving for what is left of the life.

        One lease for all of it costs two calls; renewals would cost ten.
        Until cancelled the use of quotas is written as before: after a stop
        of all, those that follow have nobody to ask.
        """
        self._entry = msgspec.structs.replace(self._entry, leaving=True)
        self._lease_s = max(self._lease_s, life_s)
        await self._repeat(self._leaving_step)

    async def end(self, within_s: float) -> None:
        """Remove the entry; a lost answer leaves that to the lease."""
        try:
            async with asyncio.timeout(within_s):
                if self._lease is not None:
                    await self._client.end_lease(self._lease)
                await self._end_doubtful()
        except (StoreError, TimeoutError) as exc:
            self._log(Event.store_call_failed, cause=repr(exc))

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            pause_s = _RENEW_S
            try:
                await step()
                self._client.cause = CallCause.steady
            except LeaseEndedError:
                self._lease = None
                pause_s = 0
            except StoreError as exc:
                self._client.cause = CallCause.retry
                self._log(Event.store_call_failed, cause=str(exc))
                pause_s = self._rng.uniform(_PAUSE_S, _RENEW_S)
            await asyncio.sleep(pause_s)

    async def _write_use(self) -> None:
        use = self._uses.due()
        if use is None:
            return
        # Under no lease: it matters after the end of this process.
        self._client.cause = CallCause.use
        await self._client.put(USE_KEY, encode_use(use), _NO_LEASE)
        self._client.cause = CallCause.steady
        self._uses.written(use)

    async def _leaving_step(self) -> None:
        if not self._is_marked:
            await self._register()
            self._is_marked = True
        await self._end_doubtful()
        await self._write_use()

    async def _step(self) -> None:
        if self._lease is None:
            await self._register()
        else:
            await self._client.keep_lease(self._lease)
            if self._is_lost():
                await self._write(self._lease)
            await self._write_use()
        await self._end_doubtful()

    def _is_lost(self) -> bool:
        """Return whether the entry that was written does not stand.

        A write of an earlier run or under an earlier lease may be executed
        after this run's own and take the entry with it, while the lease is
        renewed without an error.
        """
        told = self._told
        if told is None or told.confirmed_at <= self._written_at:
            return False
        own = (self._entry.instance, self._entry.incarnation, False)
        return all(
            (entry.instance, entry.incarnation, entry.leaving) != own
            for entry in told.entries
        )

    async def _end_doubtful(self) -> None:
        """End the leases of lost writes, which then come to nothing.

        After the entry is written under another lease, so that it stands
        all the time.
        """
        while self._doubtful:
            await self._client.end_lease(self._doubtful[-1])
            self._doubtful.pop()

    async def _register(self) -> None:
        lease = await self._client.grant_lease(self._lease_s)
        self._doubtful.append(lease)
        await self._write(lease)
        self._doubtful.remove(lease)
        self._lease = lease

    async def _write(self, lease: int) -> None:
        key = f'{INSTANCE_PREFIX}{self._entry.instance}'
        await self._client.put(key, encode_instance(self._entry), lease)
        self._written_at = asyncio.get_running_loop().time()
