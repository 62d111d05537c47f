"""`make start-cost`: what a start of the entry process costs.

Processor time to the first served request, measured against what the same
process spent on the bare interpreter with asyncio before, and against another
checkout where one is given; peak memory; what is imported, by package. Medians
of all runs.

Processes that run at the same time on one core slow each other by half, so the
two are compared within a process: with another one as the measure, the ratio
went from 3.4 to 4.2 on one machine, single ones from 2.3 to 5.2.
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
import tempfile
from collections.abc import Sequence

from .platform_fleet import EntryProcess, PlatformFleet, platform_fleet
from .platform_load import Caller
from .platform_run import usual_state
from .process_use import peak_mb

ROOT = pathlib.Path(__file__).resolve().parents[4]
_RUNS = 10
# As deploy/system.toml starts it: without the machine's own packages.
INTERPRETER = (sys.executable, '-S')
# Tells what is spent once asyncio is there, then starts what the command names.
_TIMED = """
import asyncio, pathlib, runpy, sys, time
pathlib.Path(sys.argv[1]).write_text(str(time.process_time()))
sys.argv = sys.argv[2:]
runpy.run_path(sys.argv[0], run_name='__main__')
"""
_STARTING_S = 20.0
_LOOK_S = 0.002
# The streams to other instances are ready by then.
_SETTLED_S = 1.0
_NANO = 1_000_000_000
_OK = 200
_MOST_PACKAGES = 14


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One start: processor time in seconds, peak memory in megabytes.

    bare_s: until asyncio is imported. first_s: until the first request is
    served. settled_s: a second later.
    """

    bare_s: float
    first_s: float
    settled_s: float
    first_mb: float
    settled_mb: float

    @property
    def first_ratio(self) -> float:
        """Return what the first answer costs, in interpreters."""
        return self.first_s / self.bare_s

    @property
    def settled_ratio(self) -> float:
        """Return what all of a start costs, in interpreters."""
        return self.settled_s / self.bare_s


Starts = dict[pathlib.Path, list[Start]]


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=_RUNS)
    parser.add_argument('--old', type=pathlib.Path, help='another checkout')
    args = parser.parse_args()
    roots = [ROOT] if args.old is None else [ROOT, args.old]
    starts = asyncio.run(measure(roots, args.runs))
    for root in roots:
        _print_starts(root, starts[root])
    for package, spent_s in imported().most_common(_MOST_PACKAGES):
        sys.stdout.write(f'  import of {package}: {spent_s * 1000:.1f} ms\n')
    return 0


async def measure(roots: Sequence[pathlib.Path], runs: int) -> Starts:
    """Return starts by root, which take turns."""
    starts: Starts = {root: [] for root in roots}
    with tempfile.TemporaryDirectory() as folder:
        programs = {
            root: _built(root, pathlib.Path(folder, str(number)))
            for number, root in enumerate(roots)
        }
        async with platform_fleet(0, usual_state()) as fleet:
            await fleet.add_engine('app-0', 'app', 8)
            for _ in range(runs):
                for root in roots:
                    start = await _start(fleet, root, programs[root])
                    starts[root].append(start)
    return starts


def _built(root: pathlib.Path, target: pathlib.Path) -> tuple[str, ...]:
    """Return the program as it is deployed; sources where nothing builds."""
    program = str(root / 'deploy' / 'entry.py')
    if not (root / 'deploy' / 'build.sh').exists():
        return (program,)
    subprocess.run(
        ('sh', 'deploy/build.sh', str(target)),
        cwd=root,
        env=os.environ | {'PYTHON': sys.executable},
        check=True,
    )
    return program, str(target / 'app')


async def _start(
    fleet: PlatformFleet,
    root: pathlib.Path,
    program: Sequence[str],
) -> Start:
    entry = fleet.prepare_entry()
    spent = entry.settings.with_suffix('.spent')
    await entry.start(
        (*INTERPRETER, '-c', _TIMED, str(spent), *program),
        PYTHONPATH=library(root),
    )
    pid = entry.pid
    caller = Caller(random.Random(1))
    try:
        async with asyncio.timeout(_STARTING_S):
            while not await _is_served(caller, entry):
                await asyncio.sleep(_LOOK_S)
        first = _spent_s(pid), peak_mb(pid)
        await asyncio.sleep(_SETTLED_S)
        settled = _spent_s(pid), peak_mb(pid)
    finally:
        entry.send(signal.SIGKILL)
        await entry.wait()
    bare_s = float(spent.read_text())
    return Start(bare_s, first[0], settled[0], first[1], settled[1])


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


async def start_entry(entry: EntryProcess, root: pathlib.Path) -> None:
    """Start an entry process from a checkout, as deploy/system.toml does."""
    await entry.start(
        (*INTERPRETER, str(root / 'deploy' / 'entry.py')),
        PYTHONPATH=library(root),
    )


def _spent_s(pid: int) -> float:
    """Return the processor time of all threads."""
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(task.read_text().split()[0]) for task in tasks) / _NANO


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


def _print_starts(root: pathlib.Path, starts: Sequence[Start]) -> None:
    bare_s = statistics.median(start.bare_s for start in starts)
    first_s = statistics.median(start.first_s for start in starts)
    first_ratio = statistics.median(start.first_ratio for start in starts)
    settled_s = statistics.median(start.settled_s for start in starts)
    settled_ratio = statistics.median(start.settled_ratio for start in starts)
    first_mb = statistics.median(start.first_mb for start in starts)
    settled_mb = statistics.median(start.settled_mb for start in starts)
    sys.stdout.write(
        f'{root.name}: interpreter with asyncio {bare_s:.3f} s of processor'
        f' time; first answer {first_s:.3f} s ({first_ratio:.2f} times that),'
        f' {first_mb:.1f} MB; a second later {settled_s:.3f} s'
        f' ({settled_ratio:.2f}), {settled_mb:.1f} MB\n',
    )


if __name__ == '__main__':
    sys.exit(main())
