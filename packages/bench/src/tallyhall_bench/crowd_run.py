"""`make crowds`: clients that do not behave, at each listener of an entry.

One entry process with lowered limits, two upstreams and a crowd, a process of
its own, for each form of what clients send. Ordinary requests go on beside it.
This prints the most anonymous memory and descriptors of the process, and how
many of the ordinary requests were served beside the crowd and after it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import sys
from collections.abc import AsyncIterator, Coroutine, Sequence

import msgspec

from .client_crowd import CrowdSpec, Form
from .crowd_forms import Listener, forms_of
from .peer_crowd import PeerCrowdSpec
from .platform_fleet import (
    EntryLimits,
    EntryProcess,
    PlatformFleet,
    platform_fleet,
)
from .platform_load import Caller
from .platform_run import usual_state
from .process_use import anonymous_mb

# Limits of the entry process: memory in MB, as the platform counts them, and
# descriptors. Below those of the smallest machine, so that a small crowd does.
LIMITS = EntryLimits(memory_mb=64, descriptors=300)
# A crowd, and one that has more connections than the process descriptors.
CROWD = 8
MANY = 400
CROWD_S = 4.0
# Another loopback address than that of the instances.
_SOURCE = '127.0.0.2'
_ROUTE = 'safe'
_UPSTREAMS = 2
_SLOTS = 4
_POLL_S = 0.02
_PAUSE_S = 0.5
_WAIT_S = 5.0
# Attempts in a row of an ordinary request after the crowd has left.
_ATTEMPTS_AFTER = 3
_OK = 200
_MB = 1_000_000
_MIB = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """So many clients of one form at a listener."""

    listener: Listener
    form: str
    clients: int


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What was seen of the process and of the ordinary requests.

    peak_mb: anonymous memory at its most, in millions of bytes. descriptors:
    open ones at their most. log_kb: what was logged meanwhile, in kB.
    """

    crowd: Crowd
    peak_mb: float
    descriptors: int
    served: int
    asked: int
    log_kb: float
    is_running: bool
    is_served_after: bool

    @property
    def broken(self) -> bool:
        """Return whether something is seen that must not be."""
        if not (self.is_running and self.is_served_after):
            return True
        if self.peak_mb > LIMITS.memory_mb:
            return True
        return self.descriptors > LIMITS.descriptors

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.crowd.listener:8} {self.crowd.form:20} '
            f'{self.crowd.clients:4} '
            f'{self.peak_mb:6.1f} {self.descriptors:4} '
            f'{self.served:3}/{self.asked:<3} {self.log_kb:7.1f} '
            f'{"yes" if self.is_served_after else "no":3}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'listener form              clients     MB  fds  served  log kB after'


async def play_crowd(
    listener: Listener, form: str, clients: int, seconds: float = CROWD_S
) -> Result:
    """Play one form of clients at one listener."""
    async with _site() as fleet:
        entry = fleet.entries[0]
        spec = crowd_spec(
            entry, listener, forms_of(listener)[form], clients, seconds
        )
        return await _watched(
            entry, run_crowd(spec), Crowd(listener, form, clients)
        )


async def play_peers(peers: int, seconds: float = CROWD_S) -> Result:
    """Play peers that send large batches on many calls each."""
    async with _site() as fleet:
        entry = fleet.entries[0]
        spec = PeerCrowdSpec(entry.peer.port, peers, seconds)
        sending = _run_process(
            'tallyhall_bench.peer_crowd', msgspec.json.encode(spec).decode()
        )
        return await _watched(
            entry, sending, Crowd(Listener.peer, 'large batches', peers)
        )


async def _watched(
    entry: EntryProcess, sending: Coroutine[None, None, None], crowd: Crowd
) -> Result:
    """Return what is seen of a process while a crowd sends."""
    watch = _Watch(entry)
    caller = _Ordinary(entry)
    tasks = [
        asyncio.create_task(watch.run()),
        asyncio.create_task(caller.run()),
    ]
    await sending
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    is_running = entry.process is not None and entry.process.returncode is None
    return Result(
        crowd,
        watch.peak_mb,
        watch.descriptors,
        caller.served,
        caller.asked,
        entry.log.stat().st_size / 1000,
        is_running,
        is_running and await caller.is_served(),
    )


@contextlib.asynccontextmanager
async def _site() -> AsyncIterator[PlatformFleet]:
    async with platform_fleet(0, usual_state()) as fleet:
        for number in range(_UPSTREAMS):
            await fleet.add_engine(f'app-{number}', 'app', _SLOTS)
            await fleet.add_engine(f'engine-{number}', 'engines', _SLOTS)
        await fleet.prepare_entry(limits=LIMITS).start()
        await fleet.until_ready()
        yield fleet


def crowd_spec(
    entry: EntryProcess,
    listener: Listener,
    form: Form,
    clients: int,
    seconds: float,
) -> CrowdSpec:
    """Return a crowd at a listener of an entry process."""
    places = {
        Listener.front: entry.front,
        Listener.locate: entry.locate,
        Listener.ready: entry.ready,
        Listener.metrics: entry.metrics,
        Listener.peer: entry.peer,
        Listener.tunnel: entry.tunnel,
    }
    return CrowdSpec(places[listener].port, clients, seconds, _SOURCE, form)


async def run_crowd(spec: CrowdSpec) -> None:
    """Run a crowd in a process of its own until it ends."""
    await _run_process(
        'tallyhall_bench.client_crowd', msgspec.json.encode(spec).decode()
    )


async def _run_process(module: str, argument: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', module, argument
    )
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()


class _Watch:
    """Reads what a process uses, as long as it runs."""

    def __init__(self, entry: EntryProcess) -> None:
        self.peak_mb: float = 0
        self.descriptors = 0
        self._pid = entry.pid

    async def run(self) -> None:
        folder = pathlib.Path(f'/proc/{self._pid}/fd')
        while True:
            with contextlib.suppress(OSError, StopIteration):
                now_mb = anonymous_mb(self._pid) * _MIB / _MB
                self.peak_mb = max(self.peak_mb, now_mb)
                self.descriptors = max(
                    self.descriptors, len(os.listdir(folder))
                )
            await asyncio.sleep(_POLL_S)


class _Ordinary:
    """A caller that stays within the limits."""

    def __init__(self, entry: EntryProcess) -> None:
        self.asked = 0
        self.served = 0
        self._entry = entry
        self._rng = random.Random(1)

    async def run(self) -> None:
        while True:
            self.asked += 1
            self.served += await self._ask()
            await asyncio.sleep(_PAUSE_S)

    async def is_served(self) -> bool:
        """Return whether a request is served now, as callers try again."""
        for _ in range(_ATTEMPTS_AFTER):
            if await self._ask():
                return True
            await asyncio.sleep(_PAUSE_S)
        return False

    async def _ask(self) -> bool:
        caller = Caller(self._rng, _WAIT_S)
        tried = await caller.ask(
            self._entry.name,
            self._entry.front,
            _ROUTE,
            f'ordinary-{self._rng.random()}',
            streams=False,
        )
        return tried.status == _OK and tried.whole


async def _play_all(
    listeners: Sequence[Listener], forms: Sequence[str], clients: int
) -> int:
    broken = 0
    sys.stdout.write(f'{HEADING}\n')
    for listener in listeners:
        for form in forms_of(listener):
            if forms and form not in forms:
                continue
            count = MANY if form == 'silent' else clients
            result = await play_crowd(listener, form, count)
            broken += result.broken
            sys.stdout.write(f'{result}\n')
            sys.stdout.flush()
    return 1 if broken else 0


def main() -> int:
    """Play and return 1 if something is seen that must not be."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listener', action='append', type=Listener, choices=list(Listener)
    )
    parser.add_argument('--form', action='append', default=[])
    parser.add_argument('--clients', type=int, default=CROWD)
    args = parser.parse_args()
    listeners = args.listener or list(Listener)
    return asyncio.run(_play_all(listeners, args.form, args.clients))


if __name__ == '__main__':
    sys.exit(main())
