"""Registers an instance in the store under a lease.

Callers and other instances find an instance by its entry, which expires with
the lease when the instance dies. A stopping instance marks its entry as
leaving and removes it at the end: no more callers are sent to it, while the
other instances still count the requests that it admits.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.quota import StoredUse

from .call_counts import CallCause
from .entries import (
    INSTANCE_PREFIX,
    QUOTA_USE_KEY,
    InstanceEntry,
    encode_instance,
    encode_quota_use,
)
from .errors import LeaseEndedError, StoreError
from .store import StoreClient

# Callers may be sent to a dead instance for this long. The lease is renewed
# three times within it, so that one lost answer does not end it.
_LEASE_S = 2.4
_RENEW_INTERVAL_S = 0.8
# An instance whose lease expired has not reached the store for at least this
# long.
MIN_UNREACHABLE_S = _LEASE_S - _RENEW_INTERVAL_S
_MIN_RETRY_PAUSE_S = 0.2
_NO_LEASE = 0


class QuotaUseSource(Protocol):
    """Provides the use of quotas, which must survive all processes."""

    def pending(self) -> StoredUse | None:
        """Return the use to write now, None if there is nothing to write."""

    def mark_written(self, use: StoredUse) -> None:
        """Record that the store holds this use."""


class KnownEntries(Protocol):
    """The registered instances as last read from the store."""

    entries: tuple[InstanceEntry, ...]
    # The entries include every change up to this time of the loop's clock.
    complete_as_of: float


class Registration:
    """Keeps an instance's entry in the store."""

    def __init__(
        self,
        client: StoreClient,
        entry: InstanceEntry,
        log: Callable[..., None],
        rng: random.Random,
        uses: QuotaUseSource,
        least_lease_s: float,
        known: KnownEntries | None = None,
    ) -> None:
        """Register through `client`, which must not be shared.

        known: entries as read from the store, to detect that this one is
        missing; None disables the check.
        """
        self._client = client
        self._entry = entry
        self._log = log
        self._rng = rng
        self._uses = uses
        self._lease_s = max(_LEASE_S, least_lease_s)
        self._lease: int | None = None
        # Leases of writes that got no answer: the store may still execute
        # such a write seconds later.
        self._unconfirmed: list[int] = []
        self._written_at = float('inf')
        self._known = known
        self._is_marked = False

    async def run(self) -> None:
        """Keep the entry registered until cancelled."""
        await self._run_periodically(self._step)

    async def mark_leaving(self, remaining_s: float) -> None:
        """Mark the entry as leaving for the remaining lifetime of the process.

        One lease for all of this time costs two calls; renewals would cost
        ten. The use of quotas is still written until cancelled: if all
        instances stop, their successors have no peer to ask for it.
        """
        self._entry = msgspec.structs.replace(self._entry, leaving=True)
        self._lease_s = max(self._lease_s, remaining_s)
        await self._run_periodically(self._leaving_step)

    async def unregister(self, within_s: float) -> None:
        """Remove the entry; if the call fails, its lease expires."""
        try:
            async with asyncio.timeout(within_s):
                if self._lease is not None:
                    await self._client.end_lease(self._lease)
                await self._end_unconfirmed()
        except (StoreError, TimeoutError) as exc:
            self._log(Event.store_call_failed, cause=repr(exc))

    async def _run_periodically(
        self,
        step: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            pause_s = _RENEW_INTERVAL_S
            try:
                await step()
                self._client.cause = CallCause.steady
            except LeaseEndedError:
                self._lease = None
                pause_s = 0
            except StoreError as exc:
                self._client.cause = CallCause.retry
                self._log(Event.store_call_failed, cause=str(exc))
                pause_s = self._rng.uniform(
                    _MIN_RETRY_PAUSE_S,
                    _RENEW_INTERVAL_S,
                )
            await asyncio.sleep(pause_s)

    async def _write_use(self) -> None:
        use = self._uses.pending()
        if use is None:
            return
        # Without a lease, as it must survive this process.
        self._client.cause = CallCause.use
        await self._client.put(QUOTA_USE_KEY, encode_quota_use(use), _NO_LEASE)
        self._client.cause = CallCause.steady
        self._uses.mark_written(use)

    async def _leaving_step(self) -> None:
        if not self._is_marked:
            await self._register()
            self._is_marked = True
        await self._end_unconfirmed()
        await self._write_use()

    async def _step(self) -> None:
        if self._lease is None:
            await self._register()
        else:
            await self._client.renew_lease(self._lease)
            if self._is_entry_missing():
                await self._write(self._lease)
            await self._write_use()
        await self._end_unconfirmed()

    def _is_entry_missing(self) -> bool:
        """Return whether the store no longer holds the entry as written.

        A delayed write of an earlier run or under an earlier lease may
        overwrite the entry and expire with that lease, while the current
        lease is renewed without an error.
        """
        known = self._known
        if known is None or known.complete_as_of <= self._written_at:
            return False
        own = (self._entry.instance, self._entry.incarnation, False)
        return all(
            (entry.instance, entry.incarnation, entry.leaving) != own
            for entry in known.entries
        )

    async def _end_unconfirmed(self) -> None:
        """End the leases of unanswered writes, so that these have no effect.

        Called once the entry is written under another lease, so that it is
        never missing.
        """
        while self._unconfirmed:
            await self._client.end_lease(self._unconfirmed[-1])
            self._unconfirmed.pop()

    async def _register(self) -> None:
        lease = await self._client.grant_lease(self._lease_s)
        self._unconfirmed.append(lease)
        await self._write(lease)
        self._unconfirmed.remove(lease)
        self._lease = lease

    async def _write(self, lease: int) -> None:
        key = f'{INSTANCE_PREFIX}{self._entry.instance}'
        await self._client.put(key, encode_instance(self._entry), lease)
        self._written_at = asyncio.get_running_loop().time()
