"""Sharing of upstream crashes between instances, and claims on trials."""

import asyncio
import base64
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_core.refusals import Reason, RefusedError
from tallyhall_core.suspects import InterruptedRun, UpstreamTermination
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.options import Listening
from tallyhall_edge.guard import Fingerprint, Permit
from tallyhall_entry.guard import SharedGuard
from tallyhall_entry.logs import EventLog
from tallyhall_platform.end_records import (
    END_RECORDS_PREFIX,
    EndRecorder,
    EndRecords,
    decode_end_records,
    encode_end_records,
)
from tallyhall_platform.errors import StoreError
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreFault, StoreStandIn
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from tests.platform.harness import HOST, direct_paths, log_stream, until

_SUSPECT = Fingerprint('x')
_NOW_S = 1_700_000_000.0
_LARGE = 195
_HUBS = 4
# Longer than a hub collects records before it forwards them.
_FORWARDED_S = 0.05


def _records(ends: int) -> EndRecords:
    """Return the records of a request after this many upstream crashes."""
    runs = (InterruptedRun('x', ends),)
    return EndRecords((UpstreamTermination(f'u{ends}', _NOW_S, runs),), ())


@contextlib.asynccontextmanager
async def _store() -> AsyncIterator[tuple[StoreStandIn, Listening]]:
    store = StoreStandIn()
    address = Listening(HOST, free_ports(1)[0])
    await store.listen(address.host, address.port)
    try:
        yield store, address
    finally:
        store.close()


def _ignore(*_: object, **fields: object) -> None:
    """Ignore all arguments."""


def _recorder(address: Listening, name: str = 'a') -> EndRecorder:
    return EndRecorder(StoreClient(address), name, _ignore, random.Random(1))


@dataclasses.dataclass(slots=True)
class _Links:
    """Links that record the batches sent to each peer."""

    instances: int
    peers: dict[str, Peer]
    sent: dict[str, peers_pb2.Batch] = dataclasses.field(default_factory=dict)
    is_hub: bool = False

    is_relay = PeerStreams.is_relay

    def next_batch(self, name: str, *, urgent: bool) -> peers_pb2.Batch:
        assert urgent
        return self.sent.setdefault(name, peers_pb2.Batch())


def _guard(
    recorder: EndRecorder, peer_streams: _Links | None = None
) -> SharedGuard:
    peer_streams = peer_streams or _Links(1, {})
    return SharedGuard(
        cast(PeerStreams, peer_streams),
        recorder,
        EventLog(log_stream()),
        lambda: _NOW_S,
        direct_paths().refuses,
    )


async def test_only_one_trial_runs_in_the_fleet() -> None:
    """Two instances that get no messages from each other share one claim."""
    async with _store() as (_, address):
        guards = [_guard(_recorder(address, name)) for name in 'ab']
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
    async with _store() as (store, address):
        guard = _guard(_recorder(address))
        guard.take_stored(_records(2))
        store.fault = StoreFault.silent
        with pytest.raises(RefusedError):
            await guard.request_permit(_SUSPECT)


async def test_a_request_with_one_crash_needs_no_store() -> None:
    async with _store() as (store, address):
        store.fault = StoreFault.silent
        guard = _guard(_recorder(address))
        guard.take_stored(_records(1))
        permit = await guard.request_permit(_SUSPECT)
        assert permit.ends == 1
        assert not permit.trials


async def test_a_stored_success_clears_a_request() -> None:
    async with _store() as (store, address):
        recorder = _recorder(address)
        writing = asyncio.create_task(recorder.run())
        guard = _guard(recorder)
        guard.take_stored(_records(2))
        guard.answered(Permit(_SUSPECT, 0, 2))
        await until(lambda: bool(store.keys(END_RECORDS_PREFIX)))
        writing.cancel()
        other = _guard(recorder)
        other.take_stored(_records(3))
        with pytest.raises(RefusedError):
            await other.admit(_SUSPECT)
        snapshot = await StoreClient(address).snapshot(END_RECORDS_PREFIX)
        for entry in snapshot.entries:
            other.take_stored(decode_end_records(entry.content))
        assert not await other.admit(_SUSPECT)


async def test_records_survive_store_failures() -> None:
    """Records made meanwhile are written, too, and none is overwritten."""
    async with _store() as (store, address):
        recorder = _recorder(address)
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
    async with _store() as (_, address):
        batch = _ended_batch()
        peers = {name: Peer(name) for name in ('a', 'b', 'c')}
        hub = _Links(_LARGE, peers)
        guard = _guard(_recorder(address), hub)
        hub.is_hub = True
        guard.take(peers['a'], batch)
        await asyncio.sleep(_FORWARDED_S)
        assert hub.sent.keys() == {'b', 'c'}
        guard.take(peers['b'], batch)
        await asyncio.sleep(_FORWARDED_S)
        assert len(hub.sent['c'].ended) == 1
        assert 'a' not in hub.sent
        in_mesh = _Links(3, peers)
        in_mesh.is_hub = True
        one = _guard(_recorder(address), in_mesh)
        one.take(peers['a'], batch)
        await asyncio.sleep(_FORWARDED_S)
        assert not in_mesh.sent


@pytest.mark.parametrize('size', [195, 410])
async def test_a_large_fleet_learns_of_crashes_quickly(size: int) -> None:
    """Ten instances had runs on the upstream, and each informs its hubs."""
    async with _store() as (_, address):
        fleet = _Fleet(size, _recorder(address))
        for serial in range(10):
            run = InterruptedRun(f'run {serial}', 3)
            fleet.sees_end(_HUBS + serial, run)
        fleet.deliver()
        await asyncio.sleep(_FORWARDED_S)
        batches = fleet.deliver()
        for guard in fleet.guards:
            for serial in range(10):
                with pytest.raises(RefusedError):
                    await guard.admit(Fingerprint(f'run {serial}'))
        # One from each hub to each other instance, none of them forwarded.
        assert batches <= _HUBS * size
        await asyncio.sleep(_FORWARDED_S)
        assert not fleet.deliver()


class _Fleet:
    """Instances with streams to and from a few hubs."""

    def __init__(self, size: int, recorder: EndRecorder) -> None:
        """Create all instances; the first ones are hubs."""
        names = [f'n{number}' for number in range(size)]
        self.peer_streams: list[_Links] = []
        self.guards: list[SharedGuard] = []
        for number, name in enumerate(names):
            linked = names if number < _HUBS else names[:_HUBS]
            peers = {one: Peer(one) for one in linked if one != name}
            self.peer_streams.append(_Links(size, peers))
            guard = _guard(recorder, self.peer_streams[-1])
            self.peer_streams[-1].is_hub = number < _HUBS
            self.guards.append(guard)

    def sees_end(self, number: int, run: InterruptedRun) -> None:
        """Let an instance detect that an upstream crashed during a run."""
        upstream = Upstream('u', 'svc', HOST, 1, 'a', 9, leaving=False)
        self.guards[number]._on_end(upstream, (run,))  # noqa: SLF001

    def deliver(self) -> int:
        """Deliver all batches to their receivers; return their number."""
        sent = 0
        for number, peer_streams in enumerate(self.peer_streams):
            batches = peer_streams.sent
            peer_streams.sent = {}
            for name, batch in batches.items():
                sent += 1
                receiver = self.guards[int(name[1:])]
                receiver.take(Peer(f'n{number}'), batch)
        return sent


def _ended_batch() -> Any:
    batch = peers_pb2.Batch()
    ended = batch.ended.add(upstream='u', at_s=_NOW_S)
    ended.runs.add(content='x', ends=1)
    return batch


async def test_a_claim_without_a_response_expires() -> None:
    async with _store() as (store, address):
        recorder = _recorder(address)
        store.fault = StoreFault.loses_answers
        with pytest.raises(StoreError):
            await recorder.claim_trial('x')
        store.fault = StoreFault.none
        assert await recorder.claim_trial('x') is not None
