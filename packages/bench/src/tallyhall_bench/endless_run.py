"""`make endless`: upstreams whose answers have no end, beside sound ones.

One entry process, four upstreams and six callers of a safe route, for each form
of such an answer. The upstreams that are asked most turn bad, and are sound
again at the end. This prints the share of requests that were served, how often
the bad upstreams were asked, how long they could send at most, the memory and
the processor time of the process, and what they served once they were sound.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import random
import sys
import types
from collections.abc import Iterable, Sequence

from tallyhall_standins.endless import (
    ENDLESS_ANSWERS,
    EndlessAnswer,
    EndlessEngine,
)

from .platform_fleet import PlatformFleet, platform_fleet
from .platform_load import Caller
from .platform_run import usual_state
from .plays import Share, add_options, play_chosen
from .process_use import cpu_s, peak_mb

# All upstreams are sound.
NONE = 'none'
FORMS = (NONE, *ENDLESS_ANSWERS)
_UPSTREAMS = 4
_SLOTS = 2
_CALLERS = 6
_SERVICE = 'app'
_ROUTE = 'safe'
_PLAY_S = 20.0
_PAUSE_S = 0.05
# Requests earn retries, and the connections of a start are open.
_BEFORE_S = 3.0
# In which sound upstreams must be asked again.
_AFTER_S = 10.0
# Longest time in seconds for which an answer is received beyond its bound.
_MAX_BEYOND_S = 0.1
# Least share of requests that is served beside one bad upstream of four, and
# beside three.
_SERVED = types.MappingProxyType({0: 0.99, 1: 0.99, 3: 0.9})
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What callers, upstreams and the machine saw in a play."""

    form: str
    bad: int
    seed: int
    served: Share
    # Times that bad upstreams were asked.
    asked: int
    # Longest time for which a bad upstream could send.
    longest_s: float
    peak_mb: float
    cpu_s: float
    # Requests that the bad upstreams served once they were sound.
    returned: int

    @property
    def broken(self) -> bool:
        """Return whether callers or upstreams saw what they must not."""
        if self.served.fraction < _SERVED[self.bad]:
            return True
        if not self.bad:
            return False
        is_slow = ENDLESS_ANSWERS[self.form].pause_s > 0
        beyond = self.longest_s > _MAX_BEYOND_S and not is_slow
        return beyond or not self.returned

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.form:16} {self.bad:3} {self.seed:4} '
            f'{self.served!s:>11} {self.asked:5} {self.longest_s:7.3f} '
            f'{self.peak_mb:7.1f} {self.cpu_s:5.2f} {self.returned:8}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = (
    'form             bad seed      served asked longest peak MB cpu s returned'
)


async def play_endless(form: str, bad: int, seed: int) -> Result:
    """Play one form of answers at so many upstreams."""
    async with platform_fleet(1, usual_state()) as fleet:
        engines = await _add_engines(fleet)
        await fleet.until_ready()
        rng = random.Random(seed)
        await _call_for(fleet, rng, _BEFORE_S)
        answer = ENDLESS_ANSWERS.get(form)
        turned = _most_asked(engines)[: bad if answer else 0]
        _answer_with(turned, answer)
        pid = fleet.entries[0].pid
        used_s = cpu_s(pid)
        served = await _call_for(fleet, rng, _PLAY_S)
        used_s = cpu_s(pid) - used_s
        times = [one for engine in turned for one in engine.received_s]
        return Result(
            form,
            len(turned),
            seed,
            served,
            len(times),
            max(times, default=0),
            peak_mb(pid),
            used_s,
            await _served_when_sound(fleet, rng, turned),
        )


async def _add_engines(fleet: PlatformFleet) -> list[EndlessEngine]:
    engines = [
        EndlessEngine(f'{_SERVICE}-{number}') for number in range(_UPSTREAMS)
    ]
    for engine in engines:
        await fleet.place_engine(engine, _SERVICE, _SLOTS)
    return engines


def _most_asked(engines: Iterable[EndlessEngine]) -> list[EndlessEngine]:
    return sorted(engines, key=lambda one: len(one.ran), reverse=True)


def _answer_with(
    engines: Iterable[EndlessEngine], answer: EndlessAnswer | None
) -> None:
    for engine in engines:
        engine.endless = answer


async def _served_when_sound(
    fleet: PlatformFleet, rng: random.Random, turned: Sequence[EndlessEngine]
) -> int:
    """Let bad upstreams be sound; return how many requests they then serve."""
    if not turned:
        return 0
    _answer_with(turned, None)
    before = sum(len(one.ran) for one in turned)
    await _call_for(fleet, rng, _AFTER_S)
    return sum(len(one.ran) for one in turned) - before


async def _call_for(
    fleet: PlatformFleet, rng: random.Random, for_s: float
) -> Share:
    """Call from all callers for so many seconds; return what was served."""
    ends_at = asyncio.get_running_loop().time() + for_s
    shares = await asyncio.gather(
        *(_calls(fleet, rng, ends_at, caller) for caller in range(_CALLERS))
    )
    return Share(
        sum(share.count for share in shares),
        sum(share.total for share in shares),
    )


async def _calls(
    fleet: PlatformFleet, rng: random.Random, ends_at: float, number: int
) -> Share:
    loop = asyncio.get_running_loop()
    caller = Caller(rng)
    entry = fleet.entries[0]
    asked = 0
    served = 0
    while loop.time() < ends_at:
        asked += 1
        request_id = f'r{number}-{loop.time()}'
        tried = await caller.ask(
            entry.name, entry.front, _ROUTE, request_id, streams=False
        )
        served += tried.status == _OK and tried.whole
        await asyncio.sleep(_PAUSE_S)
    return Share(served, asked)


def main() -> int:
    """Play and return 1 if too few requests were served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--form', action='append', choices=FORMS)
    parser.add_argument('--bad', action='append', type=int)
    add_options(parser, at_once=1)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_endless,
        args,
        args.form or FORMS,
        args.bad or (1, 3),
    )


if __name__ == '__main__':
    sys.exit(main())
