"""`make limit-pauses`: limited upstreams that stop reading for seconds.

Six entry processes and four upstream processes, each of which announces a limit
in all its answers. Some are stopped by a signal and continued later; then they
read all that has come meanwhile. A row shows the most requests that reached one
upstream in four seconds against what its limit allows.
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
from collections.abc import Sequence

from .platform_fleet import (
    PlatformFleet,
    platform_fleet,
    restart_together,
)
from .platform_load import Caller, under_load
from .platform_run import STREAMED, usual_state
from .plays import add_options, play_chosen
from .start_cost import ROOT, start_entry
from .upstream_processes import UpstreamProcess, upstream_processes

_INSTANCES = 6
_UPSTREAMS = 4
_SLOTS = 30
_PER_S = 60.0
_LIMIT_PER_S = 4.0
# What an upstream may get in a window, by its limit.
_WINDOW_S = 4.0
_FACTOR = 1.5
_SLACK = 5
# All instances know a limit after this time.
_KNOWN_S = 3.0
_PAUSE_S = 9.0
_BETWEEN_S = 5.0
_DOWN_S = 0.3
_WORK_S = 0.04
_OK = 200
# A route to each service.
_ROUTES = types.MappingProxyType({'app': 'safe', 'engines': 'summary'})
SERVICES = tuple(_ROUTES)
# How many of the upstreams are paused.
PAUSED = (1, _UPSTREAMS)
# How often all instances are lost in a pause.
LOSSES = (0, 2)


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    upstreams: list[UpstreamProcess]
    rng: random.Random
    route: str
    asked: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the upstream got that had the most."""

    service: str
    paused: int
    losses: int
    seed: int
    most: int
    arrived: int
    served: int

    @property
    def broken(self) -> bool:
        """Return whether an upstream got more than its limit allows."""
        return self.most > self.allowed

    @property
    def allowed(self) -> float:
        """Return what an upstream may get in a window."""
        return _FACTOR * _WINDOW_S * _LIMIT_PER_S + _SLACK

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.service:8} {self.paused:6} {self.losses:6} {self.seed:4} '
            f'{self.most:5} {self.allowed:7.1f} {self.arrived:7} '
            f'{self.served:6}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'service  paused losses seed  most allowed arrived served'


async def play_limit_pauses(
    service: str,
    paused: int,
    losses: int,
    root: pathlib.Path,
    seed: int,
) -> Result:
    """Play one case and return what was seen.

    paused: how many of the upstreams are stopped. losses: how often all
    instances are lost meanwhile. root: the checkout whose entry processes are
    played.
    """
    async with (
        platform_fleet(0, usual_state()) as fleet,
        upstream_processes(
            fleet,
            service,
            _UPSTREAMS,
            _SLOTS,
            work_s=_WORK_S,
            limit_per_s=_LIMIT_PER_S,
        ) as upstreams,
    ):
        prepared = [fleet.prepare_entry() for _ in range(_INSTANCES)]
        await asyncio.gather(*(start_entry(one, root) for one in prepared))
        await fleet.until_ready()
        play = Play(fleet, upstreams, random.Random(seed), _ROUTES[service])
        await _run(play, paused, losses)
        return _result(play, service, paused, losses, seed)


async def _run(play: Play, paused: int, losses: int) -> None:
    call = functools.partial(_call, play)
    async with under_load(call, play.rng, _PER_S):
        await asyncio.sleep(_KNOWN_S + _BETWEEN_S)
        for _ in range(2):
            chosen = play.rng.sample(play.upstreams, paused)
            pauses = [one.pause(_PAUSE_S) for one in chosen]
            await asyncio.gather(*pauses, _lose_all(play, losses))
            await asyncio.sleep(_BETWEEN_S)


async def _lose_all(play: Play, times: int) -> None:
    for _ in range(times):
        await asyncio.sleep(_PAUSE_S / (times + 1))
        await restart_together(play.fleet.entries, signal.SIGKILL, _DOWN_S)


async def _call(play: Play) -> None:
    play.asked += 1
    entry = play.rng.choice(play.fleet.entries)
    tried = await Caller(play.rng).ask(
        entry.name,
        entry.front,
        play.route,
        f'r{play.asked}',
        streams=play.route in STREAMED,
    )
    play.statuses[tried.status] += 1


def _result(
    play: Play, service: str, paused: int, losses: int, seed: int
) -> Result:
    arrivals = [
        sorted(arrival.at for arrival in one.seen) for one in play.upstreams
    ]
    return Result(
        service,
        paused,
        losses,
        seed,
        max(map(_most_in_a_window, arrivals)),
        sum(map(len, arrivals)),
        play.statuses[_OK],
    )


def _most_in_a_window(arrivals: Sequence[float]) -> int:
    """Return the most arrivals in a window once the limit is known."""
    since = arrivals[0] + _KNOWN_S
    counts = [
        sum(start <= at < start + _WINDOW_S for at in arrivals)
        for start in arrivals
        if start >= since
    ]
    return max(counts, default=0)


def main() -> int:
    """Play and return 1 if a limit was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', action='append', choices=SERVICES)
    parser.add_argument('--paused', action='append', type=int, choices=PAUSED)
    parser.add_argument('--losses', action='append', type=int, choices=LOSSES)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    add_options(parser, at_once=2)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_limit_pauses,
        args,
        args.service or SERVICES,
        args.paused or PAUSED,
        args.losses or LOSSES[:1],
        (args.old or ROOT,),
    )


if __name__ == '__main__':
    sys.exit(main())
