"""`make versions`: upstreams of several software versions side by side.

Six entry processes in three availability zones and nine upstreams, five of v1
and four of v2, with no order. Streams of a resumable route begin all the while,
and a caller whose stream breaks takes it up at another instance. Meanwhile
upstreams come and leave, and instances are killed. A row shows how many streams
held two versions, how many of the new ones began, and how many of those that
were taken up went on while two upstreams of their version served.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
import signal
import sys
import types
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence

from tallyhall_standins.platform_engine import EngineStandIn

from .platform_fleet import (
    EntryProcess,
    PlatformFleet,
    platform_fleet,
    restart_together,
)
from .platform_load import under_load
from .platform_run import usual_state
from .plays import Share, add_options, play_chosen
from .stream_callers import Stream, StreamCallers

_ZONES = ('a', 'a', 'b', 'b', 'c', 'c')
_SERVICE = 'engines'
_ROUTE = 'summary'
# The versions of the upstreams at the beginning.
_FIRST = ('v1', 'v2', 'v1', 'v2', 'v1', 'v2', 'v1', 'v2', 'v1')
_JOINING = 5
_SLOTS = 12
_EVENTS = 24
_EVENT_S = 0.06
_PER_S = 22.0
_SECONDS = 14.0
_WARM_UP_S = 2.0
# The last streams end while nothing is disturbed any more.
_LAST_S = 2.0
_GAP_S = 0.9
_DOWN_S = 1.0
_DRAIN_S = 1.0
# More streams than this must not hold two versions.
_MIXED_ALLOWED = 2
# From so many streams that are taken up, and could go on, the share that does
# must be this part of the share of new ones that begin.
_MIN_TAKEN_UP = 12
_LOST_RATIO = 0.5
# A version with sound upstreams gets at least this part of what it would get by
# its number of them.
_DUE_RATIO = 0.25


class Play:
    """One play under way."""

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        """Play on this fleet, which has no upstreams yet."""
        self.fleet = fleet
        self.rng = rng
        # The version of each upstream, and those that serve.
        self.versions: dict[str, str] = {}
        self.serving: dict[str, EngineStandIn] = {}
        self.callers = StreamCallers(
            fleet.entries, rng, _ROUTE, self.serving_with
        )

    async def add(self, version: str) -> None:
        """Start an upstream of a version."""
        name = f'{version}-{len(self.versions) + 1}'
        engine = await self.fleet.add_engine(
            name,
            _SERVICE,
            _SLOTS,
            version=version,
            events=_EVENTS,
            event_s=_EVENT_S,
        )
        engine.tag = f'@{name}'
        self.versions[name] = version
        self.serving[name] = engine

    def end(self, name: str) -> None:
        """End an upstream at once."""
        self.serving.pop(name)
        self.fleet.end_engine(name)

    async def drain(self, name: str) -> None:
        """Let an upstream leave."""
        self.serving.pop(name)
        await self.fleet.drain_engine(name, _DRAIN_S)

    def of_version(self, version: str) -> list[str]:
        """Return the serving upstreams of a version."""
        return [name for name in self.serving if self.versions[name] == version]

    def serving_with(self, name: str) -> list[str]:
        """Return the serving upstreams that have the version of one."""
        return self.of_version(self.versions[name])

    async def restart(self, entries: Iterable[EntryProcess]) -> None:
        """Kill instances at the same moment and start them again."""
        chosen = tuple(entries)
        self.callers.down |= {entry.name for entry in chosen}
        await restart_together(chosen, signal.SIGKILL, _DOWN_S)
        while not all(entry.is_started() for entry in chosen):
            await asyncio.sleep(0.05)
        self.callers.down -= {entry.name for entry in chosen}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of the streams.

    taken_up: those that were taken up while two upstreams of their version
    served, and went on. tries: how often any was taken up. idle: versions that
    got far less than their due.
    """

    case: str
    seed: int
    mixed: int
    new: Share
    taken_up: Share
    tries: int
    by_version: Mapping[str, int]
    idle: tuple[str, ...]

    @property
    def broken(self) -> bool:
        """Return whether streams were mixed, lost or kept to one version."""
        return self.mixed > _MIXED_ALLOWED or self.is_lost or bool(self.idle)

    @property
    def is_lost(self) -> bool:
        """Return whether too few streams went on that could."""
        if self.taken_up.total < _MIN_TAKEN_UP:
            return False
        return self.taken_up.fraction < _LOST_RATIO * self.new.fraction

    def __str__(self) -> str:
        """Return a row of the table."""
        versions = ' '.join(
            f'{version}:{count}' for version, count in self.by_version.items()
        )
        idle = f' IDLE {" ".join(self.idle)}' if self.idle else ''
        broken = ' BROKEN' if self.broken else ''
        return (
            f'{self.case:10} {self.seed:4} {self.mixed:5} {self.new!s:>9} '
            f'{self.taken_up!s:>9}  {versions}{idle}{broken}'
        )


HEADING = 'case       seed mixed       new  taken up  streams by version'


async def play_versions(
    case: str, seed: int, seconds: float = _SECONDS
) -> Result:
    """Play one case and return what became of the streams."""
    async with platform_fleet(0, usual_state()) as fleet:
        for zone in _ZONES:
            await fleet.add_entry(zone=zone)
        play = Play(fleet, random.Random(seed))
        for version in _FIRST:
            await play.add(version)
        await fleet.until_ready()
        await asyncio.sleep(_WARM_UP_S)
        await _run(play, case, seconds)
        return _result(play, case, seed)


async def _run(play: Play, case: str, seconds: float) -> None:
    """Disturb upstreams and instances while streams begin."""
    async with under_load(play.callers.call, play.rng, _PER_S):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await _CASES[case](play)
                await asyncio.Event().wait()
        await asyncio.sleep(_LAST_S)


# -- cases

Case = Callable[[Play], Awaitable[None]]


async def _end_upstreams(play: Play, versions: Sequence[str]) -> None:
    """End an upstream now and then; another of its version comes."""
    for version in itertools.cycle(versions):
        await asyncio.sleep(_GAP_S)
        play.end(play.rng.choice(play.of_version(version)))
        await asyncio.sleep(_GAP_S)
        await play.add(version)


async def _kill_instances(play: Play, at_once: int) -> None:
    """Kill instances in turn; two at once are a whole availability zone."""
    for first in itertools.cycle(range(0, len(_ZONES), at_once)):
        await asyncio.sleep(_GAP_S)
        await play.restart(play.fleet.entries[first : first + at_once])


async def _join(play: Play) -> None:
    """Let more upstreams of v2 join, then kill instances in turn."""
    for _ in range(_JOINING):
        await play.add('v2')
        await asyncio.sleep(_GAP_S / 2)
    await _kill_instances(play, 1)


async def _replace(play: Play) -> None:
    """Replace v1 by v3, one by one; v2 stays."""
    for name in play.of_version('v1'):
        await play.add('v3')
        await asyncio.sleep(_GAP_S)
        await play.drain(name)


async def _lose_version(play: Play) -> None:
    """End all upstreams of v1 at once."""
    await asyncio.sleep(4 * _GAP_S)
    for name in play.of_version('v1'):
        play.end(name)


async def _lose_instances(play: Play) -> None:
    """Kill all instances as the last upstreams of a version leave, twice."""
    for name in play.of_version('v2'):
        play.end(name)
    for version, newer in (('v1', 'v3'), ('v3', 'v4')):
        await asyncio.sleep(2 * _GAP_S)
        for _ in _ZONES:
            await play.add(newer)
        await asyncio.sleep(_GAP_S)
        for name in play.of_version(version):
            play.end(name)
        await play.restart(play.fleet.entries)


async def _all_at_once(play: Play) -> None:
    """Upstreams end, join and leave while zones of instances are killed."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_end_upstreams(play, ('v2', 'v1')))
        group.create_task(_kill_instances(play, 2))


_CASES: Mapping[str, Case] = types.MappingProxyType(
    {
        'upstreams': lambda play: _end_upstreams(play, ('v1', 'v2')),
        'instances': lambda play: _kill_instances(play, 1),
        'zones': lambda play: _kill_instances(play, 2),
        'join': _join,
        'replace': _replace,
        'lost': _lose_version,
        'rejoined': _lose_instances,
        'all': _all_at_once,
    },
)
CASES = tuple(_CASES)


# -- result


def _result(play: Play, case: str, seed: int) -> Result:
    streams = [one for one in play.callers.streams if one.tried]
    takes = [take for stream in streams for take in stream.taken_up]
    possible = [take.went_on for take in takes if take.possible]
    by_version = collections.Counter(
        play.versions[stream.makers[0]] for stream in streams if stream.makers
    )
    return Result(
        case,
        seed,
        sum(len(_versions_of(play, stream)) > 1 for stream in streams),
        Share(sum(stream.began for stream in streams), len(streams)),
        Share(sum(possible), len(possible)),
        len(takes),
        dict(sorted(by_version.items())),
        _idle_versions(play, by_version),
    )


def _versions_of(play: Play, stream: Stream) -> set[str]:
    return {play.versions[maker] for maker in stream.makers}


def _idle_versions(
    play: Play, by_version: Mapping[str, int]
) -> tuple[str, ...]:
    """Return the versions that serve and got far less than their due."""
    total = sum(by_version.values())
    serving = collections.Counter(play.versions[name] for name in play.serving)
    return tuple(
        version
        for version, count in sorted(serving.items())
        if by_version.get(version, 0)
        < _DUE_RATIO * total * count / len(play.serving)
    )


def main() -> int:
    """Play and return 1 if a play broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', action='append', choices=CASES)
    add_options(parser, at_once=1)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_versions,
        args,
        args.case or CASES,
    )


if __name__ == '__main__':
    sys.exit(main())
