"""The clock of tests passes only while the loop waits."""

import asyncio
import socket
import time

import pytest

from tests.paused_clock import Outside, PausedLoop, wait_for

_LONG_S = 3600.0
_STALL_S = 0.05


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _leave_connection_open() -> asyncio.StreamWriter:
    server = await asyncio.start_server(
        lambda reader, writer: None, '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    return writer


def test_no_connection_stays_open_when_the_loop_of_a_test_is_closed() -> None:
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        writer = runner.run(_leave_connection_open())
    assert writer.is_closing()


async def _close_connection() -> asyncio.StreamWriter:
    writer = await _leave_connection_open()
    writer.close()
    await writer.wait_closed()
    return writer


def test_loop_of_a_test_closes_beside_connections_that_were_closed() -> None:
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        writer = runner.run(_close_connection())
    assert writer.is_closing()


async def test_a_long_wait_takes_no_real_time() -> None:
    began_at = time.monotonic()
    wakes_at = _now() + _LONG_S
    await asyncio.sleep(_LONG_S)
    assert _now() == pytest.approx(wakes_at)
    assert time.monotonic() - began_at < _LONG_S / 100


@pytest.mark.parametrize('outside', Outside)
async def test_a_stalled_process_sees_little_time_pass(
    outside: Outside,
) -> None:
    wait_for(outside)
    began_at = _now()
    time.sleep(_STALL_S)
    await asyncio.sleep(0)
    assert _now() - began_at < _STALL_S / 2


@pytest.mark.parametrize('outside', [Outside.sockets, Outside.threads])
async def test_constant_load_does_not_stop_the_clock(outside: Outside) -> None:
    wait_for(outside)
    ends_at = _now() + _STALL_S
    while _now() < ends_at:
        await asyncio.sleep(0)


async def test_a_stall_before_a_deadline_expires_no_timeout() -> None:
    async with asyncio.timeout(_STALL_S):
        time.sleep(2 * _STALL_S)
        await asyncio.sleep(_STALL_S / 2)


async def test_timers_fire_in_the_order_of_their_times() -> None:
    fired: list[float] = []
    for delay_s in (0.3, 0.1, 0.2):
        asyncio.get_running_loop().call_later(delay_s, fired.append, delay_s)
    await asyncio.sleep(1)
    assert fired == [0.1, 0.2, 0.3]


async def test_what_is_readable_is_read_before_the_clock_jumps() -> None:
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        began_at = _now()
        reading = asyncio.create_task(loop.sock_recv(near, 1))
        far.send(b'x')
        assert await asyncio.wait_for(reading, _LONG_S) == b'x'
        assert _now() - began_at < 0.01


async def test_the_clock_does_not_outrun_a_thread() -> None:
    wait_for(Outside.threads)
    began_at = _now()
    async with asyncio.timeout(1):
        await asyncio.to_thread(time.sleep, _STALL_S)
    assert _now() - began_at < 2 * _STALL_S


def test_loops_start_at_the_same_time() -> None:
    starts: set[float] = set()
    for _ in range(2):
        loop = PausedLoop()
        starts.add(loop.time())
        loop.close()
    assert len(starts) == 1


async def test_the_wall_clock_passes_with_the_loop() -> None:
    began_at = time.time()
    await asyncio.sleep(_LONG_S)
    assert time.time() - began_at == pytest.approx(_LONG_S)
