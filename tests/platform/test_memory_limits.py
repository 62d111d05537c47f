"""Slow callers and upstreams beside a nearly full memory budget.

An instance that buffers without a limit for slow peers is killed, and all of
its requests are lost. The measures against it must not break a promise: a 503
means that the request has not run, and a response is complete or visibly
incomplete.
"""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.desired import Upstream
from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.connection_memory import CallerMemory, MemoryMonitor
from tallyhall_edge.connections import ConnectionPool
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.memory_budget import Holder, MemoryBudget
from tallyhall_edge.messages import Headers, ResponseHead, find_header
from tallyhall_edge.server import HttpServer
from tallyhall_entry.instance import Instance

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import (
    HOST,
    KEY,
    MODEL,
    PLAIN,
    SITE,
    TOKENS,
    Caller,
    Deployment,
    deployment,
    desired,
    direct_paths,
    logged_deployment,
    patient,
    route,
    until,
)

_MB = 1_000_000
_BUFFER = 262_144
# One read of a response by the event loop.
_READ_BYTES = 262_144
# Largest kernel buffers on both ends of a loopback connection under a budget.
_KERNEL_BYTES = 400_000
_OTHER_KEY = 'key-other'
_LARGE = 2 * _MB


class _Upstream:
    """Answers each request with a body of `size` bytes."""

    def __init__(self, name: str, size: int) -> None:
        self.size = size
        self.seen: list[bytes] = []
        self.go = asyncio.Event()
        self.go.set()
        self.port = free_ports(1)[0]
        self._name = name
        self.server = HttpServer(
            self._respond, _raise, ServerLimits(max_body_bytes=100 * _MB)
        )

    async def _respond(self, exchange: Exchange) -> None:
        request_id = find_header(
            exchange.head.headers, b'x-tallyhall-request-id'
        )
        self.seen.append(request_id or b'')
        await self.go.wait()
        signature = f's.{self._name}'.encode()
        headers: Headers = (
            (b'X-Tallyhall-Response-Signature', signature),
            (b'X-Tallyhall-Request-Id', request_id or b''),
        )
        exchange.answer(200, b'OK', headers, bytes(self.size))


class _Arrivals:
    """Records when requests were received."""

    def __init__(self) -> None:
        self.times: list[float] = []

    async def respond(self, exchange: Exchange) -> None:
        self.times.append(exchange.received_at)
        exchange.answer(200, b'OK', (), b'')


def _raise(exc: Exception) -> None:
    raise exc


class _SlowCaller:
    """A caller with small socket buffers that reads when it is told to."""

    def __init__(self, made: Deployment) -> None:
        self._place = made.options[0].front
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._socket.setblocking(False)  # noqa: FBT003
        self.received = b''
        self.ended = False

    async def ask(self, request_id: str, key: str = KEY) -> None:
        loop = asyncio.get_running_loop()
        place = (self._place.host, self._place.port)
        await loop.sock_connect(self._socket, place)
        lines = (
            'POST /once/x HTTP/1.1',
            f'Host: {SITE}',
            f'X-Tallyhall-Request-Id: {request_id}',
            f'Authorization: Bearer {key}',
            'Content-Length: 5',
        )
        raw = '\r\n'.join((*lines, '', 'hello')).encode()
        await loop.sock_sendall(self._socket, raw)

    async def read(self, pause_s: float = 0) -> None:
        """Read until the response or the connection has ended."""
        loop = asyncio.get_running_loop()
        while not self.is_complete:
            try:
                part = await loop.sock_recv(self._socket, 65_536)
            except ConnectionError:
                part = b''
            if not part:
                break
            self.received += part
            await asyncio.sleep(pause_s)
        self.ended = True

    @property
    def status(self) -> int:
        return int(self.received[9:12] or b'0')

    @property
    def is_complete(self) -> bool:
        """Return whether all bytes of the stated length have arrived."""
        head, found, body = self.received.partition(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if found and line.startswith(b'content-length:'):
                return len(body) == int(line.partition(b':')[2])
        return False

    def close(self) -> None:
        self._socket.close()


def _budget(instance: Instance) -> MemoryBudget:
    monitor = instance.memory.monitor
    assert monitor is not None
    return monitor.budget


def _fill(budget: MemoryBudget, percent: float) -> None:
    """Fill a budget up to this level with something that never ends."""
    budget.add(
        Holder.responses, int(budget.size * percent / 100) - budget.total
    )


@contextlib.asynccontextmanager
async def _limited(
    size: int = 100_000, budget: int = 100_000_000
) -> AsyncIterator[tuple[Deployment, _Upstream, MemoryBudget]]:
    """Start an instance with this budget and one upstream."""
    wait_for(Outside.threads)
    async with deployment(memory_bytes=1) as made:
        state = desired(2)
        state['tenants'].append(
            state['tenants'][0] | {'name': 'other', 'api-keys': [_OTHER_KEY]}
        )
        for known in state['routes']:
            known['timeout-ms'] = 20_000
        await made.change(state)
        upstream = _Upstream('plain-0', size)
        await upstream.server.listen(HOST, upstream.port)
        made.register('plain-0', f'{HOST}:{upstream.port}', PLAIN, slots=100)
        await made.ready()
        held = _budget(made.instances[0])
        held.resize(budget)
        try:
            yield made, upstream, held
        finally:
            upstream.server.close()
            upstream.server.abort_all()


async def test_nothing_is_counted_without_a_limit() -> None:
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        assert made.instances[0].memory.monitor is None
        assert (await made.caller().ask('/once/x', 'r')).status == 200


async def test_the_budget_is_measured_logged_and_exposed(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    limit = 10_000_000_000
    async with logged_deployment(path, memory_bytes=limit) as made:
        budget = _budget(made.instances[0])
        assert 0.3 * limit < budget.size < 0.6 * limit - 30 * _MB
        _fill(budget, 71)
        place = made.options[0].metrics
        answer = await Caller(place).ask(
            '/metrics', 'm', method='GET', body=b''
        )
        lines = answer.body.decode().splitlines()
        held = float(budget.held[Holder.responses])
        gauge = 'tallyhall_memory_bytes{holder="responses"}'
        assert any(
            line.startswith(gauge) and float(line.split()[1]) == held
            for line in lines
        )
        assert (
            'tallyhall_memory_steps_total{step="stop_buffering"} 1.0' in lines
        )
        assert any(
            line.startswith('tallyhall_memory_budget_bytes ') for line in lines
        )
        _fill(budget, 0)
        await until(lambda: path.read_text().count('"memory_step"') == 2)
    records = [json.loads(line) for line in path.read_text().splitlines()]
    changes = [
        (record['before'], record['step'])
        for record in records
        if record['event'] == 'memory_step'
    ]
    assert changes == [
        ('normal', 'stop_buffering'),
        ('stop_buffering', 'normal'),
    ]


async def test_all_that_was_held_is_released() -> None:
    """A count that leaks would refuse all requests after some days."""
    async with _limited(size=300_000) as (made, upstream, budget):
        caller = made.caller()
        for number in range(5):
            answer = await caller.ask('/once/x', f'r{number}', body=b'x' * 9999)
            assert len(answer.body) == 300_000
        leaving = made.caller()
        upstream.go.clear()
        await leaving.start('/once/x', 'left', body=b'x' * 9999)
        await until(lambda: b'left' in upstream.seen)
        assert budget.held[Holder.request_bodies] == 9999
        for conn in (caller.conn, leaving.conn):
            assert conn is not None
            conn.close()
        upstream.server.abort_all()
        await until(lambda: budget.total == 0)
        assert not any(budget.held.values())


async def test_new_connections_are_not_read_at_50_percent() -> None:
    async with _limited() as (made, upstream, budget):
        known = made.caller()
        await known.ask('/once/x', 'known')
        _fill(budget, 50)
        late = await made.caller().start('/once/x', 'new')
        await asyncio.sleep(0.2)
        assert (await known.ask('/once/x', 'known-2')).status == 200
        assert b'new' not in upstream.seen
        _fill(budget, 30)
        assert (await late).status == 200
        assert b'new' in upstream.seen


async def test_a_request_that_waits_unread_is_refused() -> None:
    """It used to wait for as long as the budget was half used."""
    async with _limited() as (made, upstream, budget):
        _fill(budget, 55)
        answer = await made.caller().ask('/once/x', 'new')
        assert answer.status == 503
        assert float(answer.header('retry-after')) > 0
        assert not upstream.seen


async def test_the_time_of_an_unread_request_counts_from_its_arrival() -> None:
    """Counted from its first read, its response would come too late."""
    budget = MemoryBudget(_MB)
    monitor = MemoryMonitor(budget)
    arrivals = _Arrivals()
    server = HttpServer(
        arrivals.respond, _raise, ServerLimits(), memory=monitor
    )
    port = free_ports(1)[0]
    await server.listen(HOST, port)
    _fill(budget, 50)
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    await until(lambda: bool(monitor.paused))
    await asyncio.sleep(0.05)
    arrived_at = asyncio.get_running_loop().time()
    monitor.poll(arrived_at)
    assert budget.held[Holder.received] > 0
    await asyncio.sleep(0.2)
    _fill(budget, 10)
    server.apply_memory_step()
    await until(lambda: bool(arrivals.times))
    assert arrivals.times == [arrived_at]
    writer.close()
    server.close()


async def test_idle_connections_are_not_read_at_70_percent() -> None:
    async with _limited() as (made, upstream, budget):
        idle = made.caller()
        await idle.ask('/once/x', 'r1')
        upstream.go.clear()
        busy = await made.caller().start('/once/x', 'busy')
        await until(lambda: b'busy' in upstream.seen)
        _fill(budget, 75)
        waiting = await idle.start('/once/x', 'r2')
        await asyncio.sleep(0.2)
        assert b'r2' not in upstream.seen
        upstream.go.set()
        assert (await busy).whole
        _fill(budget, 59)
        assert (await waiting).status == 200


async def test_responses_are_not_buffered_at_70_percent() -> None:
    """The caller gets what has arrived, although the rest is missing."""
    async with _limited() as (made, upstream, budget):
        upstream.server.handle_request = _answer_first_part
        for percent, expected in ((60, b''), (75, b'x' * 1000)):
            _fill(budget, 10)
            caller = made.caller()
            await caller.start('/once/x', f'r{percent}')
            await asyncio.sleep(0.1)
            _fill(budget, percent)
            await asyncio.sleep(0.4)
            assert caller.parts == expected


async def test_running_requests_end_and_waiting_ones_are_refused() -> None:
    """At 85% the least urgent are refused; none of those that run."""
    async with _limited() as (made, _, budget):
        engine = await made.add_engine('engine-0', first_s=0.5)
        later = route('later', kind='streaming', service=MODEL, priority=2)
        state = patient(3)
        state['routes'].append(later | {'slo-ms': 5000})
        await made.change(state)
        await until(lambda: made.instances[0].usable_upstreams == 2)
        running = [
            await made.caller().start('/later/x', f'r{number}', **TOKENS)
            for number in range(4)
        ]
        await until(lambda: engine.running == 4)
        urgent = await made.caller().start('/stream/x', 'urgent', **TOKENS)
        waiting = await made.caller().start('/later/x', 'waiting', **TOKENS)
        await asyncio.sleep(0.1)
        _fill(budget, 86)
        refused = await waiting
        assert (refused.status, refused.whole) == (503, True)
        assert float(refused.header('retry-after')) > 0
        answers = await asyncio.gather(*running, urgent)
        assert {answer.status for answer in answers} == {200}
        assert all(answer.whole for answer in answers)
        assert 'waiting' not in {seen.request_id for seen in engine.seen}


@pytest.mark.parametrize(
    ('percent', 'status'), [(69, 200), (72, 503), (96, 503)]
)
async def test_a_request_is_served_or_refused_in_time(
    percent: float, status: int
) -> None:
    """Requests that arrive at 70% are not read; they are refused in time."""
    async with _limited() as (made, upstream, budget):
        caller = made.caller()
        await caller.ask('/once/x', 'r1')
        asked = await caller.start('/once/x', 'r2', body=b'')
        _fill(budget, percent)
        async with asyncio.timeout(2):
            assert (await asked).status == status
        assert (b'r2' in upstream.seen) == (status == 200)


async def test_a_slow_caller_does_not_hold_its_upstream() -> None:
    """An upstream cuts off a response that stays unread for some seconds."""
    async with _limited(size=_BUFFER) as (made, upstream, budget):
        caller = _SlowCaller(made)
        await caller.ask('slow')
        await until(lambda: budget.held[Holder.caller_writes] > 0)
        await until(lambda: not upstream.server.busy_connections)
        await caller.read()
        assert caller.is_complete
        await until(lambda: budget.held[Holder.caller_writes] == 0)
        caller.close()


async def test_the_buffer_of_a_slow_caller_is_bounded() -> None:
    async with _limited(size=20 * _MB) as (made, upstream, budget):
        caller = _SlowCaller(made)
        await caller.ask('slow')
        await until(lambda: budget.held[Holder.caller_writes] > _BUFFER)
        await asyncio.sleep(0.5)
        held = budget.held[Holder.caller_writes]
        assert held < _BUFFER + _READ_BYTES + _KERNEL_BYTES
        assert upstream.server.busy_connections == 1
        await caller.read()
        assert caller.is_complete
        caller.close()


async def test_a_stalled_caller_is_closed_beside_one_that_reads() -> None:
    """At 95% the caller that reads nothing goes; the other gets all."""
    async with _limited(size=6 * _MB) as (made, _, budget):
        stalled = _SlowCaller(made)
        await stalled.ask('stalled')
        await until(lambda: len(_unread(made)) == 1)
        held = _unread(made)[0]
        reading = _SlowCaller(made)
        await reading.ask('reading')
        task = asyncio.create_task(reading.read(0.02))
        await until(lambda: len(_unread(made)) == 2)
        _fill(budget, 96)
        await until(lambda: held not in _unread(made), 4)
        await stalled.read()
        assert stalled.status == 200
        assert not stalled.is_complete
        _fill(budget, 10)
        async with asyncio.timeout(20):
            await task
        assert reading.is_complete


async def test_nobody_is_closed_below_95_percent() -> None:
    async with _limited(size=_LARGE) as (made, _, budget):
        stalled = _SlowCaller(made)
        await stalled.ask('stalled')
        await until(lambda: len(_unread(made)) == 1)
        _fill(budget, 94)
        await asyncio.sleep(2.8)
        _fill(budget, 50)
        await stalled.read()
        assert stalled.is_complete


async def test_slow_callers_of_one_workspace_hold_half_at_most() -> None:
    """Callers of other workspaces are served as if there were none."""
    async with _limited(_LARGE, 10 * _MB) as (made, upstream, budget):
        slow = [_SlowCaller(made) for _ in range(20)]
        statuses = []
        for number, caller in enumerate(slow):
            await caller.ask(f's{number}')
            await asyncio.sleep(0.05)
            upstream.size = 1000
            other = made.caller()
            answer = await other.ask('/once/x', 'o', key=_OTHER_KEY)
            assert other.conn is not None
            other.conn.close()
            upstream.size = _LARGE
            statuses.append(answer.status)
            assert budget.unread_bytes('shop') <= budget.size / 2
        assert set(statuses) == {200}
        assert budget.unread_bytes('shop') > 0.25 * budget.size
        refused = await made.caller().ask('/once/x', 'again')
        assert refused.status == 503
        async with asyncio.timeout(10):
            await asyncio.gather(*(one.read() for one in slow))
        assert _statuses(slow) == {200, 503}
        assert (await made.caller().ask('/once/x', 'last')).status == 200


async def test_an_upstream_that_does_not_read_is_closed() -> None:
    """The request may have run: it is not sent again, and not refused."""
    async with _limited() as (made, _, budget):
        await made.change(desired(3) | {'limits': _large_bodies()})
        made.store.remove('servers/plain-0')
        port = free_ports(1)[0]
        opened: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(
            lambda _, writer: opened.append(writer), HOST, port, limit=1
        )
        made.register('deaf', f'{HOST}:{port}', PLAIN)
        known = {f'{HOST}:{port}'}
        await until(
            lambda: (
                {
                    f'{one.host}:{one.port}'
                    for one in made.instances[0].upstreams
                }
                == known
            )
        )
        asked = await made.caller().start('/once/x', 'r', body=bytes(9 * _MB))
        await until(lambda: budget.held[Holder.upstream_writes] > 0)
        # Only a part of the body is copied for the upstream.
        assert budget.held[Holder.upstream_writes] < _MB
        monitor = made.instances[0].memory.monitor
        assert monitor is not None
        loop = asyncio.get_running_loop()
        monitor.poll(loop.time() + 4.5)
        await asyncio.sleep(0)
        assert not asked.done()
        monitor.poll(loop.time() + 6)
        answer = await asked
        assert answer.status == 502
        assert len(opened) == 1
        assert budget.held[Holder.upstream_writes] == 0
        server.close()


@pytest.mark.parametrize('seed', range(3))
async def test_responses_are_complete_or_visibly_incomplete(seed: int) -> None:
    """Callers of any pace beside a budget that is exceeded at times.

    Only callers that read nothing may be closed, and none of the requests runs
    twice or after it was refused.
    """
    rng = random.Random(seed)
    async with _limited(600_000, 5 * _MB) as (made, upstream, budget):
        callers = [_SlowCaller(made) for _ in range(30)]
        stalled = callers[::5]
        tasks = []
        for number, caller in enumerate(callers):
            await caller.ask(f'r{number}', rng.choice((KEY, _OTHER_KEY)))
            if caller not in stalled:
                pause_s = rng.choice((0, 0.005, 0.02))
                tasks.append(asyncio.create_task(caller.read(pause_s)))
            if number > 3 and rng.random() < 0.2:
                _fill(budget, rng.choice((20, 60, 75, 90, 97)))
            await asyncio.sleep(0.02)
        for _ in range(15):
            _fill(budget, 97)
            await asyncio.sleep(0.2)
        _fill(budget, 20)
        tasks.extend(asyncio.create_task(one.read()) for one in stalled)
        async with asyncio.timeout(20):
            await asyncio.gather(*tasks)
        cut = [one for one in callers if not one.is_complete]
        assert cut
        assert all(one in stalled and one.ended for one in cut)
        assert len(set(upstream.seen)) == len(upstream.seen)
        assert _ids(callers, 200) <= set(upstream.seen)
        assert not _ids(callers, 503) & set(upstream.seen)


def _ids(callers: list[_SlowCaller], status: int) -> set[bytes]:
    """Return the ids of the requests that got this status."""
    return {
        f'r{number}'.encode()
        for number, caller in enumerate(callers)
        if caller.status == status
    }


async def test_a_connection_that_was_paused_at_its_end_is_reused() -> None:
    """A connection kept while paused used to never read its next response."""
    upstream = _Upstream('plain-0', 1000)
    await upstream.server.listen(HOST, upstream.port)
    budget = MemoryBudget(_MB)
    pool = ConnectionPool(direct_paths(MemoryMonitor(budget)))
    known = Upstream(
        'plain-0', PLAIN, HOST, upstream.port, 'a', 4, leaving=False
    )
    for _ in range(2):
        conn = await pool.acquire(known, 10)
        sink = _Sink()
        conn.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', sink, b'')
        async with asyncio.timeout(1):
            await sink.done.wait()
        conn.pause()
        pool.release(known, conn)
    assert upstream.server.open_connections == 1
    upstream.server.close()


class _Sink:
    def __init__(self) -> None:
        self.done = asyncio.Event()

    def on_head(self, head: ResponseHead) -> None:
        """Ignore the head."""

    def on_data(self, payload: bytes) -> None:
        """Ignore the body."""

    def on_end(self, exc: Exception | None) -> None:
        self.done.set()


def _statuses(callers: list[_SlowCaller]) -> set[int]:
    assert all(one.is_complete for one in callers)
    return {one.status for one in callers}


async def _answer_first_part(exchange: Exchange) -> None:
    headers = ((b'X-Tallyhall-Response-Signature', b's.plain-0'),)
    await asyncio.sleep(0.3)
    exchange.start(200, b'OK', headers, 2000)
    exchange.write(b'x' * 1000)
    await asyncio.sleep(5)


def _unread(made: Deployment) -> list[CallerMemory]:
    monitor = made.instances[0].memory.monitor
    assert monitor is not None
    return [
        memory
        for memory in monitor.unread.values()
        if isinstance(memory, CallerMemory)
    ]


def _large_bodies() -> dict[str, Any]:
    limits: dict[str, Any] = desired(1)['limits']
    return limits | {'max-body-bytes': 10 * _MB}
