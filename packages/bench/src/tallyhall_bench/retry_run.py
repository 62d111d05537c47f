"""`make retries`: upstreams that reject, beside instances lost in series.

Six entry processes and four upstreams of a service that reject a share of what
arrives. For each trouble this prints the most retries that upstreams saw in a
window of ten seconds against how many the fleet may send, the retries of the
whole play, and how many requests were served.
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
from collections.abc import Awaitable, Callable, Mapping

from .platform_fleet import (
    RETRY_LIMITS,
    PlatformFleet,
    platform_fleet,
    restart_together,
)
from .platform_load import Caller, under_load
from .platform_run import usual_state
from .plays import add_options, play_chosen
from .rejections import draw_rejection
from .retry_checks import RetryWindow, arrived_retries, fullest_window

_INSTANCES = 6
_UPSTREAMS = 4
_SLOTS = 10
_SERVICE = 'app'
_ROUTE = 'safe'
_PER_S = 60.0
_BEFORE_S = 2.0
_PLAY_S = 14.0
# Instances are lost this often within a window, with this pause between.
_LOSSES = 4
_PAUSE_S = 1.6
_DOWN_S = 0.2
_OK = 200


@dataclasses.dataclass(slots=True)
class Play:
    """One play under way."""

    fleet: PlatformFleet
    rng: random.Random
    requests: list[float] = dataclasses.field(default_factory=list)
    served: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What upstreams and callers saw in a play."""

    trouble: str
    seed: int
    worst: RetryWindow
    retries: int
    requests: int
    served: int

    @property
    def broken(self) -> bool:
        """Return whether upstreams got more retries than allowed."""
        return self.worst.is_exceeded

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.trouble:8} {self.seed:4} {self.worst.retries:5} '
            f'{self.worst.allowed:7.1f} {self.retries:7} '
            f'{self.requests:8} {self.served:6}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'trouble  seed  most allowed retries requests served'


async def play_retries(trouble: str, seed: int) -> Result:
    """Play one trouble and return what was seen."""
    async with platform_fleet(_INSTANCES, usual_state()) as fleet:
        rng = random.Random(seed)
        for number in range(_UPSTREAMS):
            engine = await fleet.add_engine(
                f'{_SERVICE}-{number}', _SERVICE, _SLOTS
            )
            engine.draw = functools.partial(draw_rejection, rng)
        play = Play(fleet, rng)
        await fleet.until_ready()
        await _run(play, trouble)
        retries = arrived_retries(fleet.engines)
        return Result(
            trouble,
            seed,
            fullest_window(retries, play.requests, RETRY_LIMITS),
            len(retries),
            len(play.requests),
            play.served,
        )


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
    play.requests.append(asyncio.get_running_loop().time())
    entry = play.rng.choice(play.fleet.entries)
    tried = await Caller(play.rng).ask(
        entry.name,
        entry.front,
        _ROUTE,
        f'r{len(play.requests)}',
        streams=False,
    )
    play.served += tried.status == _OK


# -- troubles


async def _nothing(play: Play) -> None:
    """Disturb nothing."""


async def _kill_all(play: Play) -> None:
    await _kill_in_series(play, _INSTANCES)


async def _kill_half(play: Play) -> None:
    await _kill_in_series(play, _INSTANCES // 2)


async def _kill_in_series(play: Play, count: int) -> None:
    for _ in range(_LOSSES):
        lost = play.rng.sample(play.fleet.entries, count)
        await restart_together(lost, signal.SIGKILL, _DOWN_S)
        await asyncio.sleep(_PAUSE_S)


async def _stop_all(play: Play) -> None:
    for _ in range(_LOSSES // 2):
        await restart_together(play.fleet.entries, signal.SIGTERM, _DOWN_S)


Course = Callable[[Play], Awaitable[None]]
_TROUBLES: Mapping[str, Course] = types.MappingProxyType(
    {
        'none': _nothing,
        'all': _kill_all,
        'half': _kill_half,
        'stops': _stop_all,
    },
)
TROUBLES = tuple(_TROUBLES)


def main() -> int:
    """Play and return 1 if a budget was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trouble', action='append', choices=TROUBLES)
    add_options(parser, at_once=1)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_retries,
        args,
        args.trouble or TROUBLES,
    )


if __name__ == '__main__':
    sys.exit(main())
