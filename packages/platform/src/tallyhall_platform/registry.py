"""An instance's own entry in the store, kept alive by a lease.

The entries are how callers and other instances find each other. An entry
goes with its lease when the instance dies, and at once when it stops.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable

from tallyhall_core.events import Event

from .errors import DecodeError, LeaseEndedError, StoreError
from .store import StoreClient

INSTANCE_PREFIX = 'tallyhall/instances/'
# A dead instance is offered to callers for at most this long; the lease is
# renewed three times within it, so that one lost answer does not end it.
_LEASE_S = 2.4
_RENEW_S = 0.8
_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """What an instance tells the others about itself."""

    instance: str
    incarnation: str
    front: str
    peer: str
    zone: str
    region: str


def decode_instance(raw: bytes) -> InstanceEntry:
    """Return an entry; raise DecodeError."""
    try:
        return InstanceEntry(**json.loads(raw))
    except (TypeError, ValueError) as exc:
        raise DecodeError(f'instance entry: {exc}') from exc


class Registration:
    """Keeps one instance's entry in the store."""

    def __init__(
        self,
        client: StoreClient,
        entry: InstanceEntry,
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """Register through a client that nothing else uses."""
        self._client = client
        self._entry = entry
        self._log = log
        self._rng = rng
        self._lease: int | None = None

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        while True:
            pause_s = _RENEW_S
            try:
                await self._step()
            except LeaseEndedError:
                self._lease = None
                pause_s = 0
            except StoreError as exc:
                self._log(Event.store_call_failed, cause=str(exc))
                pause_s = self._rng.uniform(_PAUSE_S, _RENEW_S)
            await asyncio.sleep(pause_s)

    async def leave(self) -> None:
        """Remove the entry; a lost answer leaves that to the lease."""
        if self._lease is None:
            return
        try:
            await self._client.end_lease(self._lease)
        except StoreError as exc:
            self._log(Event.store_call_failed, cause=str(exc))

    async def _step(self) -> None:
        if self._lease is not None:
            await self._client.keep_lease(self._lease)
            return
        lease = await self._client.grant_lease(_LEASE_S)
        raw = json.dumps(dataclasses.asdict(self._entry)).encode()
        key = f'{INSTANCE_PREFIX}{self._entry.instance}'
        await self._client.put(key, raw, lease)
        self._lease = lease
