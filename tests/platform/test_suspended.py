"""An instance that was suspended knows that time went on.

A machine may be suspended for seconds: its processes stand still, and its
steady clock with them; only the clock since boot and the time of day go on.
An instance that wakes takes what was confirmed before for fresh, and lets in
requests whose API keys were taken away meanwhile.

Evidence: none from a play, as no day of ours suspends a machine. With the clock
since boot ten seconds further on and the store silent, a request with a key is
answered 200 where no confirmation is known that is less than 3.7 s old.

Cause: all ages are taken on the loop's clock, which was the steady one.
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
_BOOT = time.CLOCK_BOOTTIME
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
Work = Callable[..., Awaitable[int]]


def _run_as_entry(
    work: Work,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run something where the entry process would run its instance."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(_SETTINGS))
    monkeypatch.setenv('TALLYHALL_CONFIG', str(path))
    monkeypatch.setattr(entry, '_serve', work)
    monkeypatch.setattr(entry, 'setup_logging', lambda *_: None)
    with pytest.raises(SystemExit) as ended:
        entry.main()
    assert ended.value.code == 0


def _suspend(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the clock since boot go on as in a suspension."""
    monkeypatch.setattr(
        time,
        'clock_gettime',
        functools.partial(_ahead, time.clock_gettime),
    )


def _ahead(read: Callable[[int], float], clock: int) -> float:
    return read(clock) + (_SUSPENDED_S if clock == _BOOT else 0)


async def _wake_timers(monkeypatch: pytest.MonkeyPatch, *_: object) -> int:
    loop = asyncio.get_running_loop()
    due = asyncio.Event()
    loop.call_later(_SUSPENDED_S / 2, due.set)
    before = loop.time()
    _suspend(monkeypatch)
    assert loop.time() - before >= _SUSPENDED_S
    # What became due meanwhile is done at once.
    async with asyncio.timeout(_SUSPENDED_S / 2):
        await due.wait()
    return 0


async def _wake_instance(monkeypatch: pytest.MonkeyPatch, *_: object) -> int:
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        assert (await made.caller().ask('/safe/x', 'r1')).status == 200
        made.store.fault = StoreFault.silent
        _suspend(monkeypatch)
        answer = await made.caller().ask('/safe/x', 'r2')
        assert answer.status == 503
    return 0


def test_the_loop_counts_the_time_of_a_suspension(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    work = functools.partial(_wake_timers, monkeypatch)
    _run_as_entry(work, tmp_path, monkeypatch)


def test_no_key_is_taken_for_fresh_after_a_suspension(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    work = functools.partial(_wake_instance, monkeypatch)
    _run_as_entry(work, tmp_path, monkeypatch)
