"""An upstream that starts again under its id is another one.

News of a start may come in any order: from the store, from other instances,
from what is sent. A model of them all says what may be known of each start.
"""

import asyncio
import dataclasses
import json
import random
from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Ending, Job, RunReport
from tallyhall_dispatch.pool import Granted, ServicePool
from tallyhall_platform.upstreams import Upstreams
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.platform.harness import (
    MODEL,
    PLAIN,
    TOKENS,
    Deployment,
    deployment,
    patient,
    until,
)

_KEY = 'servers/i-1'
_SLOTS = 3
_BORN = 1_700_000_000_000
_SLOW = RunReport(Ending.answered, 9, 8, 20, 1)
_FAILED = RunReport(Ending.failed, 0.1)


def _entry(start: int, serial: int, state: str = 'ready') -> bytes:
    fields = {
        'service': MODEL,
        'address': '10.1.2.3:80',
        'zone': 'a',
        'version': 'v1',
        'slots': _SLOTS,
        'state': state,
        'seq': serial,
        'cold-left-ms': 0,
        'born': _BORN + start,
    }
    return json.dumps(fields).encode()


def _job(key: str) -> Job:
    return Job(key, MODEL, 'a', 0, 100, 30, 0, 100, 100)


@dataclasses.dataclass(slots=True)
class _Sent:
    job: Job
    incarnation: str


@settings(max_examples=150, stateful_step_count=40)
class NewsInAnyOrder(RuleBasedStateMachine):
    """One id that starts again and again, and one instance that hears."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = ServicePool(MODEL, 6, random.Random(1))
        self.named = Upstreams()
        self.start = 1
        self.serial = 0
        self.draining = False
        # What each start has written, which may arrive at any time.
        self.written: list[tuple[int, int, bytes]] = []
        self.newest: tuple[int, int] | None = None
        self.sent: dict[str, _Sent] = {}
        self.learned: set[str] = set()
        self.names = 0
        self.now: float = 0

    # -- the engine

    @rule(drains=st.booleans())
    def writes(self, *, drains: bool) -> None:
        self.serial += 1
        self.draining = self.draining or drains
        state = 'draining' if self.draining else 'ready'
        raw = _entry(self.start, self.serial, state)
        self.written.append((self.start, self.serial, raw))

    @rule()
    def starts_again(self) -> None:
        self.start += 1
        self.serial = 0
        self.draining = False

    # -- news

    @rule(which=st.integers(0, 30))
    def an_entry_arrives(self, which: int) -> None:
        if not self.written:
            return
        start, serial, raw = self.written[which % len(self.written)]
        self.named.take(_KEY, raw)
        self.newest = max(self.newest or (0, 0), (start, serial))
        self.pool.set_upstreams(self.named.all())

    @rule()
    def the_entry_goes(self) -> None:
        self.named.drop(_KEY)
        self.newest = None
        self.learned.clear()
        self.pool.set_upstreams(())

    @rule(start=st.integers(1, 6))
    def another_instance_tells_of_a_run(self, start: int) -> None:
        job = self._new_job('peer')
        incarnation = f'i-1@{_BORN + start}'
        self.pool.note_running(job, incarnation)
        if incarnation == self._current():
            self.sent[job.key] = _Sent(job, incarnation)

    # -- requests

    @rule()
    def a_request_asks(self) -> None:
        job = self._new_job('own')
        self.pool.ask(job)
        for decision in self.pool.decide(self.now):
            if not isinstance(decision, Granted):
                continue
            # Nothing is granted but the newest start.
            incarnation = decision.upstream.incarnation
            assert incarnation == self._current()
            self.sent[decision.key] = _Sent(job, incarnation)

    @rule(which=st.integers(0, 30), fails=st.booleans())
    def a_run_ends(self, which: int, *, fails: bool) -> None:
        if not self.sent:
            return
        key = sorted(self.sent)[which % len(self.sent)]
        sent = self.sent.pop(key)
        self.pool.first_byte(key)
        self.pool.finish(key, _FAILED if fails else _SLOW, self.now)
        if sent.incarnation == self._current():
            self.learned.add(sent.incarnation)

    @rule(start=st.integers(1, 6))
    def another_has_the_address(self, start: int) -> None:
        gone = f'i-1@{_BORN + start}'
        if gone != self._current():
            self.pool.misplaced(gone)

    @invariant()
    def what_is_named_is_the_newest_start(self) -> None:
        names = [upstream.incarnation for upstream in self.named.all()]
        assert names == ([self._current()] if self.newest else [])

    @invariant()
    def the_newest_start_has_its_own_runs_only(self) -> None:
        views = self.pool.views
        current = self._current()
        assert set(views) <= {current}
        if current not in views:
            return
        own = {
            key
            for key, sent in self.sent.items()
            if sent.incarnation == current
        }
        assert set(views[current].runs) <= own
        assert len(views[current].runs) <= max(_SLOTS, len(own))

    @invariant()
    def nothing_is_known_of_a_start_that_was_not_seen_there(self) -> None:
        view = self.pool.views.get(self._current())
        if view is None or self._current() in self.learned:
            return
        assert view.hold_s is None
        assert not view.is_aside(self.now)
        assert view.reading_tokens == sum(
            run.job.prompt_tokens for run in view.runs.values() if run.reading
        )

    def _current(self) -> str:
        start = self.newest[0] if self.newest else 0
        return f'i-1@{_BORN + start}'

    def _new_job(self, who: str) -> Job:
        self.names += 1
        self.now += 0.01
        return msgspec.structs.replace(
            _job(f'{who}/{self.names}'),
            asked_at=self.now,
            due_at=self.now + 5,
            give_up_at=self.now + 5,
        )


TestNewsInAnyOrder = NewsInAnyOrder.TestCase


@pytest.mark.parametrize('order', [(1, 2), (2, 1)])
def test_the_newest_start_stands_in_any_order(order: tuple[int, int]) -> None:
    upstreams = Upstreams()
    for start in order:
        upstreams.take(_KEY, _entry(start, 5 - start))
    assert _started(upstreams.all()) == [_BORN + 2]


def test_a_late_report_does_not_take_leaving_back() -> None:
    upstreams = Upstreams()
    upstreams.take(_KEY, _entry(1, 4, 'draining'))
    upstreams.take(_KEY, _entry(1, 3))
    assert upstreams.all()[0].leaving
    # Its next start takes work.
    upstreams.take(_KEY, _entry(2, 1))
    assert not upstreams.all()[0].leaving


async def test_what_runs_at_the_old_start_goes_to_another() -> None:
    async with deployment() as made:
        engine = await _born(made, 'engine-0', 1)
        await made.ready()
        # So that no silence is taken for a loss before the news comes.
        await made.change(patient(2))
        engine.faults.append(EngineFault.hangs)
        asked = asyncio.create_task(
            made.caller().ask('/safe/x', 'r1', method='GET', body=b''),
        )
        await until(lambda: engine.running == 1)
        began = asyncio.get_running_loop().time()
        await _start_again(made, 'engine-0', 2)
        answer = await asked
        assert answer.status == 200
        assert answer.whole
        # Sooner than any silence is noticed.
        assert asyncio.get_running_loop().time() - began < 1


async def test_no_connection_of_the_old_start_is_used() -> None:
    async with deployment() as made:
        engine = await _born(made, 'engine-0', 1)
        await made.ready()
        for number in range(3):
            await made.caller().ask('/safe/x', f'r{number}')
        kept = engine.connections
        await _start_again(made, 'engine-0', 2)
        answer = await made.caller().ask('/safe/x', 'r9')
        assert answer.status == 200
        assert engine.connections == kept + 1


async def test_what_must_not_run_twice_is_not_sent_again() -> None:
    async with deployment() as made:
        engine = await _born(made, 'engine-0', 1)
        await made.ready()
        engine.faults.append(EngineFault.hangs)
        asked = asyncio.create_task(made.caller().ask('/once/x', 'r1'))
        await until(lambda: engine.running == 1)
        await _start_again(made, 'engine-0', 2)
        answer = await asked
        assert answer.status == 502
        assert len(engine.ran) == 1


async def test_a_stream_goes_on_at_another() -> None:
    async with deployment() as made:
        slow = await made.add_engine('engine-0', MODEL, event_s=0.2)
        made.register('engine-0', made.addresses['engine-0'], born=_BORN)
        await made.ready()
        asked = asyncio.create_task(
            made.caller().ask('/stream/x', 'r1', **TOKENS),
        )
        await until(lambda: slow.running == 1)
        await asyncio.sleep(0.3)
        await made.add_engine('engine-1', MODEL)
        await _start_again(made, 'engine-0', 2, MODEL)
        answer = await asked
        assert answer.status == 200
        assert answer.whole
        assert answer.body.count(b'data:') == slow.events


async def _born(made: Deployment, name: str, start: int) -> EngineStandIn:
    engine = await made.add_engine(name, PLAIN)
    address = made.addresses[name]
    made.register(name, address, PLAIN, born=_BORN + start)
    return engine


async def _start_again(
    made: Deployment,
    name: str,
    start: int,
    service: str = PLAIN,
) -> None:
    """Write the entry of the next start, at the same address."""
    made.register(name, made.addresses[name], service, born=_BORN + start)
    instance = made.instances[0]
    await until(lambda: _BORN + start in _started(instance.upstreams))


def _started(upstreams: Iterable[Upstream]) -> list[int]:
    return sorted(
        upstream.started_ms for upstream in upstreams if upstream.started_ms
    )
