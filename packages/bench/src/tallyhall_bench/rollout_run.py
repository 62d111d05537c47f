"""`make rollouts`: roll-outs of good and bad versions on real processes.

Six entry processes, six upstreams of an old and six of a new version, 80
requests a second, an order of 16 s. For each kind of version, and for each
trouble beside it, this prints the verdict, when it came, what the new version
got against its bound, its bad answers and what was sent to it too late.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import dataclasses
import functools
import itertools
import json
import random
import signal
import sys
import types
from collections.abc import Awaitable, Callable, Mapping

from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from .platform_fleet import PlatformFleet, platform_fleet
from .platform_load import Caller, under_load
from .platform_run import STREAMED, usual_state
from .plays import add_options, play_all
from .rollout_versions import KINDS, VERSIONS

_INSTANCES = 6
_UPSTREAMS = 6
_SLOTS = 4
_EVENTS = 8
# The contract under which operators order rollouts.
_CONTRACTS = ('rollout',)
_SERVICE = 'engines'
_ROUTES = ('summary', 'note')
_OLD, _NEW = 'v1', 'v2'
_PER_S = 80.0
_LIMIT_S = 16.0
_BEFORE_S = 1.0
_AFTER_S = 3.0
# What the instances are told of their bounds, and when bad upstreams end.
_SHARE, _SLACK, _ROLLBACK_S = 0.1, 50, 5.0
_FIFTIETH = 50
_DRAIN_S = 2.0
_AWAY_S = 4.0
_OK = 200


@dataclasses.dataclass(slots=True)
class Play:
    """One roll-out under way."""

    fleet: PlatformFleet
    rng: random.Random
    limit_s: float
    ordered_at: float = 0
    ended_at: float = 0
    state: str = 'running'
    served: int = 0
    asked: int = 0

    @property
    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    @property
    def since_order_s(self) -> float:
        """Return the seconds since the order, less than none before it."""
        return self.now - self.ordered_at if self.ordered_at else -1

    def on_write(self, key: str, content: bytes) -> bytes:
        """Do what the platform does at the end of a roll-out."""
        if key == f'status/rollout/{_SERVICE}':
            self.state = json.loads(content)['state']
            loop = asyncio.get_running_loop()
            self.ended_at = loop.time()
            if self.state == 'completed':
                loop.call_soon(self.fleet.stop_version, _OLD)
            if self.state == 'rolled_back':
                loop.call_later(_DRAIN_S, self.fleet.stop_version, _NEW)
        return content


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a roll-out came to."""

    kind: str
    trouble: str
    seed: int
    state: str
    took_s: float
    exposed: int
    bound: float
    bad: int
    too_late: int
    early: int
    served: float

    @property
    def broken(self) -> bool:
        """Return whether the new version got more than it may."""
        if self.early:
            return True
        if self.kind == 'good':
            return False
        return self.exposed > self.bound or self.too_late > 0

    @property
    def wrong(self) -> bool:
        """Return whether the verdict is not what the version deserves."""
        deserved = 'completed' if self.kind == 'good' else 'rolled_back'
        return self.state != deserved

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.kind:10} {self.trouble:8} {self.seed:4} {self.state:11} '
            f'{self.took_s:6.1f} {self.exposed:7} {self.bound:6.0f} '
            f'{self.bad:4} {self.too_late:8} {self.early:5} '
            f'{self.served:6.3f}'
            f'{" BROKEN" if self.broken else ""}'
            f'{" WRONG" if self.wrong else ""}'
        )


HEADING = (
    'kind       trouble  seed state         took exposed  bound  bad too late '
    'early served'
)


async def play_rollout(
    kind: str,
    trouble: str,
    seed: int,
    limit_s: float = _LIMIT_S,
) -> Result:
    """Play one order and return what came of it."""
    state = usual_state()
    async with platform_fleet(_INSTANCES, state, _CONTRACTS) as fleet:
        play = Play(fleet, random.Random(seed), limit_s)
        fleet.store.on_write = play.on_write
        old = [await _upstream(play, _OLD, one) for one in range(_UPSTREAMS)]
        await fleet.until_ready()
        new = [await _upstream(play, _NEW, one) for one in range(_UPSTREAMS)]
        for engine in new:
            engine.draw = functools.partial(VERSIONS[kind], play)
        await _order(play, trouble)
        return _result(play, kind, trouble, seed, old, new)


async def _order(play: Play, trouble: str) -> None:
    """Give the order under load and trouble, and wait until it is over."""
    call = functools.partial(_call, play)
    async with under_load(call, play.rng, _PER_S):
        await asyncio.sleep(_BEFORE_S)
        play.ordered_at = play.now
        play.fleet.store.put(
            f'op/rollout/{_SERVICE}',
            {'service': _SERVICE, 'target': _NEW, 'duration-s': play.limit_s},
        )
        await _TROUBLES[trouble](play)
        ends_at = play.ordered_at + play.limit_s + _AFTER_S
        await asyncio.sleep(ends_at - play.now)


async def _upstream(play: Play, version: str, number: int) -> EngineStandIn:
    return await play.fleet.add_engine(
        f'{version}-{number}',
        _SERVICE,
        _SLOTS,
        version=version,
        events=_EVENTS,
        event_s=0.006 + 0.004 * (number % 3),
    )


async def _call(play: Play) -> None:
    play.asked += 1
    entry = play.rng.choice(play.fleet.entries)
    route = play.rng.choice(_ROUTES)
    tried = await Caller(play.rng).ask(
        entry.name,
        entry.front,
        route,
        f'r{play.asked}',
        streams=route in STREAMED,
    )
    play.served += tried.status == _OK and tried.whole


# -- troubles

Trouble = Callable[[Play], Awaitable[None]]


async def _nothing(play: Play) -> None:
    """Disturb nothing."""


def _leader(play: Play) -> str:
    record = play.fleet.store.item(f'tallyhall/rollouts/{_SERVICE}')
    led_by = ''
    if record is not None:
        led_by = json.loads(base64.b64decode(record.text))['leader']
    for entry in play.fleet.entries:
        if led_by and led_by in entry.log.read_text():
            return entry.name
    return play.fleet.entries[0].name


async def _kill(play: Play, name: str) -> None:
    entry = next(one for one in play.fleet.entries if one.name == name)
    await entry.restart(signal.SIGKILL, 0.5)


async def _lose_leader(play: Play) -> None:
    await asyncio.sleep(play.rng.uniform(1, 8))
    await _kill(play, _leader(play))


async def _lose_four(play: Play) -> None:
    for _ in range(4):
        await asyncio.sleep(play.rng.uniform(0.5, 3))
        await _kill(play, _leader(play))


async def _lose_store(play: Play) -> None:
    await asyncio.sleep(play.rng.uniform(0.5, 12))
    play.fleet.store.fault = StoreFault.refuses
    await asyncio.sleep(_AWAY_S)
    play.fleet.store.fault = StoreFault.none


async def _lose_all(play: Play) -> None:
    await asyncio.sleep(play.rng.uniform(1, 8))
    await asyncio.gather(
        *(_kill(play, entry.name) for entry in play.fleet.entries),
    )


_TROUBLES: Mapping[str, Trouble] = types.MappingProxyType(
    {
        'none': _nothing,
        'leader': _lose_leader,
        'four': _lose_four,
        'away': _lose_store,
        'all': _lose_all,
    },
)
TROUBLES = tuple(_TROUBLES)


# -- result


def _result(
    play: Play,
    kind: str,
    trouble: str,
    seed: int,
    old: list[EngineStandIn],
    new: list[EngineStandIn],
) -> Result:
    ends_at = play.ordered_at + play.limit_s
    ours = sorted(seen.at for engine in new for seen in engine.seen)
    theirs = [seen.at for engine in old for seen in engine.seen]
    reached = [
        at for at in (*ours, *theirs) if play.ordered_at <= at <= ends_at
    ]
    exposed = sum(play.ordered_at <= at <= ends_at for at in ours)
    bad = sorted(seen.at for one in new for seen in one.seen if seen.bad)
    too_late = 0
    if len(bad) >= _FIFTIETH:
        until = bad[_FIFTIETH - 1] + _ROLLBACK_S
        too_late = sum(at > until for at in ours)
    return Result(
        kind,
        trouble,
        seed,
        play.state,
        play.ended_at - play.ordered_at,
        exposed,
        _SHARE * len(reached) + _SLACK,
        len(bad),
        too_late,
        sum(at < play.ordered_at for at in ours),
        play.served / max(1, play.asked),
    )


def main() -> int:
    """Play and return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--kind', action='append', choices=KINDS)
    parser.add_argument('--trouble', action='append', choices=TROUBLES)
    add_options(parser, at_once=3)
    args = parser.parse_args()
    chosen = itertools.product(
        range(args.seed, args.seed + args.seeds),
        args.trouble or ['none'],
        args.kind or KINDS,
    )
    starts = [
        functools.partial(play_rollout, kind, trouble, seed)
        for seed, trouble, kind in chosen
    ]
    broken = asyncio.run(play_all(HEADING, starts, args.at_once))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
