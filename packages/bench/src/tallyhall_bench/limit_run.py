"""`make limits`: upstreams that name limits, on real processes.

Six entry processes and four upstreams of each kind, 80 requests a second. For
each case, and for each trouble beside it, this prints the most that a limited
upstream got in four seconds against what it may get, which part of its limit
was used, and what callers were told.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import functools
import random
import signal
import sys
import types
from collections.abc import Awaitable, Callable, Mapping

from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from .platform_fleet import PlatformFleet, platform_fleet, restart_together
from .platform_load import Caller, under_load
from .platform_run import STREAMED, usual_state
from .plays import add_options, play_chosen

_INSTANCES = 6
_UPSTREAMS = 4
_SLOTS = 10
# A service of each kind, and a route to it.
_SERVICES = types.MappingProxyType(
    {'engines': 'summary', 'app': 'safe', 'app-once': 'once'},
)
_PER_S = 80.0
_BEFORE_S = 1.0
_PLAY_S = 14.0
# A limit binds this long after it was named first.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_STEP_S = 0.1
_FACTOR = 1.5
_SLACK = 5
# Losses of all instances in a series, and the time until they start again.
_LOSSES = 4
_DOWN_S = 0.2
_OK, _REFUSED = 200, 503


# Limits that an upstream named, and when.
Named = list[tuple[float, float]]


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    rng: random.Random
    route: str
    engines: list[EngineStandIn]
    # By upstream.
    named: list[Named]
    asked: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )

    @property
    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def name(self, number: int, per_s: float) -> None:
        """Let an upstream name a limit from now on."""
        self.engines[number].limit_per_s = per_s
        self.named[number].append((self.now, per_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of the upstream that had the most of what it may have."""

    case: str
    trouble: str
    service: str
    seed: int
    most: int
    allowed: float
    used: float
    served: int
    refused: int
    other: int

    @property
    def broken(self) -> bool:
        """Return whether an upstream got more than its limit allows."""
        return self.most > self.allowed

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.case:6} {self.trouble:8} {self.service:8} {self.seed:4} '
            f'{self.most:5} {self.allowed:7.1f} {self.used:5.2f} '
            f'{self.served:6} {self.refused:7} {self.other:5}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = (
    'case   trouble  service  seed  most allowed  used served refused other'
)


async def play_limits(
    case: str,
    trouble: str,
    service: str,
    seed: int,
) -> Result:
    """Play one case and return what came of it."""
    kind = service.partition('-')[0]
    async with platform_fleet(_INSTANCES, usual_state()) as fleet:
        engines = [
            await fleet.add_engine(f'{kind}-{one}', kind, _SLOTS)
            for one in range(_UPSTREAMS)
        ]
        play = Play(
            fleet,
            random.Random(seed),
            _SERVICES[service],
            engines,
            [[] for _ in engines],
        )
        await fleet.until_ready()
        await _run(play, case, trouble)
        return _result(play, case, trouble, service, seed)


async def _run(play: Play, case: str, trouble: str) -> None:
    """Let limits and trouble come under load."""
    call = functools.partial(_call, play)
    async with under_load(call, play.rng, _PER_S):
        await asyncio.sleep(_BEFORE_S)
        ends_at = play.now + _PLAY_S
        await asyncio.gather(_CASES[case](play), _TROUBLES[trouble](play))
        await asyncio.sleep(ends_at - play.now)


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


# -- cases

Course = Callable[[Play], Awaitable[None]]


async def _one(play: Play) -> None:
    play.name(0, 2.5)


async def _all(play: Play) -> None:
    for number in range(_UPSTREAMS):
        play.name(number, 3.7)


async def _falls(play: Play) -> None:
    for number in range(_UPSTREAMS):
        play.name(number, 4)
    await asyncio.sleep(_PLAY_S / 3)
    for number in range(_UPSTREAMS):
        play.name(number, 1.1)


_CASES: Mapping[str, Course] = types.MappingProxyType(
    {'one': _one, 'all': _all, 'falls': _falls},
)
CASES = tuple(_CASES)


# -- troubles


async def _nothing(play: Play) -> None:
    """Disturb nothing."""


async def _restart_in_turn(play: Play) -> None:
    await asyncio.sleep(_CONTACT_S)
    for entry in play.fleet.entries:
        await entry.restart(signal.SIGKILL, 0.3)
        await asyncio.sleep(play.rng.uniform(0.3, 1.2))


async def _kill_all_in_series(play: Play) -> None:
    await asyncio.sleep(_CONTACT_S)
    for _ in range(_LOSSES):
        await restart_together(play.fleet.entries, signal.SIGKILL, _DOWN_S)
        await asyncio.sleep(play.rng.uniform(0.3, 1.5))


async def _stop_in_turn(play: Play) -> None:
    await asyncio.sleep(_CONTACT_S)
    for entry in play.fleet.entries:
        entry.send(signal.SIGTERM)
        await asyncio.sleep(1)


async def _freeze_in_turn(play: Play) -> None:
    await asyncio.sleep(_CONTACT_S)
    for entry in play.fleet.entries:
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(play.rng.uniform(0.3, 1.5))
        entry.send(signal.SIGCONT)


async def _lose_store(play: Play) -> None:
    await asyncio.sleep(1)
    play.fleet.store.fault = StoreFault.refuses


_TROUBLES: Mapping[str, Course] = types.MappingProxyType(
    {
        'none': _nothing,
        'restarts': _restart_in_turn,
        'losses': _kill_all_in_series,
        'stops': _stop_in_turn,
        'freezes': _freeze_in_turn,
        'away': _lose_store,
    },
)
TROUBLES = tuple(_TROUBLES)


# -- result


def _result(
    play: Play,
    case: str,
    trouble: str,
    service: str,
    seed: int,
) -> Result:
    limited = [number for number, named in enumerate(play.named) if named]
    worst = max(
        (_fullest(play, number) for number in limited),
        key=lambda window: window[0] / window[1],
    )
    return Result(
        case,
        trouble,
        service,
        seed,
        worst[0],
        worst[1],
        min(_used(play, number) for number in limited),
        play.statuses[_OK],
        play.statuses[_REFUSED],
        play.statuses.total() - play.statuses[_OK] - play.statuses[_REFUSED],
    )


def _fullest(play: Play, number: int) -> tuple[int, float]:
    """Return what came in the worst window, and what was allowed in it."""
    arrivals = [seen.at for seen in play.engines[number].seen]
    windows = []
    start = play.named[number][0][0] + _CONTACT_S
    while start + _WINDOW_S <= play.now:
        came = sum(start <= at < start + _WINDOW_S for at in arrivals)
        # A limit that has fallen binds after the time for contact, too.
        per_s = max(
            limit
            for at, limit in _standing(play.named[number], start)
            if at <= start + _WINDOW_S
        )
        windows.append((came, _FACTOR * _WINDOW_S * per_s + _SLACK))
        start += _STEP_S
    return max(windows, key=lambda window: window[0] / window[1])


def _standing(named: Named, start: float) -> Named:
    """Return what an upstream named since a time less that for contact."""
    since = start - _CONTACT_S
    before = [one for one in named if one[0] <= since]
    return [*before[-1:], *(one for one in named if one[0] > since)]


def _used(play: Play, number: int) -> float:
    """Return which part of its limits an upstream got, once they bound."""
    named = play.named[number]
    since = named[0][0] + _CONTACT_S
    came = sum(seen.at >= since for seen in play.engines[number].seen)
    ends = [at for at, _ in named[1:]] + [play.now]
    granted = sum(
        per_s * max(0, until - max(at, since))
        for (at, per_s), until in zip(named, ends, strict=True)
    )
    return came / granted


def main() -> int:
    """Play and return 1 if a limit was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', action='append', choices=CASES)
    parser.add_argument('--trouble', action='append', choices=TROUBLES)
    parser.add_argument('--service', action='append', choices=tuple(_SERVICES))
    add_options(parser, at_once=2)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_limits,
        args,
        args.case or CASES,
        args.trouble or ['none'],
        args.service or _SERVICES,
    )


if __name__ == '__main__':
    sys.exit(main())
