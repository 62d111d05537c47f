"""`make start-cost`: what a start of the entry process costs.

Processor time to the first served request, measured against the bare
interpreter with asyncio in the same run, and against another checkout where
one is given; peak memory; what is imported, by package. Medians of all runs.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import sysconfig
from collections.abc import Sequence

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import Caller
from .platform_run import usual_state

ROOT = pathlib.Path(__file__).resolve().parents[4]
_RUNS = 10
# As deploy/system.toml starts it: without the machine's own packages.
INTERPRETER = (sys.executable, '-S')
_BARE = (*INTERPRETER, '-c', 'import asyncio')
_STARTING_S = 20.0
_LOOK_S = 0.002
# The streams to other instances are ready by then.
_SETTLED_S = 1.0
_NANO = 1_000_000_000
_KILO = 1024
_OK = 200
_MOST_PACKAGES = 14


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One start: processor time in seconds, peak memory in megabytes.

    first_s: until the first request is served. settled_s: a second later.
    """

    first_s: float
    settled_s: float
    first_mb: float
    settled_mb: float


Starts = dict[pathlib.Path, list[Start]]


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=_RUNS)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    args = parser.parse_args()
    roots = [ROOT] if args.old is None else [ROOT, args.old]
    bare, starts = asyncio.run(measure(roots, args.runs))
    bare_s = statistics.median(bare)
    sys.stdout.write(f'interpreter with asyncio: {bare_s:.3f} s\n')
    for root in roots:
        _print_starts(root, starts[root], bare_s)
    for package, spent_s in imported().most_common(_MOST_PACKAGES):
        sys.stdout.write(f'  import of {package}: {spent_s * 1000:.1f} ms\n')
    return 0


async def measure(
    roots: Sequence[pathlib.Path],
    runs: int,
) -> tuple[list[float], Starts]:
    """Return processor times of the bare interpreter, and starts by root.

    All in turns, so that a busy machine is busy for each.
    """
    bare = []
    starts: Starts = {root: [] for root in roots}
    async with platform_fleet(0, usual_state()) as fleet:
        await fleet.add_engine('app-0', 'app', 8)
        for _ in range(runs):
            bare.append(await asyncio.to_thread(_bare_s))
            for root in roots:
                starts[root].append(await _start(fleet, root))
    return bare, starts


async def _start(fleet: PlatformFleet, root: pathlib.Path) -> Start:
    entry = fleet.prepare_entry()
    await entry.start(
        (*INTERPRETER, str(root / 'deploy' / 'entry.py')),
        PYTHONPATH=library(root),
    )
    pid = _pid(entry)
    caller = Caller(random.Random(1))
    try:
        async with asyncio.timeout(_STARTING_S):
            while not await _is_served(caller, entry):
                await asyncio.sleep(_LOOK_S)
        first = _spent_s(pid), _peak_mb(pid)
        await asyncio.sleep(_SETTLED_S)
        settled = _spent_s(pid), _peak_mb(pid)
    finally:
        entry.send(signal.SIGKILL)
        await entry.wait()
    return Start(first[0], settled[0], first[1], settled[1])


async def _is_served(caller: Caller, entry: EntryProcess) -> bool:
    tried = await caller.ask(
        entry.name,
        entry.front,
        'safe',
        'first',
        streams=False,
    )
    return tried.status == _OK


def library(root: pathlib.Path) -> str:
    """Return where a checkout's libraries are: built, or this run's own."""
    built = root / 'target' / 'deps'
    return str(built) if built.exists() else sysconfig.get_path('purelib')


def _bare_s() -> float:
    process = subprocess.Popen(_BARE)
    _, _, used = os.wait4(process.pid, 0)
    process.returncode = 0
    return used.ru_utime + used.ru_stime


def _pid(entry: EntryProcess) -> int:
    if entry.process is None:
        raise RuntimeError(f'{entry.name} is not started')
    return entry.process.pid


def _spent_s(pid: int) -> float:
    """Return the processor time of all threads."""
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(task.read_text().split()[0]) for task in tasks) / _NANO


def _peak_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(row for row in text.splitlines() if row.startswith('VmHWM'))
    return int(line.split()[1]) / _KILO


def imported() -> collections.Counter[str]:
    """Return the time in the import of each package, in seconds.

    Without what it imports itself; slower than a start by the cost of telling.
    """
    code = (
        'import sys, runpy;'
        f'sys.argv = [{str(ROOT / "deploy" / "entry.py")!r}];'
        "runpy.run_path(sys.argv[0], run_name='imports')"
    )
    told = subprocess.run(
        (*INTERPRETER, '-X', 'importtime', '-c', code),
        env=os.environ | {'PYTHONPATH': library(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    spent: collections.Counter[str] = collections.Counter()
    for line in told.stderr.splitlines():
        parts = line.removeprefix('import time:').split('|')
        if len(parts) == 3 and parts[0].strip().isdigit():
            package = parts[2].strip().partition('.')[0]
            spent[package] += int(parts[0])
    return collections.Counter(
        {package: micros / 1_000_000 for package, micros in spent.items()},
    )


def _print_starts(
    root: pathlib.Path,
    starts: Sequence[Start],
    bare_s: float,
) -> None:
    first_s = statistics.median(start.first_s for start in starts)
    settled_s = statistics.median(start.settled_s for start in starts)
    first_mb = statistics.median(start.first_mb for start in starts)
    settled_mb = statistics.median(start.settled_mb for start in starts)
    sys.stdout.write(
        f'{root.name}: first answer after {first_s:.3f} s of processor time'
        f' ({first_s / bare_s:.2f} of the interpreter), {first_mb:.1f} MB;'
        f' a second later {settled_s:.3f} s, {settled_mb:.1f} MB\n',
    )


if __name__ == '__main__':
    sys.exit(main())
