"""Records in the store which upstreams ended and which requests they ran.

Each write uses a new key, so that a write that is executed late overwrites
nothing, and expires with its lease. A trial, one more attempt at a request
suspected of ending upstreams, is claimed by creating a key that must not
exist: only one trial runs in the whole fleet, even during a network
partition.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from tallyhall_core.events import Event
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
    """Upstreams that ended, and suspect requests answered since then."""

    ended: tuple[UpstreamTermination, ...]
    cleared: tuple[Cleared, ...]


def decode_end_records(raw: bytes) -> EndRecords:
    """Decode stored records; raise DecodeError."""
    return parse_json(raw, EndRecords)


def encode_end_records(records: EndRecords) -> bytes:
    """Encode records for the store."""
    return msgspec.json.encode(records)


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
        self._ended: list[UpstreamTermination] = []
        self._cleared: list[Cleared] = []
        self._has_records = asyncio.Event()
        self._write_count = 0
        self._lease: int | None = None
        self._lease_reused_until: float = 0

    def record_termination(self, end: UpstreamTermination) -> None:
        """Queue the end of an upstream for writing."""
        self._ended.append(end)
        self._has_records.set()

    def record_cleared(self, cleared: Cleared) -> None:
        """Queue the record that a suspect request was answered."""
        self._cleared.append(cleared)
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
        records = EndRecords(tuple(self._ended), tuple(self._cleared))
        key = f'{END_RECORDS_PREFIX}{self._incarnation}-{self._write_count}'
        await self._client.put(key, encode_end_records(records), lease)
        self._write_count += 1
        # Records queued during the write are kept for the next one.
        self._ended = self._ended[len(records.ended) :]
        self._cleared = self._cleared[len(records.cleared) :]
        if not self._ended and not self._cleared:
            self._has_records.clear()

    async def _current_lease(self) -> int:
        now = self._loop.time()
        if self._lease is None or now >= self._lease_reused_until:
            self._lease = await self._client.grant_lease(KEPT_S)
            self._lease_reused_until = now + KEPT_S * _LEASE_REUSE_SHARE
        return self._lease
