"""Sharing of upstream crashes between instances, and claims on trials."""

import asyncio
import base64
from typing import Any

import pytest
from tallyhall_core.refusals import Reason, RefusedError
from tallyhall_core.suspects import InterruptedRun, UpstreamTermination
from tallyhall_edge.guard import Fingerprint, Permit
from tallyhall_platform.end_records import (
    END_RECORDS_PREFIX,
    EndRecords,
    decode_end_records,
    encode_end_records,
)
from tallyhall_platform.errors import StoreError
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreFault, StoreStandIn
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer

from tests.platform.guard_fleet import (
    FORWARDED_S,
    HUBS,
    NOW_S,
    Fleet,
    Links,
    new_guard,
    new_recorder,
    open_store,
)
from tests.platform.harness import until

_SUSPECT = Fingerprint('x')
_LARGE = 195


def _records(ends: int) -> EndRecords:
    """Return the records of a request after this many upstream crashes."""
    runs = (InterruptedRun('x', ends),)
    return EndRecords((UpstreamTermination(f'u{ends}', NOW_S, runs),), ())


async def test_only_one_trial_runs_in_the_fleet() -> None:
    """Two instances that get no messages from each other share one claim."""
    async with open_store() as (_, address):
        guards = [new_guard(new_recorder(address, name)) for name in 'ab']
        for guard in guards:
            guard.take_stored(_records(2))
        first = await guards[0].request_permit(_SUSPECT)
        assert first.trials
        for guard in guards:
            with pytest.raises(RefusedError) as refused:
                await guard.request_permit(_SUSPECT)
            assert refused.value.refusal.reason is Reason.quarantined
        guards[0].release(first)
        await asyncio.sleep(0.05)
        assert (await guards[0].request_permit(_SUSPECT)).trials


async def test_no_trial_runs_without_the_store() -> None:
    async with open_store() as (store, address):
        guard = new_guard(new_recorder(address))
        guard.take_stored(_records(2))
        store.fault = StoreFault.silent
        with pytest.raises(RefusedError):
            await guard.request_permit(_SUSPECT)


async def test_a_request_with_one_crash_needs_no_store() -> None:
    async with open_store() as (store, address):
        store.fault = StoreFault.silent
        guard = new_guard(new_recorder(address))
        guard.take_stored(_records(1))
        permit = await guard.request_permit(_SUSPECT)
        assert permit.ends == 1
        assert not permit.trials


async def test_a_stored_success_clears_a_request() -> None:
    async with open_store() as (store, address):
        recorder = new_recorder(address)
        writing = asyncio.create_task(recorder.run())
        guard = new_guard(recorder)
        guard.take_stored(_records(2))
        guard.answered(Permit(_SUSPECT, 0, 2))
        await until(lambda: bool(store.keys(END_RECORDS_PREFIX)))
        writing.cancel()
        other = new_guard(recorder)
        other.take_stored(_records(3))
        with pytest.raises(RefusedError):
            await other.admit(_SUSPECT)
        snapshot = await StoreClient(address).snapshot(END_RECORDS_PREFIX)
        for entry in snapshot.entries:
            other.take_stored(decode_end_records(entry.content))
        assert not await other.admit(_SUSPECT)


async def test_records_survive_store_failures() -> None:
    """Records made meanwhile are written, too, and none is overwritten."""
    async with open_store() as (store, address):
        recorder = new_recorder(address)
        writing = asyncio.create_task(recorder.run())
        for fault in (StoreFault.refuses, StoreFault.resets):
            store.fault = fault
            recorder.record(_records(1))
            await asyncio.sleep(0.05)
        store.fault = StoreFault.none
        recorder.record(_records(2))
        await until(lambda: len(_stored(store)) == 3)
        writing.cancel()


def _stored(store: StoreStandIn) -> list[UpstreamTermination]:
    stored = [store.item(key) for key in store.keys(END_RECORDS_PREFIX)]
    return [
        end
        for kept in stored
        if kept is not None
        for end in decode_end_records(base64.b64decode(kept.text)).ended
    ]


def test_encoded_records_decode_to_the_same() -> None:
    records = _records(3)
    assert decode_end_records(encode_end_records(records)) == records


async def test_hubs_forward_new_records() -> None:
    """Not in a mesh, not twice, and not back to the sender."""
    async with open_store() as (_, address):
        batch = _ended_batch()
        peers = {name: Peer(name) for name in ('a', 'b', 'c')}
        hub = Links(_LARGE, peers)
        guard = new_guard(new_recorder(address), hub)
        hub.is_hub = True
        guard.take(peers['a'], batch)
        await asyncio.sleep(FORWARDED_S)
        assert hub.sent.keys() == {'b', 'c'}
        guard.take(peers['b'], batch)
        await asyncio.sleep(FORWARDED_S)
        assert len(hub.sent['c'].ended) == 1
        assert 'a' not in hub.sent
        in_mesh = Links(3, peers)
        in_mesh.is_hub = True
        one = new_guard(new_recorder(address), in_mesh)
        one.take(peers['a'], batch)
        await asyncio.sleep(FORWARDED_S)
        assert not in_mesh.sent


@pytest.mark.parametrize('size', [195, 410])
async def test_a_large_fleet_learns_of_crashes_quickly(size: int) -> None:
    """Ten instances had runs on the upstream, and each informs its hubs."""
    async with open_store() as (_, address):
        fleet = Fleet(size, new_recorder(address))
        for serial in range(10):
            run = InterruptedRun(f'run {serial}', 3)
            fleet.sees_end(HUBS + serial, run)
        fleet.deliver()
        await asyncio.sleep(FORWARDED_S)
        batches = fleet.deliver()
        for guard in fleet.guards:
            for serial in range(10):
                with pytest.raises(RefusedError):
                    await guard.admit(Fingerprint(f'run {serial}'))
        # One from each hub to each other instance, none of them forwarded.
        assert batches <= HUBS * size
        await asyncio.sleep(FORWARDED_S)
        assert not fleet.deliver()


def _ended_batch() -> Any:
    batch = peers_pb2.Batch()
    ended = batch.ended.add(upstream='u', at_s=NOW_S)
    ended.runs.add(content='x', ends=1)
    return batch


async def test_a_claim_without_a_response_expires() -> None:
    async with open_store() as (store, address):
        recorder = new_recorder(address)
        store.fault = StoreFault.loses_answers
        with pytest.raises(StoreError):
            await recorder.claim_trial('x')
        store.fault = StoreFault.none
        assert await recorder.claim_trial('x') is not None
