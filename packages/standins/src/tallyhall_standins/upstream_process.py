"""An upstream stand-in as a process: `python -m ...upstream_process SPEC`.

A process can be stopped and continued by signals. What it saw is written to a
file, a line of JSON for each request, on the clock that all processes share.
"""

from __future__ import annotations

import asyncio
import functools
import pathlib
import random
import sys

import msgspec

from .platform_engine import EngineFault, EngineStandIn, SeenRequest


class UpstreamSpec(msgspec.Struct, frozen=True):
    """What to start.

    records: path of the file for what it sees. work_s: time in seconds that an
    answer takes. rejected: share of the requests that are rejected, by random
    numbers of this seed. limit_per_s: announced limit in requests a second.
    """

    incarnation: str
    host: str
    port: int
    records: str
    work_s: float
    rejected: float = 0
    seed: int = 0
    limit_per_s: float | None = None


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached the process, at a time of the monotonic clock."""

    request_id: str
    at: float
    ran: bool


class RecordingEngine(EngineStandIn):
    """Writes what it sees to a file."""

    def __init__(self, spec: UpstreamSpec) -> None:
        """Create the upstream of a specification."""
        super().__init__(spec.incarnation, first_s=spec.work_s)
        self.limit_per_s = spec.limit_per_s
        self.draw = functools.partial(
            _draw, random.Random(spec.seed), spec.rejected
        )
        self._records = pathlib.Path(spec.records).open('ab', buffering=0)

    def record(self, seen: SeenRequest) -> None:
        """Write a request that has arrived."""
        arrival = Arrival(seen.request_id, seen.at, seen.ran)
        self._records.write(b'%b\n' % msgspec.json.encode(arrival))


def read_arrivals(records: pathlib.Path) -> list[Arrival]:
    """Return what a process has written so far."""
    if not records.exists():
        return []
    lines = records.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Arrival) for line in lines]


async def serve(spec: UpstreamSpec) -> None:
    """Serve until the process is ended."""
    await RecordingEngine(spec).listen(spec.host, spec.port)
    await asyncio.Event().wait()


def main() -> None:
    """Read the specification from the one argument and serve."""
    asyncio.run(serve(msgspec.json.decode(sys.argv[1], type=UpstreamSpec)))


def _draw(
    rng: random.Random, rejected: float, target: str, running: int
) -> EngineFault:
    rejects = rng.random() < rejected
    return EngineFault.rejects if rejects else EngineFault.none


if __name__ == '__main__':
    main()
