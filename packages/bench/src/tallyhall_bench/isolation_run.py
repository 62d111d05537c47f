"""`make isolation`: instances that lose their way to all upstreams.

Six entry processes and four upstreams of each kind, 70 requests a second at
instances drawn at random, each tried once. Some instances lose all upstreams
for a while; callers, the store and the other instances still reach them. For
each case this prints what was served there and at the others.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import functools
import random
import sys
import types
from collections.abc import Callable, Iterable, Mapping

from tallyhall_dispatch.ownership import Ownership

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import Caller, Tried, under_load
from .platform_run import STREAMED, doubled, is_served, usual_state
from .plays import Share, add_options, play_chosen
from .upstream_links import MODES, UpstreamLinks

_INSTANCES = 6
_UPSTREAMS = 4
_SLOTS = 10
_ROUTES = ('once', 'safe', 'summary')
# Routes whose requests run once at most.
_ONCE = 'once'
_PER_S = 70.0
_BEFORE_S = 2.0
_ISOLATED_S = 11.0
# Requests that are sent this long after the links were lost must be served.
_CONTACT_S = 3.0
# What may fail at the isolated instances: by comparison with the others, or
# of all requests.
_SERVED_RATIO = 2 / 3
_FAILED_SHARE = 1 / 50
_FAILED_ALLOWANCE = 10
# Several short losses in a row, and the pause after each loss.
_TIMES = 3
_AGAIN_S = 5.0
_PAUSE_S = 2.0
_REFUSALS = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    rng: random.Random
    links: dict[str, UpstreamLinks] = dataclasses.field(default_factory=dict)
    isolated: frozenset[str] = frozenset()
    # The requests, and when each was sent.
    tries: list[tuple[float, Tried]] = dataclasses.field(default_factory=list)
    # When instances lost their upstreams, and until when.
    spans: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    asked: int = 0

    @property
    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What callers got at the isolated instances and at the others.

    at_first: at the isolated ones before `_CONTACT_S`. after: at all, once the
    upstreams are reached again.
    """

    case: str
    mode: str
    seed: int
    isolated: Share
    others: Share
    at_first: Share
    after: Share
    twice: int
    untrue: int

    @property
    def broken(self) -> bool:
        """Return whether isolated instances served too little, or falsely."""
        return self.twice > 0 or self.untrue > 0 or self.starved

    @property
    def starved(self) -> bool:
        """Return whether callers of isolated instances were served less."""
        failed = self.isolated.total - self.isolated.count
        asked = self.isolated.total + self.others.total
        if failed <= _FAILED_ALLOWANCE + _FAILED_SHARE * asked:
            return False
        return self.isolated.fraction < _SERVED_RATIO * self.others.fraction

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.case:7} {self.mode:8} {self.seed:4} {self.isolated!s:>9} '
            f'{self.others!s:>9} {self.at_first!s:>9} {self.after!s:>9} '
            f'{self.twice:5} {self.untrue:6}{" BROKEN" if self.broken else ""}'
        )


HEADING = (
    'case    mode     seed  isolated    others  at first     after twice untrue'
)


async def play_isolation(case: str, mode: str, seed: int) -> Result:
    """Play one case and return what callers got."""
    async with platform_fleet(0, usual_state()) as fleet:
        play = Play(fleet, random.Random(seed))
        await _build(play)
        owner = _owner(fleet.entries)
        play.isolated = frozenset(_CASES[case](play, owner))
        await _run(play, case, mode)
        return _result(play, case, mode, seed)


async def _build(play: Play) -> None:
    fleet = play.fleet
    for number in range(_UPSTREAMS):
        await fleet.add_engine(f'engine-{number}', 'engines', _SLOTS)
        await fleet.add_engine(f'app-{number}', 'app', _SLOTS)
    for _ in range(_INSTANCES):
        await _add_entry(play)
    await fleet.until_ready()


async def _add_entry(play: Play) -> None:
    links, view = await UpstreamLinks.open(play.fleet.addresses.values())
    entry = await play.fleet.add_entry(await play.fleet.open_view(view))
    play.links[entry.name] = links


async def _run(play: Play, case: str, mode: str) -> None:
    """Lose and restore the links of the isolated instances under load."""
    call = functools.partial(_call, play)
    async with under_load(call, play.rng, _PER_S):
        await _disturb(play, case, mode)


async def _disturb(play: Play, case: str, mode: str) -> None:
    await asyncio.sleep(_BEFORE_S)
    times = _TIMES if case == 'again' else 1
    for _ in range(times):
        await _isolate(play, mode, _ISOLATED_S if times == 1 else _AGAIN_S)
        await asyncio.sleep(_PAUSE_S)


async def _isolate(play: Play, mode: str, for_s: float) -> None:
    since = play.now
    for name in sorted(play.isolated):
        await play.links[name].lose(mode)
    await asyncio.sleep(for_s)
    for name in sorted(play.isolated):
        await play.links[name].restore()
    play.spans.append((since, play.now))


async def _call(play: Play) -> None:
    play.asked += 1
    entry = play.rng.choice(play.fleet.entries)
    route = play.rng.choice(_ROUTES)
    began_at = play.now
    tried = await Caller(play.rng).ask(
        entry.name,
        entry.front,
        route,
        f'r{play.asked}',
        streams=route in STREAMED,
    )
    play.tries.append((began_at, tried))


# -- cases

Choice = Callable[[Play, str], Iterable[str]]


def _two(play: Play, owner: str) -> Iterable[str]:
    """Choose two instances that own no service."""
    return play.rng.sample(sorted(_others(play, owner)), 2)


def _owner_too(play: Play, owner: str) -> Iterable[str]:
    return (owner, *play.rng.sample(sorted(_others(play, owner)), 1))


def _all_but_one(play: Play, owner: str) -> Iterable[str]:
    return (
        owner,
        *play.rng.sample(sorted(_others(play, owner)), _INSTANCES - 2),
    )


def _others(play: Play, owner: str) -> set[str]:
    return {entry.name for entry in play.fleet.entries} - {owner}


_CASES: Mapping[str, Choice] = types.MappingProxyType(
    {
        'two': _two,
        'owner': _owner_too,
        'most': _all_but_one,
        'again': _owner_too,
    },
)
CASES = tuple(_CASES)


def _owner(entries: Iterable[EntryProcess]) -> str:
    """Return the instance that owns the service of the model engines."""
    ownership = Ownership()
    ownership.take_live(frozenset(entry.name for entry in entries))
    return ownership.owners('engines')[0]


# -- result


def _result(play: Play, case: str, mode: str, seed: int) -> Result:
    ended = play.spans[-1][1]
    late = [
        tried
        for at, tried in play.tries
        if any(since + _CONTACT_S <= at < until for since, until in play.spans)
    ]
    early = [
        tried
        for at, tried in play.tries
        if any(since <= at < since + _CONTACT_S for since, _ in play.spans)
    ]
    ran = {seen.request_id for one in play.fleet.engines for seen in one.ran}
    return Result(
        case,
        mode,
        seed,
        _served(one for one in late if one.instance in play.isolated),
        _served(one for one in late if one.instance not in play.isolated),
        _served(one for one in early if one.instance in play.isolated),
        _served(tried for at, tried in play.tries if at >= ended),
        len(doubled(play.fleet, _ONCE)),
        sum(
            tried.route == _ONCE
            and tried.status in _REFUSALS
            and tried.request_id in ran
            for _, tried in play.tries
        ),
    )


def _served(tries: Iterable[Tried]) -> Share:
    """Return how many tries were served."""
    served = [is_served(tried) for tried in tries]
    return Share(sum(served), len(served))


def main() -> int:
    """Play and return 1 if callers of isolated instances were not served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', action='append', choices=CASES)
    parser.add_argument('--mode', action='append', choices=MODES)
    add_options(parser, at_once=2)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_isolation,
        args,
        args.case or CASES,
        args.mode or MODES,
    )


if __name__ == '__main__':
    sys.exit(main())
