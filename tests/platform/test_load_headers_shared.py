"""Load headers of upstreams, on instances with real streams between them.

Guards against an upstream that misleads or breaks an instance by its header,
and against reports that stop when the store is lost.
"""

import asyncio
import json
import random
from collections.abc import Callable
from pathlib import Path

import pytest
from tallyhall_dispatch.jobs import Job
from tallyhall_entry.explain import check_line, explain
from tallyhall_standins.engine_load import EngineLoad, LoadFault, SlowPhases
from tallyhall_standins.platform_engine import EngineStandIn
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import (
    MODEL,
    TOKENS,
    Deployment,
    deployment,
    logged_deployment,
    patient,
    until,
)

# Slowed for longer than any test lasts.
_SLOWED_S = 1000
_ATTEMPTS = 10
_LOOKS = 20


def _always_slowed() -> EngineLoad:
    return EngineLoad(4, SlowPhases(random.Random(1), 1, _SLOWED_S))


def _owner(made: Deployment) -> int:
    names = [options.instance for options in made.options]
    return names.index(made.instances[0].owner(MODEL) or '')


def _known(made: Deployment, instance: int, engine: str) -> float:
    """Return the slowdown of an upstream that an instance knows."""
    dispatcher = made.instances[instance]._dispatcher
    upstream = next(
        one for one in made.instances[instance].upstreams if one.name == engine
    )
    now = asyncio.get_running_loop().time()
    return dispatcher.upstream_loads.slowdown(upstream.incarnation, now)


async def _ask_others(made: Deployment, owner: int, serial: str) -> None:
    """Send a stream to each instance that does not own the service."""
    numbers = set(range(len(made.instances))) - {owner}
    for number in sorted(numbers):
        answer = await made.caller(number).ask(
            '/stream/x', f'{serial}-{number}', **TOKENS
        )
        assert answer.status == 200


async def _until_owner_is_told(made: Deployment, owner: int) -> None:
    """Send requests until the owner knows the slowdown.

    On a busy machine a report may be outdated before it can be looked up, so
    that one request is not enough.
    """
    for attempt in range(_ATTEMPTS):
        await _ask_others(made, owner, f'told-{attempt}')
        for _ in range(_LOOKS):
            if _known(made, owner, 'model-0') > 1:
                return
            await asyncio.sleep(0.01)
    raise AssertionError('the owner was not told')


async def test_owner_knows_a_slowdown_that_others_received() -> None:
    async with deployment(3) as made:
        engine = await made.add_engine('model-0')
        engine.load = _always_slowed()
        await made.ready()
        owner = _owner(made)
        await _until_owner_is_told(made, owner)


async def test_reports_are_shared_while_the_store_is_lost() -> None:
    async with deployment(3) as made:
        engine = await made.add_engine('model-0')
        await made.ready()
        owner = _owner(made)
        made.store.fault = StoreFault.refuses
        engine.load = _always_slowed()
        await asyncio.sleep(0.5)
        await _until_owner_is_told(made, owner)


@pytest.mark.parametrize(
    'fault', [fault for fault in LoadFault if fault is not LoadFault.none]
)
async def test_wrong_reports_do_not_break_requests(fault: LoadFault) -> None:
    async with deployment(3) as made:
        engines = [await made.add_engine(f'model-{one}') for one in range(2)]
        for engine in engines:
            engine.load = _always_slowed()
        await made.ready()
        await made.change(patient(2))
        engines[0].load.fault = fault
        for _ in range(3):
            statuses = await made.ask_all([one % 3 for one in range(6)])
            assert set(statuses) == {200}


@pytest.mark.parametrize('fault', [LoadFault.missing, LoadFault.garbled])
async def test_last_good_report_expires(fault: LoadFault) -> None:
    """An upstream that stops to report must not count as slowed for ever."""
    async with deployment(3) as made:
        engine = await made.add_engine('model-0')
        engine.load = _always_slowed()
        await made.ready()
        owner = _owner(made)
        await _until_owner_is_told(made, owner)
        engine.load.fault = fault
        await _ask_others(made, owner, 'after')
        await until(lambda: _known(made, owner, 'model-0') == 1, 1)


async def test_upstream_that_understates_does_not_attract_all_requests() -> (
    None
):
    """It claims 10,000 slots, nothing running and a fifth of the usual time."""
    async with deployment(3) as made:
        engines = [await made.add_engine(f'model-{one}') for one in range(2)]
        for engine in engines:
            engine.load = EngineLoad(4)
        engines[0].load.fault = LoadFault.understated
        await made.ready()
        await made.change(patient(2))
        for _ in range(10):
            statuses = await made.ask_all([one % 3 for one in range(6)])
            assert set(statuses) == {200}
        assert engines[0].most_running <= 4
        assert len(engines[1].ran) >= len(engines[0].ran) / 3


async def test_slowdown_is_logged_and_explained(tmp_path: Path) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        engine = await made.add_engine('model-0')
        await made.ready()
        await _ask(made, 'r-unknown')
        engine.load = _always_slowed()
        await _ask(made, 'r-first')
        await _ask(made, 'r-slowed')
        await until(lambda: '"r-slowed"' in path.read_text())
        await asyncio.sleep(0.1)
    lines = path.read_text().splitlines()
    assert not any(check_line(line) for line in lines)
    for request_id in ('r-unknown', 'r-first'):
        unknown = explain(request_id, lines)
        assert unknown is not None
        assert 'slowed' not in unknown.cause
        assert not any('slowdown' in one.fields for one in unknown.lines)
    slowed = explain('r-slowed', lines)
    assert slowed is not None
    assert 'Known to be slowed when granted: model-0' in slowed.cause
    begins = [
        fields
        for fields in map(json.loads, lines)
        if fields['event'] == 'slowdowns_reported'
    ]
    assert len(begins) == 1
    assert begins[0]['service'] == MODEL
    assert begins[0]['slowdown'] == 2.5


async def _ask(made: Deployment, request_id: str) -> None:
    answer = await made.caller().ask('/stream/x', request_id, **TOKENS)
    assert answer.status == 200


class _Lookup:
    """Records what a lookup returns."""

    def __init__(self, wrapped: Callable[[Job], float]) -> None:
        self._wrapped = wrapped
        self.returned: list[float] = []

    def __call__(self, job: Job) -> float:
        self.returned.append(self._wrapped(job))
        return self.returned[-1]


async def test_grant_of_an_owner_states_the_slowdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The line of the request must show what its owner knew."""
    async with deployment(3) as made:
        engine: EngineStandIn = await made.add_engine('model-0')
        engine.load = _always_slowed()
        await made.ready()
        owner = _owner(made)
        asked = (owner + 1) % 3
        scheduler = made.instances[asked]._scheduler
        lookup = _Lookup(scheduler.known_slowdown)
        monkeypatch.setattr(scheduler, 'known_slowdown', lookup)
        for attempt in range(_ATTEMPTS):
            await _until_owner_is_told(made, owner)
            lookup.returned.clear()
            await made.caller(asked).ask('/stream/x', f'r{attempt}', **TOKENS)
            if lookup.returned != [1]:
                break
        assert len(lookup.returned) == 1
        assert 1 < lookup.returned[0] <= 2.5
