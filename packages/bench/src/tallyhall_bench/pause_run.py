"""`make pauses`: upstreams that stop reading for seconds, as real processes.

Six entry processes and nine upstream processes of a service that reject a share
of what arrives. Some or all upstreams are stopped by a signal and continued
later; then they read all that has come meanwhile. For each trouble this prints
the most retries that reached upstreams in a window of ten seconds against how
many the fleet may send.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import functools
import pathlib
import random
import signal
import sys
import types
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

from .platform_fleet import (
    RETRY_LIMITS,
    PlatformFleet,
    platform_fleet,
    restart_together,
)
from .platform_load import Caller, under_load
from .platform_run import usual_state
from .plays import add_options, play_chosen
from .retry_checks import RetryWindow, arrived_retries, fullest_window
from .start_cost import ROOT, start_entry
from .upstream_processes import UpstreamProcess, upstream_processes

_INSTANCES = 6
_UPSTREAMS = 9
_SLOTS = 20
_WORK_S = 0.04
_REJECTED = 0.3
_SERVICE = 'app'
_ROUTE = 'safe'
_ATTEMPTS = 3
_PER_S = 70.0
_BEFORE_S = 4.0
_PLAY_S = 22.0
_PAUSE_S = 7.0
_LONG_PAUSE_S = 9.0
_SHORT_PAUSE_S = 4.0
_BETWEEN_S = 2.5
_DOWN_S = 0.3
_KILL_S = 0.8
_OBJECTIVE_S = 0.8
_OK = 200


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    upstreams: list[UpstreamProcess]
    rng: random.Random
    requests: list[float] = dataclasses.field(default_factory=list)
    times_s: list[float] = dataclasses.field(default_factory=list)
    in_time: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    # What was done, at times of the loop's clock.
    events: list[str] = dataclasses.field(default_factory=list)

    def note(self, text: str) -> None:
        """Keep what is done now."""
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {text}')


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What upstreams and callers saw in a play."""

    trouble: str
    seed: int
    worst: RetryWindow
    retries: int
    requests: int
    served: int
    in_time: int
    p99_s: float

    @property
    def broken(self) -> bool:
        """Return whether upstreams got more retries than allowed."""
        return self.worst.is_exceeded

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.trouble:8} {self.seed:4} {self.worst.retries:5} '
            f'{self.worst.allowed:7.1f} {self.retries:7} '
            f'{self.requests:8} {self.served:6} {self.in_time:7} '
            f'{self.p99_s:7.2f}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'trouble  seed  most allowed retries requests served in time p99 [s]'


async def play_pauses(
    trouble: str,
    root: pathlib.Path,
    seed: int,
    kept: pathlib.Path | None = None,
) -> Result:
    """Play one trouble and return what was seen.

    root: the checkout whose entry processes are played. kept: folder into which
    logs and records are written.
    """
    async with (
        platform_fleet(0, _state(), folder=kept) as fleet,
        upstream_processes(
            fleet,
            _SERVICE,
            _UPSTREAMS,
            _SLOTS,
            kept,
            seed,
            work_s=_WORK_S,
            rejected=_REJECTED,
        ) as upstreams,
    ):
        play = Play(fleet, upstreams, random.Random(seed))
        return await _play(play, trouble, root, seed)


async def _play(
    play: Play, trouble: str, root: pathlib.Path, seed: int
) -> Result:
    fleet = play.fleet
    await asyncio.gather(
        *(start_entry(fleet.prepare_entry(), root) for _ in range(_INSTANCES))
    )
    await fleet.until_ready()
    await _run(play, trouble)
    for text in play.events:
        sys.stderr.write(f'{trouble} {seed}: {text}\n')
    retries = arrived_retries(play.upstreams)
    times_s = sorted(play.times_s)
    return Result(
        trouble,
        seed,
        fullest_window(retries, play.requests, RETRY_LIMITS),
        len(retries),
        len(play.requests),
        play.statuses[_OK],
        play.in_time,
        times_s[int(0.99 * len(times_s))],
    )


def _state() -> Mapping[str, Any]:
    state = usual_state()
    for route in state['routes']:
        if route['name'] == _ROUTE:
            route['attempts'] = _ATTEMPTS
    return state


async def _run(play: Play, trouble: str) -> None:
    """Let the trouble come under load."""
    call = functools.partial(_call, play)
    async with under_load(call, play.rng, _PER_S):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _BEFORE_S + _PLAY_S
        await asyncio.sleep(_BEFORE_S)
        await _TROUBLES[trouble](play)
        await asyncio.sleep(ends_at - loop.time())


async def _call(play: Play) -> None:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    play.requests.append(began_at)
    entry = play.rng.choice(play.fleet.entries)
    tried = await Caller(play.rng).ask(
        entry.name,
        entry.front,
        _ROUTE,
        f'r{len(play.requests)}',
        streams=False,
    )
    took_s = loop.time() - began_at
    play.statuses[tried.status] += 1
    play.times_s.append(took_s)
    play.in_time += tried.status == _OK and took_s <= _OBJECTIVE_S


# -- troubles


async def _nothing(play: Play) -> None:
    """Disturb nothing."""


async def _pause_some(play: Play) -> None:
    for _ in range(4):
        await _pause(play, 3, _SHORT_PAUSE_S)


async def _pause_most(play: Play) -> None:
    for _ in range(2):
        await _pause(play, _UPSTREAMS - 2, _PAUSE_S)
        await asyncio.sleep(_BETWEEN_S)


async def _pause_all(play: Play) -> None:
    for _ in range(2):
        await _pause(play, _UPSTREAMS, _PAUSE_S)
        await asyncio.sleep(_BETWEEN_S)


async def _pause_and_kill(play: Play) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_pause(play, _UPSTREAMS, _LONG_PAUSE_S))
        for _ in range(2):
            await asyncio.sleep(_LONG_PAUSE_S / 3)
            await _kill(play, _INSTANCES // 2)


async def _pause_and_lose(play: Play) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_pause(play, _UPSTREAMS - 2, _LONG_PAUSE_S))
        await asyncio.sleep(_LONG_PAUSE_S / 2)
        await _kill(play, _INSTANCES)


async def _pause_and_lose_in_series(
    play: Play, paused: int = _UPSTREAMS, times: int = 3
) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_pause(play, paused, _LONG_PAUSE_S))
        for _ in range(times):
            await asyncio.sleep(_LONG_PAUSE_S / (times + 1))
            await _kill(play, _INSTANCES)


async def _lose_in_series(play: Play) -> None:
    """Lose all instances again and again while nothing is paused."""
    await _pause_and_lose_in_series(play, paused=0)


async def _pause_in_turn_and_lose(play: Play) -> None:
    """Pause a third at a time until all go on; lose all after each."""
    step_s = _LONG_PAUSE_S / 3
    left = list(play.upstreams)
    play.rng.shuffle(left)
    async with asyncio.TaskGroup() as group:
        for turn in range(3):
            chosen = [left.pop() for _ in range(_UPSTREAMS // 3)]
            for_s = _LONG_PAUSE_S - turn * step_s
            group.create_task(_pause_these(play, chosen, for_s))
            await asyncio.sleep(step_s - _KILL_S)
            await _kill(play, _INSTANCES)


async def _pause(play: Play, count: int, for_s: float) -> None:
    await _pause_these(play, play.rng.sample(play.upstreams, count), for_s)


async def _pause_these(
    play: Play, chosen: Sequence[UpstreamProcess], for_s: float
) -> None:
    names = ' '.join(one.spec.incarnation for one in chosen)
    play.note(f'pause {for_s} s: {names}')
    await asyncio.gather(*(one.pause(for_s) for one in chosen))
    play.note(f'continued: {names}')


async def _kill(play: Play, count: int) -> None:
    lost = play.rng.sample(play.fleet.entries, count)
    play.note(f'kill {" ".join(one.name for one in lost)}')
    await restart_together(lost, signal.SIGKILL, _DOWN_S)


Course = Callable[[Play], Awaitable[None]]
_TROUBLES: Mapping[str, Course] = types.MappingProxyType(
    {
        'none': _nothing,
        'some': _pause_some,
        'most': _pause_most,
        'all': _pause_all,
        'kills': _pause_and_kill,
        'loss': _pause_and_lose,
        'losses': _pause_and_lose_in_series,
        'two-losses': functools.partial(_pause_and_lose_in_series, times=2),
        'unpaused': _lose_in_series,
        'staggered': _pause_in_turn_and_lose,
        'some-read': functools.partial(
            _pause_and_lose_in_series, paused=_UPSTREAMS - 2, times=2
        ),
    },
)
TROUBLES = tuple(_TROUBLES)


def main() -> int:
    """Play and return 1 if a budget was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trouble', action='append', choices=TROUBLES)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    add_options(parser, at_once=1)
    args = parser.parse_args()
    roots: Iterable[pathlib.Path] = (args.old or ROOT,)

    play = functools.partial(play_pauses, kept=args.keep)
    return play_chosen(HEADING, play, args, args.trouble or TROUBLES, roots)


if __name__ == '__main__':
    sys.exit(main())
