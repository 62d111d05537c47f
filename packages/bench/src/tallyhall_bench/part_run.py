"""`make parts`: parts of prompts that crash upstreams, on real processes.

Six entry processes and nine upstreams, 30 sound requests a second. Each prompt
has a first part, a middle part and one of its own. For some seconds requests
with a part that crashes each upstream come as well, from the callers of the
sound ones, no two alike. For each case this prints how many upstreams were
lost, how many requests with the part reached one too late, and how many of the
sound requests began.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import functools
import random
import signal
import sys
import types
from collections.abc import Callable, Collection, Mapping
from typing import Any

from tallyhall_standins.fatal_requests import prompt_parts
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from .mortal import Mortality, MortalUpstreams
from .platform_fleet import PlatformFleet, platform_fleet
from .platform_load import Caller, Tried, keep_calling
from .platform_run import is_served, usual_state, whole_stream
from .plays import Share, add_options, play_all

_INSTANCES = 6
_UPSTREAMS = 9
_SLOTS = 12
_EVENTS = 8
_SERVICE = 'engines'
_ROUTE = 'summary'
_FIRST = ('f1', 'f2', 'f3')
_MIDDLE = ('m1', 'm2', 'm3', 'm4', 'm5', 'm6')
_FATAL_MIDDLE = 'd1'
_FATAL_FIRST = 'd2'
_SOUND_PER_S = 30.0
_FATAL_PER_S = 3.0
_SELDOM_PER_S = 0.67
_QUIET_S = 4.0
_FATAL_S = 18.0
# After the last request, so that all have their answers.
_CALM_S = 2.0
# When all instances in touch must know the part after the fifth end, and how
# many requests with it may reach upstreams later.
_KNOWN_ENDS = 5
_CONTACT_S = 3.0
_MAX_LATE = 3
# Sound requests must begin as often as before from so long after the fifth end,
# or after the last one if there are fewer.
_SETTLED_S = 2 * _CONTACT_S
_BEGIN_SHARE = 0.9
_BACK_S = (1.5, 2.5)
# Upstreams that end together for another reason, and when the last of these
# ends must not be felt any more.
_HERDS = 4
_HERD_PAUSE_S = 0.2
_HERD_OVER_S = 4.0
_KILL_GAP_S = 3.0
_DOWN_S = 0.5
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What holds the part that crashes upstreams, and what happens beside it.

    fatal: the fatal parts, each with the place where it stands in a prompt.
    sound_before: whether sound requests hold them until they become fatal.
    events: how many events leave an upstream before it crashes. pace: time to
    the first event and between events, in seconds. beside: trouble that goes
    on meanwhile.
    """

    fatal: Mapping[str, int] = dataclasses.field(
        default_factory=lambda: {_FATAL_MIDDLE: 1},
    )
    per_s: float = _FATAL_PER_S
    sound_before: bool = False
    events: int | None = None
    pace: tuple[float, float] = (0.05, 0.02)
    beside: str = ''


CASES: Mapping[str, Case] = types.MappingProxyType(
    {
        'middle': Case(),
        'first': Case({_FATAL_FIRST: 0}),
        'begun': Case(events=1),
        'turned': Case({'m6': 1}, sound_before=True),
        'two': Case({_FATAL_MIDDLE: 1, _FATAL_FIRST: 0}),
        'seldom': Case(per_s=_SELDOM_PER_S),
        'slow': Case(pace=(0.15, 0.06)),
        'kills': Case(beside='kills'),
        'herd': Case({}, per_s=0, beside='herd'),
        'unframed': Case({}, per_s=0, beside='unframed'),
        'torn': Case({}, per_s=0, beside='torn'),
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sound:
    """A sound request, when it was sent and what its caller got."""

    at: float
    tried: Tried


@dataclasses.dataclass(slots=True)
class _Play:
    """One play under way."""

    case: Case
    fleet: PlatformFleet
    upstreams: MortalUpstreams
    fatal: set[str]
    rng: random.Random
    sound: list[_Sound] = dataclasses.field(default_factory=list)
    # When each request with a fatal part was sent, by its id.
    fatal_sent: dict[str, float] = dataclasses.field(default_factory=dict)
    down: set[str] = dataclasses.field(default_factory=set)
    fatal_from: float = 0
    asked: int = 0

    @property
    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    async def call(self) -> None:
        """Ask with sound parts alone."""
        first = self.rng.choice(_FIRST)
        middle = self.rng.choice(
            [part for part in _MIDDLE if part not in self.fatal]
        )
        at = self.now
        tried = await self._ask((first, middle))
        self.sound.append(_Sound(at, tried))

    async def call_fatal(self) -> None:
        """Ask with a fatal part among sound ones."""
        part, place = self.rng.choice(sorted(self.case.fatal.items()))
        parts = [self.rng.choice(_FIRST), self.rng.choice(_MIDDLE[:5])]
        parts[place] = part
        await self._ask(parts, is_fatal=True)

    async def _ask(
        self, parts: Collection[str], *, is_fatal: bool = False
    ) -> Tried:
        self.asked += 1
        request_id = f'{self.asked:016x}'
        if is_fatal:
            self.fatal_sent[request_id] = self.now
        up = [one for one in self.fleet.entries if one.name not in self.down]
        entry = self.rng.choice(up)
        listed = (*parts, f'own{self.asked}')
        prefix = ','.join(f'{part}:100' for part in listed)
        return await Caller(self.rng).ask(
            entry.name,
            entry.front,
            _ROUTE,
            request_id,
            streams=True,
            body=request_id.encode(),
            headers=((b'X-Tallyhall-Prompt-Prefix', prefix.encode()),),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of one play.

    late: requests with a fatal part, sent `_CONTACT_S` after the fifth end or
    later, that reached an upstream. before, after: of the sound requests, those
    that began at the first attempt. whole: of those that began, the ones with a
    whole answer; torn: those whose answer holds anything but whole events.
    """

    case: str
    seed: int
    ended: int
    late: int
    before: Share
    after: Share
    whole: Share
    torn: int

    @property
    def broken(self) -> bool:
        """Return whether a rule was broken."""
        share = self.after.fraction / max(self.before.fraction, 0.01)
        return self.late > _MAX_LATE or share < _BEGIN_SHARE or self.torn > 0

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.case:9} {self.seed:4} {self.ended:5} {self.late:4} '
            f'{self.before!s:>8} {self.after!s:>8} '
            f'{self.after.fraction:5.3f} {self.whole!s:>8} {self.torn:4}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'case      seed ended late   before    after share    whole torn'


async def play_part(case: str, seed: int, fatal_s: float = _FATAL_S) -> Result:
    """Play one case; the part is fatal for so many seconds."""
    setting = CASES[case]
    async with platform_fleet(_INSTANCES, usual_state()) as fleet:
        fatal: set[str] = set()
        mortality = Mortality(fatal, setting.events, _BACK_S, moves=True)
        upstreams = MortalUpstreams(fleet.store, _SERVICE, mortality, seed)
        first_s, event_s = setting.pace
        await upstreams.start(_UPSTREAMS, _SLOTS, _EVENTS, first_s, event_s)
        play = _Play(setting, fleet, upstreams, fatal, random.Random(seed))
        try:
            await fleet.until_ready()
            await _run(play, fatal_s)
            return _result(play, case, seed)
        finally:
            upstreams.close()


async def _run(play: _Play, fatal_s: float) -> None:
    if play.case.beside in _ODD_ANSWERS:
        _answer_oddly(play)
    work = [keep_calling(play.call, play.rng, _SOUND_PER_S)]
    tasks = [asyncio.create_task(one) for one in work]
    await asyncio.sleep(_QUIET_S)
    play.fatal_from = play.now
    play.fatal.update(play.case.fatal)
    if play.case.per_s:
        calls = keep_calling(play.call_fatal, play.rng, play.case.per_s)
        tasks.append(asyncio.create_task(calls))
    beside = _BESIDE.get(play.case.beside)
    if beside is not None:
        tasks.append(asyncio.create_task(beside(play)))
    await asyncio.sleep(fatal_s)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    await asyncio.sleep(_CALM_S)


async def _kill(play: _Play) -> None:
    """Kill one instance after another; each starts again."""
    while True:
        for entry in play.fleet.entries:
            await asyncio.sleep(_KILL_GAP_S)
            play.down.add(entry.name)
            await entry.restart(signal.SIGKILL, _DOWN_S)
            while not entry.is_started():
                await asyncio.sleep(0.05)
            play.down.discard(entry.name)


async def _end_all(play: _Play) -> None:
    for _ in range(_HERDS):
        await play.upstreams.end_all()
        await asyncio.sleep(_HERD_PAUSE_S)


_BESIDE: Mapping[str, Callable[[_Play], Any]] = types.MappingProxyType(
    {'kills': _kill, 'herd': _end_all},
)
_ODD_ANSWERS = types.MappingProxyType(
    {
        'unframed': EngineFault.no_length,
        'torn': EngineFault.no_length_in_event,
    },
)
# One in so many streams ends inside an event, in the case of that name.
_TORN_ONE_IN = 4


def _answer_oddly(play: _Play) -> None:
    fault = _ODD_ANSWERS[play.case.beside]
    one_in = _TORN_ONE_IN if fault is EngineFault.no_length_in_event else 1

    def draw(target: str, running: int) -> EngineFault:  # noqa: WPS430
        is_torn = play.rng.randrange(one_in) == 0
        return fault if is_torn else EngineFault.no_length

    for engine in play.upstreams.engines.values():
        engine.draw = draw


def _result(play: _Play, case: str, seed: int) -> Result:
    ended_at = sorted(play.upstreams.ended_at)[:_KNOWN_ENDS]
    known_at = float('inf')
    if len(ended_at) == _KNOWN_ENDS:
        known_at = ended_at[-1] + _CONTACT_S
    late = sum(
        play.fatal_sent.get(seen.request_id, 0) > known_at
        for engine in play.upstreams.all_engines
        for seen in _with_part(engine, play.case.fatal)
    )
    began = [one for one in play.sound if _has_begun(one.tried)]
    settled_at = _settled_at(play)
    return Result(
        case,
        seed,
        play.upstreams.ended,
        late,
        _share_begun([one for one in play.sound if one.at < play.fatal_from]),
        _share_begun([one for one in play.sound if one.at >= settled_at]),
        Share(sum(is_served(one.tried) for one in began), len(began)),
        sum(not _holds_whole_events(one.tried) for one in began),
    )


def _settled_at(play: _Play) -> float:
    """Return from when on sound requests must begin as often as before."""
    ended_at = sorted(play.upstreams.ended_at)
    if play.case.beside == 'herd':
        return ended_at[-1] + _HERD_OVER_S
    if not ended_at:
        return play.fatal_from + _SETTLED_S
    return ended_at[:_KNOWN_ENDS].pop() + _SETTLED_S


def _with_part(engine: EngineStandIn, fatal: Collection[str]) -> list[Any]:
    return [
        seen
        for seen in engine.seen
        if any(part in fatal for part in prompt_parts(seen.headers))
    ]


def _has_begun(tried: Tried) -> bool:
    return tried.status == _OK and bool(tried.body)


def _share_begun(sound: Collection[_Sound]) -> Share:
    return Share(sum(_has_begun(one.tried) for one in sound), len(sound))


def _holds_whole_events(tried: Tried) -> bool:
    """Return whether an answer is the stream or, if broken off, its start."""
    expected = whole_stream(_EVENTS)
    if tried.whole:
        return tried.body == expected
    is_cut_between = tried.body.endswith(b'\n\n')
    return is_cut_between and expected.startswith(tried.body)


async def _play_cases(args: argparse.Namespace) -> int:
    return await play_all(
        HEADING,
        [
            functools.partial(play_part, case, seed)
            for case in args.case or CASES
            for seed in range(args.seed, args.seed + args.seeds)
        ],
        args.at_once,
    )


def main() -> int:
    """Play and return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', action='append', choices=sorted(CASES))
    add_options(parser, at_once=1)
    return min(1, asyncio.run(_play_cases(parser.parse_args())))


if __name__ == '__main__':
    sys.exit(main())
