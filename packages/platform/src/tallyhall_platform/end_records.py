"""Records in the store which upstreams ended and which requests they ran.

Each write uses a new key, so that a write that is executed late overwrites
nothing, and expires with its lease. A trial, one more attempt at a request
suspected of ending upstreams, is claimed by creating a key that must not
exist: only one trial runs in the whole fleet, even during a network
partition.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.part_verdicts import PartEnds, QuarantinedPart
from tallyhall_core.suspects import KEPT_S, Cleared, UpstreamTermination

from .call_counts import CallCause
from .errors import ConditionFailedError, LeaseEndedError, StoreError
from .parse import parse_json
from .store import StoreClient

END_RECORDS_PREFIX = 'tallyhall/ends/'
_TRIALS_PREFIX = 'tallyhall/trials/'
# A lease is reused for new records during this share of its lifetime, so that
# each record is kept for at least the rest of it.
_LEASE_REUSE_SHARE = 0.1
_TRIAL_LEASE_S = 15.0
# A slower claim comes too late for its request, in seconds.
_CLAIM_TIMEOUT_S = 0.3
# Shortest and longest pause after a failed write, in seconds.
_RETRY_PAUSE_RANGE_S = (0.1, 0.5)


class EndRecords(msgspec.Struct, frozen=True):
    """Upstreams that ended, and suspect requests answered since then.

    cleared_parts: parts of prompts that were answered since. quarantined_parts:
    those that crash upstreams.
    """

    ended: tuple[UpstreamTermination, ...]
    cleared: tuple[Cleared, ...]
    cleared_parts: tuple[PartEnds, ...] = ()
    quarantined_parts: tuple[QuarantinedPart, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there are no records."""
        return not any(msgspec.structs.astuple(self))


def decode_end_records(raw: bytes) -> EndRecords:
    """Decode stored records; raise DecodeError."""
    return parse_json(raw, EndRecords)


def encode_end_records(records: EndRecords) -> bytes:
    """Encode records for the store."""
    return msgspec.json.encode(records)


def merge_end_records(records: Iterable[EndRecords]) -> EndRecords:
    """Return all records in one."""
    by_field = zip(*map(msgspec.structs.astuple, records), strict=True)
    return EndRecords(*map(_concatenate, by_field))


class EndRecorder:
    """Writes records that must survive all instances, and claims trials."""

    def __init__(
        self,
        client: StoreClient,
        incarnation: str,
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """Write through `client`, which must not be shared."""
        self._client = client
        client.cause = CallCause.ends
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._queued: list[EndRecords] = []
        self._has_records = asyncio.Event()
        self._write_count = 0
        self._lease: int | None = None
        self._lease_reused_until: float = 0

    def record(self, records: EndRecords) -> None:
        """Queue records for writing."""
        self._queued.append(records)
        self._has_records.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._has_records.wait()
            try:
                await self._write()
            except LeaseEndedError:
                self._lease = None
            except StoreError as exc:
                self._log(Event.store_call_failed, cause=str(exc))
                self._client.close()
                await asyncio.sleep(self._rng.uniform(*_RETRY_PAUSE_RANGE_S))

    async def claim_trial(self, content: str) -> int | None:
        """Claim the trial of a request; return its lease, None if taken.

        Raises StoreError or TimeoutError if the store does not answer.
        """
        async with asyncio.timeout(_CLAIM_TIMEOUT_S):
            lease = await self._client.grant_lease(_TRIAL_LEASE_S)
            try:
                await self._client.create(_TRIALS_PREFIX + content, lease)
            except ConditionFailedError:
                return None
        return lease

    async def release_trial(self, lease: int) -> None:
        """Release a claim; if the call fails, its lease expires."""
        try:
            await self._client.end_lease(lease)
        except StoreError as exc:
            self._log(Event.store_call_failed, cause=str(exc))

    async def _write(self) -> None:
        lease = await self._current_lease()
        queued = tuple(self._queued)
        key = f'{END_RECORDS_PREFIX}{self._incarnation}-{self._write_count}'
        merged = merge_end_records(queued)
        await self._client.put(key, encode_end_records(merged), lease)
        self._write_count += 1
        # Records queued during the write are kept for the next one.
        self._queued = self._queued[len(queued) :]
        if not self._queued:
            self._has_records.clear()

    async def _current_lease(self) -> int:
        now = self._loop.time()
        if self._lease is None or now >= self._lease_reused_until:
            self._lease = await self._client.grant_lease(KEPT_S)
            self._lease_reused_until = now + KEPT_S * _LEASE_REUSE_SHARE
        return self._lease


def _concatenate(fields: Iterable[tuple[Any, ...]]) -> tuple[Any, ...]:
    return tuple(itertools.chain.from_iterable(fields))
