"""A crowd of peers that do not behave, as a process of its own.

Each sends large batches on several calls of its own connection, without end and
without hearing anything.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec
from grpc import RpcError, aio
from tallyhall_transport.generated import peers_pb2, peers_pb2_grpc

_CALLS = 8
# Below the largest message that is received.
_MESSAGE_BYTES = 3_900_000


class PeerCrowdSpec(msgspec.Struct, frozen=True):
    """How many peers send for how long, to a port of the loopback address."""

    port: int
    peers: int
    seconds: float


async def run_peers(spec: PeerCrowdSpec) -> None:
    """Send until the time of the crowd is over."""
    batch = peers_pb2.Batch(sender='crowd', incarnation='x' * _MESSAGE_BYTES)
    tasks = [
        asyncio.create_task(_send(spec.port, batch)) for _ in range(spec.peers)
    ]
    await asyncio.sleep(spec.seconds)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


async def _send(port: int, batch: peers_pb2.Batch) -> None:
    options = (('grpc.use_local_subchannel_pool', 1),)
    async with aio.insecure_channel(
        f'127.0.0.1:{port}', options=options
    ) as channel:
        stub = _stub(channel)
        async with asyncio.TaskGroup() as group:
            for _ in range(_CALLS):
                group.create_task(_call(stub, batch))


def _stub(channel: aio.Channel) -> peers_pb2_grpc.PeersStub:
    return peers_pb2_grpc.PeersStub(channel)  # type: ignore[no-untyped-call]


async def _call(stub: peers_pb2_grpc.PeersStub, batch: peers_pb2.Batch) -> None:
    while True:
        call = stub.Exchange()
        try:
            while True:
                await call.write(batch)
        except (RpcError, asyncio.InvalidStateError):
            await asyncio.sleep(0.05)


def main() -> int:
    """Run the crowd that the first argument describes."""
    asyncio.run(run_peers(msgspec.json.decode(sys.argv[1], type=PeerCrowdSpec)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
