"""`make return-run`: callers that come back after the loss of all instances.

Six entry processes and their upstreams end at once and start again a while
later, as after a loss of power; upstreams keep their ids. Callers go on, one
first try each few milliseconds, and come back where nobody listens; counted
is what of the first tries of the second after the return is answered within
the objective.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import random
import signal
import sys

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import Caller
from .platform_run import usual_state
from .start_cost import ROOT, start_entry

_INSTANCES = 6
_ENGINES = 3
_DOWN_S = 1.2
_COUNTED_S = 1.0
_EVERY_S = 0.02
# What callers wait before they come back, and how long they do.
_BACK_S = 0.1
_PATIENCE_S = 6.0
_OBJECTIVE_S = 0.8
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """What became of the first tries of a second.

    first_s: time from the return to the first answer that was served.
    """

    asked: int
    in_time: int
    first_s: float


def main() -> int:
    """Play and print, this checkout and another one in turns."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=3)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    args = parser.parse_args()
    for _ in range(args.runs):
        for root in filter(None, (ROOT, args.old)):
            seen = asyncio.run(play(root))
            sys.stdout.write(
                f'{root.name}: {seen.in_time} of {seen.asked} in time, '
                f'first answer after {seen.first_s:.2f} s\n',
            )
    return 0


async def play(root: pathlib.Path = ROOT) -> Returned:
    """Lose everything once and return what callers saw after it."""
    async with platform_fleet(0, usual_state()) as fleet:
        await _open(fleet, root)
        await _lose(fleet)
        await asyncio.sleep(_DOWN_S)
        return await _come_back(fleet, root)


async def _open(fleet: PlatformFleet, root: pathlib.Path) -> None:
    for number in range(_ENGINES):
        await fleet.add_engine(f'app-{number}', 'app', 10, first_s=0.02)
    prepared = [fleet.prepare_entry() for _ in range(_INSTANCES)]
    await asyncio.gather(*(start_entry(entry, root) for entry in prepared))
    await fleet.until_ready()


async def _come_back(fleet: PlatformFleet, root: pathlib.Path) -> Returned:
    loop = asyncio.get_running_loop()
    returned_at = loop.time()
    await fleet.start_engines_again()
    starts = asyncio.gather(*(start_entry(one, root) for one in fleet.entries))
    tries = []
    number = 0
    while loop.time() < returned_at + _COUNTED_S:
        tries.append(asyncio.create_task(_try(fleet.entries, number)))
        number += 1
        await asyncio.sleep(_EVERY_S)
    await starts
    ends = [end for end in await asyncio.gather(*tries) if end is not None]
    in_time = sum(end.took_s <= _OBJECTIVE_S for end in ends)
    first_at = min((end.at for end in ends), default=float('inf'))
    return Returned(len(tries), in_time, first_at - returned_at)


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    at: float
    took_s: float


async def _try(entries: list[EntryProcess], number: int) -> _End | None:
    """Ask until served; return when, None for one that gave up."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    rng = random.Random(number)
    back = 0
    while loop.time() < began_at + _PATIENCE_S:
        entry = rng.choice(entries)
        tried = await Caller(rng).ask(
            entry.name,
            entry.front,
            'safe',
            f'r{number}-{back}',
            streams=False,
        )
        if tried.status == _OK:
            return _End(loop.time(), loop.time() - began_at)
        back += 1
        await asyncio.sleep(_BACK_S)
    return None


async def _lose(fleet: PlatformFleet) -> None:
    fleet.lose_engines()
    for entry in fleet.entries:
        entry.send(signal.SIGKILL)
    await asyncio.gather(*(gone.wait() for gone in fleet.entries))


if __name__ == '__main__':
    sys.exit(main())
