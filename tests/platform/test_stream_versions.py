"""Streams that callers take up at other instances, with several versions."""

import asyncio
from typing import Any

import pytest
from tallyhall_dispatch.versions import NEW_VERSION_S
from tallyhall_standins.platform_engine import EngineFault, EngineStandIn

from .harness import TOKENS, Answer, Deployment, deployment, desired, until

_VERSIONS = ('v1', 'v2')
_BROKEN_AFTER = 2


async def _add_versions(cluster: Deployment) -> list[EngineStandIn]:
    """Add two upstreams of each version; they are known once this returns."""
    engines = []
    for number, version in enumerate(_VERSIONS * 2):
        engine = await cluster.add_engine(f'e-{number}')
        address = cluster.addresses[f'e-{number}']
        cluster.register(f'e-{number}', address, version=version)
        engine.tag = f'@{version}'
        engines.append(engine)
    await cluster.ready()
    return engines


async def _broken_stream(
    cluster: Deployment, engines: list[EngineStandIn], request_id: str
) -> str:
    """Begin a stream that breaks after two events; return its version."""
    for engine in engines:
        engine.faults.extend([EngineFault.breaks_between] * 2)
    caller = cluster.caller()
    fut = await caller.start('/stream/x', request_id, **TOKENS)
    async with asyncio.timeout(5):
        answer = await fut
    for engine in engines:
        engine.faults.clear()
    assert not answer.whole
    return _versions_of(answer).pop()


def _versions_of(answer: Answer) -> set[str]:
    text = answer.body.decode()
    return {version for version in _VERSIONS if f'@{version}' in text}


async def _resume(
    cluster: Deployment,
    instance: int,
    resumes: str,
    **extra: Any,
) -> Answer:
    headers = {'Last_Event_Id': str(_BROKEN_AFTER), **TOKENS, **extra}
    if resumes:
        headers['Resumes'] = resumes
    caller = cluster.caller(instance)
    return await caller.ask('/stream/x', f'again-{resumes}', **headers)


async def test_stream_taken_up_elsewhere_goes_on_at_its_version() -> None:
    async with deployment(3) as cluster:
        engines = await _add_versions(cluster)
        for number in range(8):
            request_id = f'r{number}'
            version = await _broken_stream(cluster, engines, request_id)
            answer = await _resume(cluster, 1 + number % 2, request_id)
            assert answer.status == 200
            assert _versions_of(answer) == {version}
            assert answer.body.startswith(b'id: 3\n')


async def test_stream_goes_on_though_the_instance_that_began_it_is_lost() -> (
    None
):
    async with deployment(4) as cluster:
        engines = await _add_versions(cluster)
        version = await _broken_stream(cluster, engines, 'r1')
        await cluster.instances[0].close()
        answer = await _resume(cluster, 2, 'r1')
        assert answer.status == 200
        assert _versions_of(answer) == {version}


@pytest.mark.parametrize('resumes', ['', 'never-seen'])
async def test_stream_of_unknown_version_is_refused_and_runs_nowhere(
    resumes: str,
) -> None:
    async with deployment(2) as cluster:
        engines = await _add_versions(cluster)
        answer = await _resume(cluster, 1, resumes)
        assert answer.status == 503
        assert b'stream_unknown' in answer.body
        assert not answer.header('retry-after')
        assert not any(engine.seen for engine in engines)


async def test_stream_of_another_workspace_cannot_be_resumed() -> None:
    async with deployment(2) as cluster:
        other = {'name': 'other', 'api-keys': ['key-9'], 'unit': 'tokens'}
        state = desired(2)
        state['tenants'].append(other)
        await cluster.change(state)
        engines = await _add_versions(cluster)
        await _broken_stream(cluster, engines, 'r1')
        answer = await _resume(cluster, 1, 'r1', key='key-9')
        assert answer.status == 503
        assert b'stream_unknown' in answer.body


@pytest.mark.parametrize('resumes', ['a b', 'a,b', 'x' * 300])
async def test_malformed_resumes_is_a_bad_request(resumes: str) -> None:
    async with deployment(1) as cluster:
        await _add_versions(cluster)
        answer = await _resume(cluster, 0, resumes)
        assert answer.status == 400


async def test_caller_without_an_event_gets_a_new_stream() -> None:
    async with deployment(2) as cluster:
        await _add_versions(cluster)
        headers = {'Resumes': 'brought-nothing', **TOKENS}
        answer = await cluster.caller(1).ask('/stream/x', 'r2', **headers)
        assert answer.status == 200
        assert answer.body.startswith(b'id: 1\n')


async def test_stream_whose_version_is_gone_is_refused_for_good() -> None:
    async with deployment(2) as cluster:
        engines = await _add_versions(cluster)
        version = await _broken_stream(cluster, engines, 'r1')
        for number, other in enumerate(_VERSIONS * 2):
            if other == version:
                cluster.store.remove(f'servers/e-{number}')
        for instance in cluster.instances:
            await until(lambda: instance.usable_upstreams == 2)
        answer = await _resume(cluster, 1, 'r1')
        assert answer.status == 503
        assert b'stream_version_gone' in answer.body
        assert not answer.header('retry-after')


async def test_stream_goes_on_at_its_version_within_one_answer() -> None:
    async with deployment(1) as cluster:
        engines = await _add_versions(cluster)
        await asyncio.sleep(NEW_VERSION_S)
        for engine in engines:
            engine.faults.append(EngineFault.breaks_between)
        engines[0].faults.clear()
        engines[1].faults.clear()
        answers = [
            await cluster.caller().ask('/stream/x', f'r{number}', **TOKENS)
            for number in range(8)
        ]
        assert all(len(_versions_of(answer)) == 1 for answer in answers)
        assert all(answer.whole for answer in answers)


async def test_instance_that_has_just_started_resumes_if_another_proves() -> (
    None
):
    async with deployment(1) as cluster:
        state = desired(2)
        for entry in state['routes']:
            entry['timeout-ms'] = 600
        await cluster.change(state)
        await cluster.add_engine('e-0')
        await cluster.ready()
        await asyncio.sleep(1.5)
        await cluster.add_instance()
        await cluster.ready()
        answer = await _resume(cluster, 1, '')
        assert answer.status == 200
        assert answer.body.startswith(b'id: 3\n')


async def test_caller_that_lacks_only_the_end_of_a_stream_gets_it() -> None:
    async with deployment(2) as cluster:
        engines = await _add_versions(cluster)
        await _broken_stream(cluster, engines, 'r1')
        whole = str(engines[0].events)
        answer = await _resume(cluster, 1, 'r1', Last_Event_Id=whole)
        assert answer.status == 200
        assert answer.whole
        assert not answer.body


async def test_refusal_states_a_time_if_an_instance_did_not_answer() -> None:
    async with deployment(2) as cluster:
        engines = await _add_versions(cluster)
        await cluster.instances[0].close()
        answer = await _resume(cluster, 1, 'begun-elsewhere')
        assert answer.status == 503
        assert b'stream_unknown' in answer.body
        assert float(answer.header('retry-after')) > 0
        assert not any(engine.seen for engine in engines)
