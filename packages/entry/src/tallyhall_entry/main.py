"""The entry process: settings, loop, signals."""

from __future__ import annotations

import asyncio
import gc
import os
import pathlib
import random
import signal
import sys
import time

from tallyhall_dispatch.options import Options
from tallyhall_platform.errors import SettingsError
from tallyhall_platform.settings import load_options

from .instance import Instance
from .logs import BoundedStream, setup_logging

# The platform names the settings file in this variable.
_SETTINGS_VARIABLE = 'TALLYHALL_CONFIG'
_EXIT_SETTINGS = 2


def main() -> None:
    """Run an entry instance until it is told to stop."""
    path = pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ''))
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
    # What exists now lives as long as the process; not to look at it again
    # keeps the collector's pauses short.
    gc.freeze()
    sys.exit(asyncio.run(_serve(options, stream)))


async def _serve(options: Options, stream: BoundedStream) -> int:
    instance = Instance(options, stream, random.Random())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    try:
        await instance.start()
    except OSError as exc:
        sys.stderr.write(f'tallyhall: an address cannot be opened: {exc}\n')
        return _EXIT_SETTINGS
    await stop.wait()
    await instance.stop()
    return 0
