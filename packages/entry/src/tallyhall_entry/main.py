"""Entry point of the process: settings, event loop and signal handlers."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import pathlib
import random
import signal
import sys
import time

from tallyhall_core.events import Event
from tallyhall_dispatch.options import Options
from tallyhall_platform.errors import SettingsError
from tallyhall_platform.settings import SETTINGS_VARIABLE, load_options

from .clock import BoottimeEventLoop
from .instance import Instance
from .logs import BoundedStream, setup_logging

_EXIT_SETTINGS = 2
# Poll interval for changes of the settings file without a signal; each poll is
# one system call.
_SETTINGS_POLL_S = 2.0


def main() -> None:
    """Run an entry instance until it receives a stop signal."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        options = load_options(path)
    except SettingsError as exc:
        sys.stderr.write(f'tallyhall: {exc}\n')
        sys.exit(_EXIT_SETTINGS)
    stream = setup_logging(
        options.instance,
        time.monotonic,
        sys.stdout.fileno(),
    )
    # Objects that exist now live as long as the process. Excluding them from
    # garbage collection keeps its pauses short.
    gc.freeze()
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        sys.exit(runner.run(_serve(path, options, stream)))


async def _serve(
    path: pathlib.Path,
    options: Options,
    stream: BoundedStream,
) -> int:
    instance = Instance(options, stream, random.Random())
    stop = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    try:
        await instance.start()
    except OSError as exc:
        sys.stderr.write(f'tallyhall: cannot listen on an address: {exc}\n')
        return _EXIT_SETTINGS
    watcher = asyncio.create_task(_watch_settings(path, instance, changed))
    await stop.wait()
    watcher.cancel()
    await instance.stop()
    return 0


async def _watch_settings(
    path: pathlib.Path,
    instance: Instance,
    changed: asyncio.Event,
) -> None:
    """Reload the settings after a signal or a change of the file."""
    modified = _modification_time(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SETTINGS_POLL_S):
                await changed.wait()
        latest = _modification_time(path)
        if latest == modified and not changed.is_set():
            continue
        modified = latest
        changed.clear()
        try:
            instance.reload(load_options(path))
        except SettingsError as exc:
            instance.log.event(Event.settings_rejected, cause=str(exc))


def _modification_time(path: pathlib.Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        # The file is being replaced; the next poll sees the new one.
        return 0
