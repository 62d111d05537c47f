"""Ends of upstreams, kept in the store under the requests that ran there.

Each write has a key of its own, so that one that is executed late overwrites
nothing, and goes with its lease once it is forgotten. A trial of a suspect is
claimed with a key that must not exist: one runs in the whole fleet, however
its parts are cut off from each other.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.suspects import KEPT_S, Cleared, UpstreamEnd

from .calls import CallCause
from .errors import ConditionFailedError, LeaseEndedError, StoreError
from .parse import parsed
from .store import StoreClient

ENDS_PREFIX = 'tallyhall/ends/'
_TRIALS_PREFIX = 'tallyhall/trials/'
# A lease is written under for this part of its life, so that what it keeps is
# kept for most of the time.
_LEASE_USED_PART = 0.1
_TRIAL_S = 15.0
# A claim that takes longer is of no use to its request, in seconds.
_CLAIM_S = 0.3
# Pause after a failed write, in seconds, at least and at most.
_PAUSES_S = (0.1, 0.5)


class EndRecords(msgspec.Struct, frozen=True):
    """Upstreams that ended, and suspects that were served since."""

    ended: tuple[UpstreamEnd, ...]
    cleared: tuple[Cleared, ...]


def decode_ends(raw: bytes) -> EndRecords:
    """Return what was written of ends; raise DecodeError."""
    return parsed(raw, EndRecords)


def encode_ends(records: EndRecords) -> bytes:
    """Return records as they are written."""
    return msgspec.json.encode(records)


class EndRecorder:
    """Writes what must outlast all instances, and claims trials."""

    def __init__(
        self,
        client: StoreClient,
        incarnation: str,
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """Write through a client that nothing else uses."""
        self._client = client
        client.cause = CallCause.ends
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._ended: list[UpstreamEnd] = []
        self._cleared: list[Cleared] = []
        self._due = asyncio.Event()
        self._written = 0
        self._lease: int | None = None
        self._leased_until: float = 0

    def ended(self, end: UpstreamEnd) -> None:
        """Have an end written."""
        self._ended.append(end)
        self._due.set()

    def cleared(self, cleared: Cleared) -> None:
        """Have it written that a suspect was served."""
        self._cleared.append(cleared)
        self._due.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._due.wait()
            try:
                await self._write()
            except LeaseEndedError:
                self._lease = None
            except StoreError as exc:
                self._log(Event.store_call_failed, cause=str(exc))
                self._client.close()
                await asyncio.sleep(self._rng.uniform(*_PAUSES_S))

    async def claim(self, content: str) -> int | None:
        """Claim the trial of a request; return its lease, None if refused.

        Raises StoreError or TimeoutError where the store does not say.
        """
        async with asyncio.timeout(_CLAIM_S):
            lease = await self._client.grant_lease(_TRIAL_S)
            try:
                await self._client.create(_TRIALS_PREFIX + content, lease)
            except ConditionFailedError:
                return None
        return lease

    async def release(self, lease: int) -> None:
        """Give a claim back; one that cannot be goes with its lease."""
        try:
            await self._client.end_lease(lease)
        except StoreError as exc:
            self._log(Event.store_call_failed, cause=str(exc))

    async def _write(self) -> None:
        lease = await self._current_lease()
        records = EndRecords(tuple(self._ended), tuple(self._cleared))
        key = f'{ENDS_PREFIX}{self._incarnation}-{self._written}'
        await self._client.put(key, encode_ends(records), lease)
        self._written += 1
        # What came while it was written is written next.
        self._ended = self._ended[len(records.ended) :]
        self._cleared = self._cleared[len(records.cleared) :]
        if not self._ended and not self._cleared:
            self._due.clear()

    async def _current_lease(self) -> int:
        now = self._loop.time()
        if self._lease is None or now >= self._leased_until:
            self._lease = await self._client.grant_lease(KEPT_S)
            self._leased_until = now + KEPT_S * _LEASE_USED_PART
        return self._lease
