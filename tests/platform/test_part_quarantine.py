"""Prompt parts that crash upstreams: entry instances learn and refuse them."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Collection, Iterable

from tallyhall_bench.mortal import Mortality, MortalUpstreams
from tallyhall_standins.fatal_requests import prompt_parts
from tallyhall_standins.platform_engine import SeenRequest

from tests.platform.harness import (
    MODEL,
    TOKENS,
    Answer,
    Deployment,
    deployment,
)

_INSTANCES = 3
_UPSTREAMS = 8
_ATTEMPTS = 12
_PAUSE_S = 0.2
# A trial and two ends before it; the last ones may overlap.
_MAX_ENDED = 4
# Time in seconds within which a sound request must be served again after
# upstreams ended for another reason.
_RECOVERY_S = 2.0
# Time in seconds within which verdicts are in the store.
_STORED_S = 1.0
# Time in seconds after which one of two quarantined parts has a trial alone.
_RIVAL_TRIAL_S = 3.0
# Time in seconds within which the cause of the last end is judged.
_OBSERVATION_S = 1.5


class _Callers:
    """Callers that ask with parts, each time with another body."""

    def __init__(self, made: Deployment) -> None:
        # Which instance is asked; all in turn if None.
        self.instance: int | None = None
        self._made = made
        self._serial = itertools.count()

    async def ask(self, *parts: str, path: str = '/stream/x') -> Answer:
        serial = next(self._serial)
        chosen = serial % _INSTANCES if self.instance is None else self.instance
        caller = self._made.caller(chosen)
        listed = ','.join(f'{part}:10' for part in (*parts, f'own{serial}'))
        return await caller.ask(
            path,
            f'r{serial}',
            body=b'%d' % serial,
            X_Tallyhall_Prompt_Prefix=listed,
            **TOKENS,
        )


@contextlib.asynccontextmanager
async def _fleet(
    events: int | None = None,
    fatal: Collection[str] = ('fatal',),
) -> AsyncIterator[tuple[Deployment, MortalUpstreams, _Callers]]:
    async with deployment(_INSTANCES) as made:
        mortality = Mortality(fatal, events)
        mortal = MortalUpstreams(made.store, MODEL, mortality)
        await mortal.start(_UPSTREAMS, first_s=0.02)
        await made.ready()
        await made.until_retries_are_earned()
        try:
            yield made, mortal, _Callers(made)
        finally:
            mortal.close()


@contextlib.asynccontextmanager
async def _turned_fleet() -> AsyncIterator[tuple[MortalUpstreams, _Callers]]:
    """Let a part turn fatal that was in use together with a sound one."""
    fatal: set[str] = set()
    async with _fleet(fatal=fatal) as (_, mortal, callers):
        for _ in range(2 * _INSTANCES):
            await callers.ask('m1', 'turned')
        fatal.add('turned')
        yield mortal, callers


async def _ask_both(callers: _Callers) -> None:
    """Ask with both parts, then with another one at each instance."""
    await callers.ask('m1', 'turned')
    for _ in range(_INSTANCES):
        await callers.ask('other')


async def _ask_fatal(callers: _Callers, path: str = '/stream/x') -> Answer:
    """Ask again and again, and without the part; return the last answer."""
    for _ in range(_ATTEMPTS):
        await callers.ask('first', 'm1')
        answer = await callers.ask('first', 'fatal', path=path)
        await asyncio.sleep(_PAUSE_S)
    return answer


async def test_a_part_crashes_few_upstreams_and_is_refused_for_a_while() -> (
    None
):
    async with _fleet() as (_, mortal, callers):
        answer = await _ask_fatal(callers, '/brittle/x')
        assert 0 < mortal.ended <= _MAX_ENDED
        assert answer.status == 503
        assert float(answer.header('retry-after')) > 10


async def test_repeats_within_one_answer_crash_no_more_upstreams() -> None:
    async with _fleet(events=1) as (_, mortal, callers):
        await _ask_fatal(callers)
        assert 0 < mortal.ended <= _MAX_ENDED


async def test_requests_that_share_the_other_parts_are_served() -> None:
    async with _fleet() as (_, mortal, callers):
        fatal = asyncio.create_task(_ask_fatal(callers))
        answers = []
        for number in range(40):
            answers.append(await callers.ask('first', f'm{number % 3}'))
            await asyncio.sleep(_PAUSE_S / 4)
        await fatal
        later = [await callers.ask('first', 'm1') for _ in range(10)]
        assert all(answer.status == 200 for answer in later)
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)
        assert mortal.ended <= _MAX_ENDED


async def test_a_sound_part_is_told_from_a_fatal_one_that_came_with_it() -> (
    None
):
    """All that crash upstreams hold both parts, and both are in use."""
    async with _turned_fleet() as (mortal, callers):
        await _ask_both(callers)
        assert mortal.ended == 2
        both = asyncio.create_task(callers.ask('m1', 'turned'))
        await asyncio.sleep(_PAUSE_S)
        await callers.ask('m1', 'other')
        assert (await both).status != 200
        await asyncio.sleep(_OBSERVATION_S)
        later = [await callers.ask('m1', 'other') for _ in range(5)]
        assert [answer.status for answer in later] == [200] * 5
        assert (await callers.ask('turned')).status == 503
        assert mortal.ended <= _MAX_ENDED


async def test_a_sound_part_quarantined_beside_a_fatal_one_is_soon_served() -> (
    None
):
    """No request with one of them came while both were held."""
    async with _turned_fleet() as (mortal, callers):
        for _ in range(2):
            await _ask_both(callers)
        await asyncio.sleep(_OBSERVATION_S)
        assert (await callers.ask('m1', 'other')).status == 503
        await asyncio.sleep(_RIVAL_TRIAL_S)
        later = [await callers.ask('m1', 'other') for _ in range(5)]
        assert [answer.status for answer in later] == [200] * 5
        await callers.ask('turned')
        answer = await callers.ask('turned')
        assert answer.status == 503
        assert float(answer.header('retry-after')) > 10
        assert mortal.ended <= _MAX_ENDED


async def test_a_new_instance_refuses_a_known_part() -> None:
    """All instances that saw the upstreams end have stopped."""
    async with _fleet() as (made, mortal, callers):
        await _ask_fatal(callers)
        await asyncio.sleep(_STORED_S)
        ended = mortal.ended
        await asyncio.gather(*(node.close() for node in made.instances))
        await made.add_instance()
        callers.instance = _INSTANCES
        answer = await callers.ask('first', 'fatal')
        assert answer.status == 503
        assert (await callers.ask('first', 'm1')).status == 200
        assert mortal.ended == ended


async def test_upstreams_that_end_together_stop_no_part() -> None:
    """Nothing is answered between the ends."""
    async with _fleet() as (_, mortal, callers):
        for engine in mortal.engines.values():
            engine.first_s = 0.2
        for _ in range(3):
            asked = asyncio.gather(
                *(callers.ask('first', f'm{number}') for number in range(6))
            )
            await asyncio.sleep(0.1)
            await mortal.end_all()
            await asked
        served = await asyncio.gather(
            *(_ask_until_served(callers, f'm{number}') for number in range(6))
        )
        assert all(served)


async def test_a_held_part_that_is_sound_is_served_after_its_trial() -> None:
    """Two upstreams end for another reason while they run its only request."""
    async with _fleet() as (_, mortal, callers):
        for _ in range(2):
            for engine in mortal.engines.values():
                engine.first_s = 0.3
            asked = asyncio.create_task(callers.ask('rare', path='/brittle/x'))
            await asyncio.sleep(0.15)
            for engine in tuple(mortal.engines.values()):
                if _runs(engine.seen, 'rare') and engine.running:
                    engine.end()
            assert (await asked).status == 502
            await asyncio.sleep(_PAUSE_S)
        assert mortal.ended == 2
        for engine in mortal.engines.values():
            engine.first_s = 0.02
        answers = await asyncio.gather(*(callers.ask('rare') for _ in range(5)))
        assert all(answer.status == 200 for answer in answers)


async def _ask_until_served(callers: _Callers, part: str) -> bool:
    """Repeat a request; return whether it is served within the time limit."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _RECOVERY_S
    while loop.time() < ends_at:
        answer = await callers.ask('first', part)
        if answer.status == 200 and answer.whole:
            return True
        await asyncio.sleep(_PAUSE_S)
    return False


def _runs(seen: Iterable[SeenRequest], part: str) -> bool:
    return any(part in prompt_parts(one.headers) for one in seen)
