"""An instance accounts for the time during which its machine was suspended.

During a suspension processes stop, and CLOCK_MONOTONIC stops with them; only
CLOCK_BOOTTIME and the time of day go on. All ages are measured on the clock of
the event loop, which used to be CLOCK_MONOTONIC, so that a resumed instance
took old confirmations for fresh and accepted API keys revoked meanwhile: with
CLOCK_BOOTTIME ten seconds ahead and a silent store a request got a 200,
although the last confirmation was older than the bound of 3.7 s.

Suspension is simulated here; no test suspends a real machine.
"""

import asyncio
import functools
import json
import pathlib
import time
from collections.abc import Awaitable, Callable

import pytest
from tallyhall_entry import main as entry
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import PLAIN, deployment

_SUSPENDED_S = 10
_BOOT_CLOCK = time.CLOCK_BOOTTIME
_SETTINGS = {  # noqa: WPS407
    'node': 'entry-1',
    'zone': 'a',
    'ip': '127.0.0.1',
    'listen': {
        'front': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'directory': '127.0.0.1:3',
    },
    'port-range': [4, 9],
    'platform': {'address': '127.0.0.1:10'},
}
Serve = Callable[..., Awaitable[int]]


def _run_as_entry(
    serve: Serve,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run a coroutine function in place of the instance of the process."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(_SETTINGS))
    monkeypatch.setenv('TALLYHALL_CONFIG', str(path))
    monkeypatch.setattr(entry, '_serve', serve)
    monkeypatch.setattr(entry, 'setup_logging', lambda *_: None)
    with pytest.raises(SystemExit) as exit_info:
        entry.main()
    assert exit_info.value.code == 0


def _suspend(monkeypatch: pytest.MonkeyPatch) -> None:
    """Advance CLOCK_BOOTTIME as a suspension does."""
    monkeypatch.setattr(
        time,
        'clock_gettime',
        functools.partial(_read_advanced, time.clock_gettime),
    )


def _read_advanced(read: Callable[[int], float], clock: int) -> float:
    return read(clock) + (_SUSPENDED_S if clock == _BOOT_CLOCK else 0)


async def _check_timers_after_resume(
    monkeypatch: pytest.MonkeyPatch, *_: object
) -> int:
    loop = asyncio.get_running_loop()
    due = asyncio.Event()
    loop.call_later(_SUSPENDED_S / 2, due.set)
    before = loop.time()
    _suspend(monkeypatch)
    assert loop.time() - before >= _SUSPENDED_S
    # Timers that expired during the suspension run at once.
    async with asyncio.timeout(_SUSPENDED_S / 2):
        await due.wait()
    return 0


async def _check_keys_after_resume(
    monkeypatch: pytest.MonkeyPatch, *_: object
) -> int:
    async with deployment() as cluster:
        await cluster.add_engine('plain-0', PLAIN)
        await cluster.ready()
        assert (await cluster.caller().ask('/safe/x', 'r1')).status == 200
        cluster.store.fault = StoreFault.silent
        _suspend(monkeypatch)
        answer = await cluster.caller().ask('/safe/x', 'r2')
        assert answer.status == 503
    return 0


def test_loop_time_includes_a_suspension(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    serve = functools.partial(_check_timers_after_resume, monkeypatch)
    _run_as_entry(serve, tmp_path, monkeypatch)


def test_keys_are_stale_after_a_suspension(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    serve = functools.partial(_check_keys_after_resume, monkeypatch)
    _run_as_entry(serve, tmp_path, monkeypatch)
