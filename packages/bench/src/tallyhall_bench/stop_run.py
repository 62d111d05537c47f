"""`make stops`: planned stops beside requests whose runs take long.

Two entry processes and four upstreams whose runs take up to 3.5 s. One process
gets SIGTERM and callers go on to ask it until it is gone. For each way of
asking this prints how many requests came after the signal, how many of them an
upstream was sent whose caller got no whole answer, and what the others got.
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
from collections.abc import (
    Callable,
    Coroutine,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Any

from tallyhall_standins.platform_engine import EngineStandIn

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import Caller, Tried, under_load
from .platform_run import STREAMED, usual_state
from .plays import add_options, play_chosen
from .slow_upload import ask_slowly
from .start_cost import ROOT, start_entry

_INSTANCES = 2
_UPSTREAMS = 4
_WORK_S = (0.02, 3.5)
_OBJECTIVE_MS = 4000
_TIMEOUT_MS = 15_000
_PER_S = 30.0
_SLOTS = 20
_FEW_SLOTS = 2
_BEFORE_S = 6.0
_UPLOAD_S = 3.0
_MILLI = 1000


class VaryingEngine(EngineStandIn):
    """An upstream whose runs take a random time each."""

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        """Draw the times from this generator."""
        super().__init__(incarnation)
        self._rng = rng

    async def answer_instead(self, writer: asyncio.StreamWriter) -> bool:
        """Work for a while before the usual answer."""
        await asyncio.sleep(self._rng.uniform(*_WORK_S))
        return False


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    rng: random.Random
    form: Form
    stopped_at: float = float('inf')
    asked: int = 0
    # Callers with a connection that carries no request.
    idle: list[Caller] = dataclasses.field(default_factory=list)
    # The requests that were sent after the signal.
    late: list[Tried] = dataclasses.field(default_factory=list)

    @property
    def stopping(self) -> EntryProcess:
        """Return the process that is stopped."""
        return self.fleet.entries[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What callers of the stopped process got."""

    form: str
    seed: int
    late: int
    cut: tuple[str, ...]
    statuses: collections.Counter[int]
    life_s: float

    @property
    def broken(self) -> bool:
        """Return whether a request was cut that an upstream was sent."""
        return bool(self.cut)

    def __str__(self) -> str:
        """Return a row of the table."""
        statuses = ' '.join(
            f'{status}:{count}'
            for status, count in sorted(self.statuses.items())
        )
        return (
            f'{self.form:7} {self.seed:4} {self.late:5} {len(self.cut):4} '
            f'{self.life_s:6.2f} {statuses}'
            f'{" BROKEN" if self.broken else ""} {" ".join(self.cut)}'
        )


HEADING = 'form    seed  late  cut life[s] statuses'


async def play_stop(
    form: str,
    root: pathlib.Path,
    seed: int,
    kept: pathlib.Path | None = None,
) -> Result:
    """Play a stop beside one way of asking; return what callers got.

    root: the checkout whose entry processes are played. kept: folder into which
    logs are written.
    """
    chosen = _FORMS[form]
    async with platform_fleet(0, _state(), folder=kept) as fleet:
        rng = random.Random(seed)
        play = Play(fleet, rng, chosen)
        for number in range(_UPSTREAMS):
            engine = VaryingEngine(f'{chosen.service}-{number}', rng)
            await fleet.place_engine(engine, chosen.service, chosen.slots)
        for _ in range(_INSTANCES):
            await start_entry(fleet.prepare_entry(), root)
        await fleet.until_ready()
        life_s = await _run(play)
        cut = tuple(
            f'{tried.route}/{tried.request_id}'
            for tried in cut_requests(play.late, fleet.engines)
        )
        statuses = collections.Counter(tried.status for tried in play.late)
        return Result(form, seed, len(play.late), cut, statuses, life_s)


def cut_requests(
    tries: Iterable[Tried], engines: Iterable[EngineStandIn]
) -> Iterator[Tried]:
    """Yield those that an upstream ran and that got no whole answer."""
    sent = {seen.request_id for engine in engines for seen in engine.ran}
    for tried in tries:
        is_answered = tried.whole and tried.status
        if tried.request_id in sent and not is_answered:
            yield tried


async def _run(play: Play) -> float:
    """Stop a process under load; return how long it lived after the signal."""
    loop = asyncio.get_running_loop()
    ask = functools.partial(play.form.ask, play)
    async with under_load(ask, play.rng, _PER_S):
        await asyncio.sleep(_BEFORE_S)
        play.stopped_at = loop.time()
        entries = play.fleet.entries
        for entry in entries if play.form.stops_all else (play.stopping,):
            entry.send(signal.SIGTERM)
        await play.stopping.wait()
        life_s = loop.time() - play.stopped_at
        await asyncio.sleep(0.2)
    return life_s


def _state() -> Mapping[str, Any]:
    state = usual_state()
    for route in state['routes']:
        route['slo-ms'] = _OBJECTIVE_MS
        route['timeout-ms'] = _TIMEOUT_MS
    return state


async def _ask(play: Play) -> None:
    """Ask the process that is stopped, and keep what came if it was late."""
    began_at = asyncio.get_running_loop().time()
    play.asked += 1
    route = play.rng.choice(play.form.routes)
    caller = play.idle.pop() if play.idle else _new_caller(play)
    tried = await caller.ask(
        play.stopping.name,
        play.stopping.front,
        route,
        f'r{play.asked}',
        streams=route in STREAMED,
    )
    if play.form.keeps_connections:
        play.idle.append(caller)
    if began_at > play.stopped_at:
        play.late.append(tried)


async def _ask_slowly(play: Play) -> None:
    """The same with a body that takes up to three seconds."""
    began_at = asyncio.get_running_loop().time()
    play.asked += 1
    tried = await ask_slowly(
        play.stopping.front,
        play.rng.choice(play.form.routes),
        f'r{play.asked}',
        play.rng,
        _UPLOAD_S,
        _TIMEOUT_MS / _MILLI,
    )
    if began_at > play.stopped_at:
        play.late.append(tried)


def _new_caller(play: Play) -> Caller:
    return Caller(play.rng, deadline_s=_TIMEOUT_MS / _MILLI)


Ask = Callable[[Play], Coroutine[Any, Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """A way of asking, what is asked, and how many slots upstreams have."""

    slots: int = _SLOTS
    keeps_connections: bool = False
    stops_all: bool = False
    service: str = 'app'
    routes: Sequence[str] = ('safe', 'once')
    ask: Ask = _ask


_FORMS: Mapping[str, Form] = types.MappingProxyType(
    {
        'new': Form(),
        'kept': Form(keeps_connections=True),
        'queued': Form(slots=_FEW_SLOTS),
        'bodies': Form(ask=_ask_slowly),
        'streams': Form(service='engines', routes=sorted(STREAMED)),
        'all': Form(stops_all=True),
    },
)
FORMS = tuple(_FORMS)


def main() -> int:
    """Play and return 1 if a request was cut."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--form', action='append', choices=FORMS)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    add_options(parser, at_once=4)
    args = parser.parse_args()
    play = functools.partial(play_stop, kept=args.keep)
    roots = (args.old or ROOT,)
    return play_chosen(HEADING, play, args, args.form or FORMS, roots)


if __name__ == '__main__':
    sys.exit(main())
