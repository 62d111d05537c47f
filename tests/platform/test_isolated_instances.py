"""An instance that reaches no upstream serves its callers through others.

The upstreams, the store and the instances run in this process. Each instance
has links of its own to the upstreams, which are lost and restored.
"""

import asyncio
import contextlib
import itertools
import os
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from tallyhall_bench.upstream_links import MODES, UpstreamLinks
from tallyhall_dispatch.link_monitor import LinkFailure, LinkMonitor
from tallyhall_entry.explain import explain
from tallyhall_entry.logs import setup_logging
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from tests.platform.harness import (
    MODEL,
    PLAIN,
    TOKENS,
    Answer,
    Deployment,
    deployment,
    until,
)

_UPSTREAMS = 3
_SLOW_S = 0.6
# From 17 instances on, only the hubs have streams to all others.
_LARGE = 18


class _Fleet:
    """Two linked instances, the first of which loses its upstreams."""

    def __init__(self, made: Deployment, links: list[UpstreamLinks]) -> None:
        self.made = made
        self.links = links
        self.engines: list[EngineStandIn] = []
        self._serials = itertools.count()

    @property
    def isolated(self) -> bool:
        return self.made.instances[0]._paths.is_isolated

    async def isolate(self, mode: str = 'closed', instance: int = 0) -> None:
        """Lose the links of an instance and let it learn this."""
        await self.links[instance].lose(mode)
        paths = self.made.instances[instance]._paths
        while not paths.is_isolated:
            await self.ask('safe', instance)
            await self.ask('stream', instance)

    async def ask(self, route: str, instance: int = 0) -> Answer:
        tokens = {} if route in {'safe', 'once'} else dict(TOKENS)
        return await self.made.caller(instance).ask(
            f'/{route}/x', f'r{next(self._serials)}', **tokens
        )

    def runs(self, request_id: str) -> int:
        """Return how often a request ran."""
        return sum(
            seen.request_id == request_id
            for engine in self.engines
            for seen in engine.ran
        )

    def end_tunnels(self) -> None:
        """Reset all tunnels through the second instance."""
        self.made.instances[1]._paths._server.abort_all()

    def close_tunnels(self) -> None:
        """Close them without a reset, as the kernel does for a lost process."""
        for side in tuple(self.made.instances[1]._paths._server._tunnels):
            if side.transport is not None:
                side.transport.close()

    async def until_runs(self, count: int = 1) -> None:
        """Wait until this many requests run at the same time."""
        await until(
            lambda: sum(engine.running for engine in self.engines) >= count
        )


@contextlib.asynccontextmanager
async def _fleet(**pace: float) -> AsyncIterator[_Fleet]:
    async with deployment(0) as made:
        engines = [
            await made.add_engine(f'{service}-{number}', service, **pace)
            for service in (MODEL, PLAIN)
            for number in range(_UPSTREAMS)
        ]
        links = [await made.add_linked_instance() for _ in range(2)]
        await made.ready()
        fleet = _Fleet(made, links)
        fleet.engines = engines
        yield fleet


def test_an_answer_between_failures_means_that_links_work() -> None:
    for failure in (LinkFailure.refused, LinkFailure.timed_out):
        links = LinkMonitor()
        assert not links.record_failure('u1', failure, 1)
        assert not links.record_failure('u1', failure, 2)
        links.record_answer('u2')
        assert not links.record_failure('u3', failure, 3)
        assert links.record_failure('u1', failure, 4)
        assert links.is_isolated
        assert not links.is_direct('u2', 4)
        assert links.record_answer('u2')
        assert links.is_direct('u1', 4)


def test_overdue_answers_need_a_check_that_nobody_answers() -> None:
    links = LinkMonitor()
    links.record_data(1)
    assert not links.record_silence('u1', 0.9)
    assert not links.record_silence('u1', 1.1)
    assert links.record_silence('u2', 1.1)
    links.record_answer('u3')
    assert not links.confirm_isolated(2)
    links.record_silence('u1', 1.1)
    links.record_silence('u2', 1.1)
    assert links.confirm_isolated(3)
    assert links.is_silent


@pytest.mark.parametrize('mode', MODES)
@pytest.mark.parametrize('route', ['safe', 'once', 'stream', 'brittle'])
async def test_requests_are_served_through_another_instance(
    mode: str, route: str
) -> None:
    async with _fleet() as fleet:
        await fleet.isolate(mode)
        answers = [await fleet.ask(route) for _ in range(5)]
        assert [answer.status for answer in answers] == [200] * 5
        assert all(answer.whole for answer in answers)


@pytest.mark.parametrize('mode', MODES)
async def test_direct_connections_are_used_again(mode: str) -> None:
    async with _fleet() as fleet:
        await fleet.isolate(mode)
        assert (await fleet.ask('safe')).status == 200
        await fleet.links[0].restore()
        await until(lambda: not fleet.isolated)
        tunnels = fleet.made.instances[1]._paths
        await until(lambda: not tunnels.open_tunnels)
        for route in ('safe', 'once', 'stream'):
            assert (await fleet.ask(route)).status == 200
        assert not tunnels.open_tunnels


async def test_sound_links_are_neither_probed_nor_replaced_by_tunnels() -> None:
    async with _fleet() as fleet:
        for _ in range(5):
            for route in ('safe', 'once', 'stream'):
                assert (await fleet.ask(route)).status == 200
        counts = [one._metrics.paths for one in fleet.made.instances]
        assert not any(count.asked or count.served for count in counts)
        assert not any(engine.probes for engine in fleet.engines)


async def test_two_ended_upstreams_do_not_isolate_an_instance() -> None:
    async with _fleet() as fleet:
        for engine in fleet.engines[_UPSTREAMS + 1 :]:
            engine.end()
        for _ in range(20):
            await fleet.ask('safe')
        await until(lambda: not fleet.isolated)
        assert (await fleet.ask('safe')).status == 200


async def test_non_idempotent_request_runs_once_if_its_tunnel_breaks() -> None:
    async with _fleet(first_s=_SLOW_S) as fleet:
        await fleet.isolate()
        for route in ('once', 'brittle'):
            request_id = f'broken-{route}'
            tokens = dict(TOKENS) if route == 'brittle' else {}
            answer = await fleet.made.caller().start(
                f'/{route}/x', request_id, **tokens
            )
            await fleet.until_runs()
            fleet.end_tunnels()
            assert (await answer).status == 502
            assert fleet.runs(request_id) == 1


async def test_stream_resumes_if_its_tunnel_breaks() -> None:
    async with _fleet(event_s=0.1, events=10) as fleet:
        await fleet.isolate()
        caller = fleet.made.caller()
        answer = await caller.start('/stream/x', 'r-stream', **TOKENS)
        await until(lambda: b'id: 3' in caller.parts)
        fleet.end_tunnels()
        ended = await answer
        assert ended.status == 200
        assert ended.whole
        numbers = [
            int(line.partition(b':')[2])
            for line in ended.body.splitlines()
            if line.startswith(b'id:')
        ]
        assert numbers == list(range(1, 11))


async def test_a_caller_that_leaves_ends_its_run_behind_a_tunnel() -> None:
    async with _fleet(first_s=5) as fleet:
        await fleet.links[0].lose('closed')
        caller = fleet.made.caller()
        await caller.start('/once/x', 'r-left')
        await fleet.until_runs()
        assert caller.conn is not None
        caller.conn.close()
        await until(
            lambda: not any(engine.running for engine in fleet.engines), 0.4
        )


@pytest.mark.parametrize('route', ['once', 'safe', 'stream', 'brittle'])
async def test_answer_without_a_length_is_whole_through_another_instance(
    route: str,
) -> None:
    async with _fleet() as fleet:
        await fleet.isolate()
        for engine in fleet.engines:
            engine.faults.extend([EngineFault.no_length] * 3)
        answer = await fleet.ask(route)
        assert answer.status == 200
        assert answer.whole


@pytest.mark.parametrize('is_reset', [False, True])
async def test_answer_without_a_length_is_not_complete_when_a_tunnel_ends(
    *, is_reset: bool
) -> None:
    async with _fleet(event_s=0.1, events=10) as fleet:
        await fleet.isolate()
        for engine in fleet.engines:
            engine.faults.extend([EngineFault.no_length] * 3)
        caller = fleet.made.caller()
        answer = await caller.start('/brittle/x', 'r-cut', **TOKENS)
        await until(lambda: b'id: 3' in caller.parts)
        if is_reset:
            fleet.end_tunnels()
        else:
            fleet.close_tunnels()
        assert not (await answer).whole


async def test_isolated_instances_do_not_pass_requests_to_each_other() -> None:
    async with _fleet() as fleet:
        await fleet.isolate(instance=0)
        await fleet.isolate(instance=1)
        served = [one._metrics.paths.served for one in fleet.made.instances]
        before = [count['connected'] for count in served]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await fleet.ask('once')
        assert answer.status == 503
        assert float(answer.header('retry-after')) > 0
        assert loop.time() - began_at < 0.5
        assert [count['connected'] for count in served] == before


async def test_an_instance_far_from_the_hubs_is_served_through_others() -> None:
    """In a large fleet, most instances have no stream to each other."""
    async with deployment(_LARGE - 1) as made:
        engines = [
            await made.add_engine(f'{service}-{number}', service)
            for service in (MODEL, PLAIN)
            for number in range(_UPSTREAMS)
        ]
        links = await made.add_linked_instance()
        await made.ready()
        instance = made.instances[-1]
        assert instance.options.instance not in instance._scheduler.hubs
        fleet = _Fleet(made, [links] * _LARGE)
        fleet.engines = engines
        await fleet.isolate('silent', _LARGE - 1)
        answers = [
            await fleet.ask(route, _LARGE - 1)
            for route in ('safe', 'once', 'stream', 'brittle')
            for _ in range(3)
        ]
        assert [answer.status for answer in answers] == [200] * 12
        served = [one._metrics.paths.served for one in made.instances]
        assert sum(count['connected'] for count in served) > 0


async def test_request_is_counted_once_where_it_came_in() -> None:
    async with _fleet() as fleet:
        await fleet.isolate()
        requests = [one._metrics.requests for one in fleet.made.instances]
        before = [count.total() for count in requests]
        seen = sum(len(engine.seen) for engine in fleet.engines)
        for _ in range(5):
            assert (await fleet.ask('once')).status == 200
        after = [count.total() for count in requests]
        assert after == [before[0] + 5, before[1]]
        assert sum(len(engine.seen) for engine in fleet.engines) == seen + 5


async def test_lost_links_are_not_taken_for_ended_upstreams() -> None:
    async with _fleet(first_s=_SLOW_S) as fleet:
        answers = [
            await fleet.made.caller().start('/once/x', f'r-lost-{number}')
            for number in range(3)
        ]
        await fleet.until_runs(3)
        await fleet.links[0].lose('closed')
        assert {(await answer).status for answer in answers} == {502}
        await asyncio.sleep(0.3)
        suspects = fleet.made.instances[0]._guard._suspects
        assert not suspects._records


async def test_failures_of_an_isolated_instance_leave_no_upstream_out() -> None:
    async with _fleet() as fleet:
        await fleet.isolate(instance=0)
        await fleet.isolate(instance=1)
        await asyncio.sleep(1)
        for _ in range(5):
            await fleet.ask('safe')
        now = asyncio.get_running_loop().time()
        for instance in fleet.made.instances:
            for pool in instance._dispatcher.pools.values():
                assert not any(
                    view.is_ejected(now) for view in pool.views.values()
                )


async def test_both_instances_explain_a_request_through_a_tunnel(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    writer = os.open(path, os.O_WRONLY | os.O_CREAT)
    async with _fleet() as fleet:
        setup_logging('entry', time.monotonic, writer)
        await fleet.isolate()
        caller = fleet.made.caller()
        assert (await caller.ask('/once/x', 'r-told')).status == 200
        await until(lambda: 'r-told' in path.read_text())
        fleet.end_tunnels()
        await until(lambda: 'tunnel_ended' in path.read_text())
    os.close(writer)
    told = explain('r-told', path.read_text().splitlines())
    assert told is not None
    assert 'through entry-2' in told.cause
    events = {line.event for line in told.lines}
    assert {'tunnel_asked', 'send_ended', 'tunnel_ended'} <= events
