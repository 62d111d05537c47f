"""Parts of prompts in a fault run that crash each upstream of their service.

One or two parts, first or in the middle of a prompt, new or sound until then.
Upstreams also end together for no part's sake. What reaches upstreams late is
checked against the faults that may hide an end from the instances.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Collection

from tallyhall_standins.fatal_requests import prompt_parts

from .mortal import Mortality, MortalUpstreams
from .platform_load import Caller, Tried, end_tasks, keep_calling
from .soak_fatal import HIDING
from .soak_site import EVENTS, INSTANCES, PARTS, Site, Violation

_UPSTREAMS = 6
_SLOTS = 6
_PARTS = (('f1', 'f2', 'f3'), ('m1', 'm2', 'm3', 'm4'))
_NEW = ('n1', 'n2')
_SOUND_PER_S = 12.0
_FATAL_PER_S = 3.0
_BACK_S = (0.5, 1.5)
# The parts become fatal within so many seconds.
_SOUND_S = 2.0
# Upstreams end together at these intervals, in seconds.
_HERD_GAP_S = (4.0, 10.0)
# When instances in touch must know a part after its fifth end, and how many
# requests with it may reach upstreams later.
_KNOWN_ENDS = 5
_CONTACT_S = 3.0
_MAX_LATE = 3
# Ends of all upstreams must not be felt any more after so many seconds.
_SETTLED_S = 4.0
# Sound requests at the end, and how many are served.
_FINAL_REQUESTS = 20
_FINAL_SERVED = 16
_OK = 200


class _Callers:
    """Callers of the service, and what they asked."""

    def __init__(self, site: Site, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fatal: set[str] = set()
        self._site = site
        # Fatal part -> its place in a prompt.
        self._places = self._draw_places()
        # When each request with a fatal part was sent, by its id.
        self._sent_at: dict[str, float] = {}
        self._asked = 0
        self._loop = asyncio.get_running_loop()

    async def turn_fatal(self) -> None:
        """Let the parts become fatal after some time."""
        await asyncio.sleep(self.rng.uniform(0, _SOUND_S))
        self.fatal.update(self._places)

    async def call(self) -> None:
        """Ask without a fatal part."""
        await self.ask_sound()

    async def ask_sound(self) -> Tried:
        """Ask without a fatal part; return what came."""
        parts = [
            self.rng.choice([part for part in place if part not in self.fatal])
            for place in _PARTS
        ]
        return await self._ask(parts)

    async def call_fatal(self) -> None:
        """Ask with a part that is fatal or becomes so."""
        part, place = self.rng.choice(sorted(self._places.items()))
        parts = [self.rng.choice(place) for place in _PARTS]
        parts[place] = part
        await self._ask(parts, is_fatal=bool(self.fatal))

    def late(self, upstreams: MortalUpstreams) -> list[str]:
        """Return what reached upstreams after all in touch must know."""
        late: list[str] = []
        for part in self.fatal:
            reached = [
                seen
                for engine in upstreams.all_engines
                for seen in engine.ran
                if part in prompt_parts(seen.headers)
                and seen.request_id in self._sent_at
            ]
            ends = sorted(seen.at for seen in reached)[:_KNOWN_ENDS]
            if len(ends) == _KNOWN_ENDS:
                known_at = ends[-1] + _CONTACT_S
                late.extend(
                    seen.request_id
                    for seen in reached
                    if self._sent_at[seen.request_id] > known_at
                )
        return late

    async def _ask(
        self, parts: Collection[str], *, is_fatal: bool = False
    ) -> Tried:
        self._asked += 1
        request_id = f'p{self._asked}'
        if is_fatal:
            self._sent_at[request_id] = self._loop.time()
        listed = ','.join(f'{part}:100' for part in (*parts, request_id))
        chosen = self.rng.randrange(INSTANCES)
        return await Caller(self.rng).ask(
            self._site.fleet.entries[chosen].name,
            self._site.fronts[chosen],
            PARTS,
            request_id,
            streams=True,
            body=request_id.encode(),
            headers=((b'X-Tallyhall-Prompt-Prefix', listed.encode()),),
        )

    def _draw_places(self) -> dict[str, int]:
        places = {}
        for new in _NEW[: self.rng.randint(1, len(_NEW))]:
            place = self.rng.randrange(len(_PARTS))
            used = self.rng.choice(_PARTS[place])
            places[self.rng.choice((new, used))] = place
        return places


@contextlib.asynccontextmanager
async def fatal_parts(site: Site, seed: int) -> AsyncIterator[None]:
    """Run the service while the context lasts, then check it."""
    callers = _Callers(site, seed)
    mortality = Mortality(callers.fatal, back_s=_BACK_S, moves=True)
    upstreams = MortalUpstreams(site.fleet.store, PARTS, mortality, seed)
    await upstreams.start(_UPSTREAMS, _SLOTS, EVENTS, first_s=0.05)
    work = (
        keep_calling(callers.call, callers.rng, _SOUND_PER_S),
        keep_calling(callers.call_fatal, callers.rng, _FATAL_PER_S),
        callers.turn_fatal(),
        _end_together(upstreams, callers.rng),
    )
    tasks = [asyncio.create_task(one) for one in work]
    try:
        yield
        await end_tasks(*tasks)
        await asyncio.sleep(_SETTLED_S)
        site.ended_by_parts = upstreams.ended
        _check_late(site, callers.late(upstreams))
        await _check_sound(site, callers)
    finally:
        upstreams.close()


async def _end_together(upstreams: MortalUpstreams, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(*_HERD_GAP_S))
        await upstreams.end_all()


def _check_late(site: Site, late: list[str]) -> None:
    hidden = sum(fault.split()[1] in HIDING for fault in site.faults)
    if len(late) > _MAX_LATE + hidden:
        detail = f'{len(late)} requests, {hidden} faults that hide ends'
        site.violations.append(Violation('known part sent', detail))


async def _check_sound(site: Site, callers: _Callers) -> None:
    answers = [await callers.ask_sound() for _ in range(_FINAL_REQUESTS)]
    served = sum(tried.status == _OK and tried.whole for tried in answers)
    if served < _FINAL_SERVED:
        detail = f'{served} of {_FINAL_REQUESTS} sound ones at the end'
        site.violations.append(Violation('innocent part refused', detail))
