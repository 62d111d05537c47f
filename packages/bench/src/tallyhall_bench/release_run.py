"""`make releases`: a version joins while one instance does not hear of it.

Six entry processes and six upstreams of v1. One instance is cut off from the
store and the others, or stands still, while three upstreams of v2 join. Streams
begin at them through the other instances, the upstreams of v2 end, and all
callers take their streams up at the one instance. A row shows how many streams
were taken up, and how many then held events of two versions.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import functools
import random
import signal
import sys
import types
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

from .datagram_link import DatagramLink
from .faulty_link import FaultyLink, LinkFault
from .platform_fleet import (
    EntryProcess,
    PlatformFleet,
    open_link,
    platform_fleet,
)
from .platform_load import under_load
from .platform_run import usual_state
from .plays import add_options, play_chosen
from .versions_run import Play

_OTHERS = 5
_OLD, _NEW = 'v1', 'v2'
_OLD_UPSTREAMS = 6
_NEW_UPSTREAMS = 3
_SERVICE = 'engines'
_ROUTE = 'summary'
_CONTRACTS = ('rollout',)
_ORDER_S = 16
_TIMEOUT_MS = 2000
# A view is evidence once it was complete for twice the timeout of the route.
_WARM_UP_S = 5.0
_PER_S = 24.0
# How long the new version serves before its upstreams end.
_SERVES_S = (0.5, 4.5)
_LAST_S = 2.0
# From the loss of the other instances, which start again after 1 s.
_JOINS_AFTER_S = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of the streams.

    taken_up: those that were taken up at the instance that had not heard of
    the new version. mixed: those that hold events of two versions.
    """

    release: str
    trouble: str
    seed: int
    streams: int
    taken_up: int
    mixed: int

    @property
    def broken(self) -> bool:
        """Return whether a stream went on at another version."""
        return self.mixed > 0

    def __str__(self) -> str:
        """Return a row of the table."""
        return (
            f'{self.release:8} {self.trouble:7} {self.seed:4} '
            f'{self.streams:7} {self.taken_up:8} {self.mixed:5}'
            f'{" BROKEN" if self.broken else ""}'
        )


HEADING = 'release  trouble seed streams taken up mixed'


async def play_release(release: str, trouble: str, seed: int) -> Result:
    """Play one release and return what became of its streams."""
    contracts = _CONTRACTS if release == 'ordered' else ()
    async with platform_fleet(0, _state(), contracts) as fleet:
        play = Play(fleet, random.Random(seed))
        late = await _start(play)
        await asyncio.sleep(_WARM_UP_S)
        play.callers.down = {late.entry.name}
        async with under_load(play.callers.call, play.rng, _PER_S):
            async with _TROUBLES[trouble](late):
                await _release(play, release)
            await asyncio.sleep(_LAST_S)
        late.close()
        return _result(play, release, trouble, seed)


async def _start(play: Play) -> _LateInstance:
    """Start the instances and the upstreams of the old version."""
    late = await _LateInstance.start(play.fleet)
    for _ in range(_OTHERS):
        await play.fleet.add_entry()
    for _ in range(_OLD_UPSTREAMS):
        await play.add(_OLD)
    await play.fleet.until_ready()
    return late


async def _release(play: Play, release: str) -> None:
    """Let the new version join and end; callers then ask the late instance."""
    await _RELEASES[release](play)
    await asyncio.sleep(play.rng.uniform(*_SERVES_S))
    for name in play.of_version(_NEW):
        play.end(name)
    others = play.fleet.entries[1:]
    play.callers.down = {entry.name for entry in others}


def _state() -> dict[str, Any]:
    """Return the desired state, with a short timeout of the route."""
    state = usual_state()
    for route in state['routes']:
        if route['name'] == _ROUTE:
            route['timeout-ms'] = _TIMEOUT_MS
    return state


# -- releases

Release = Callable[[Play], Awaitable[None]]


async def _join(play: Play) -> None:
    """Let upstreams of the new version join."""
    for _ in range(_NEW_UPSTREAMS):
        await play.add(_NEW)


async def _join_by_order(play: Play) -> None:
    """Order the new version, and let its upstreams join."""
    play.fleet.store.put(
        f'op/rollout/{_SERVICE}',
        {'service': _SERVICE, 'target': _NEW, 'duration-s': _ORDER_S},
    )
    await _join(play)


async def _join_as_others_start(play: Play) -> None:
    """Let the new version join while all other instances start again."""
    restart = play.restart(play.fleet.entries[1:])
    await asyncio.gather(restart, _join_later(play))


async def _join_later(play: Play) -> None:
    await asyncio.sleep(_JOINS_AFTER_S)
    await _join(play)


async def _replace(play: Play) -> None:
    """Let the new version join while all upstreams of the old one drain."""
    old = play.of_version(_OLD)
    await _join(play)
    for name in old:
        play.fleet.let_drain(name)


_RELEASES: Mapping[str, Release] = types.MappingProxyType(
    {
        'joined': _join,
        'ordered': _join_by_order,
        'starts': _join_as_others_start,
        'replaced': _replace,
    },
)
RELEASES = tuple(_RELEASES)


# -- troubles


class _LateInstance:
    """The instance that does not hear of the new version, and its links."""

    def __init__(
        self,
        entry: EntryProcess,
        links: tuple[FaultyLink, ...],
        datagrams: DatagramLink,
    ) -> None:
        self.entry = entry
        self._links = links
        self._datagrams = datagrams

    @classmethod
    async def start(cls, fleet: PlatformFleet) -> _LateInstance:
        """Start it, with links to the store and from the other instances."""
        store_link, store_at = await open_link(fleet.store_at)
        entry = fleet.prepare_entry(store_at)
        peer_link, peer_at = await open_link(entry.peer)
        datagrams = DatagramLink(peer_link, entry.peer)
        await datagrams.listen(peer_at)
        fleet.store.on_write = functools.partial(
            _rename, f'"{entry.peer}"'.encode(), f'"{peer_at}"'.encode()
        )
        await entry.start()
        return cls(entry, (store_link, peer_link), datagrams)

    @contextlib.asynccontextmanager
    async def cut_off(self) -> AsyncIterator[None]:
        """Cut it off, for as long as the play lasts."""
        for link in self._links:
            link.fault = LinkFault.unanswered
        yield

    @contextlib.asynccontextmanager
    async def stopped(self) -> AsyncIterator[None]:
        """Let it stand still while the context lasts."""
        self.entry.send(signal.SIGSTOP)
        try:
            yield
        finally:
            self.entry.send(signal.SIGCONT)

    def close(self) -> None:
        """Close the links."""
        self._datagrams.close()
        for link in self._links:
            link.close()


def _rename(peer: bytes, link: bytes, key: str, content: bytes) -> bytes:
    """Have the others find the instance at its link."""
    return content.replace(peer, link)


Trouble = Callable[
    [_LateInstance], contextlib.AbstractAsyncContextManager[None]
]

_TROUBLES: Mapping[str, Trouble] = types.MappingProxyType(
    {'cut': _LateInstance.cut_off, 'stopped': _LateInstance.stopped},
)
TROUBLES = tuple(_TROUBLES)


# -- result


def _result(play: Play, release: str, trouble: str, seed: int) -> Result:
    streams = play.callers.streams
    held = [{play.versions[one] for one in stream.makers} for stream in streams]
    return Result(
        release,
        trouble,
        seed,
        len(streams),
        sum(bool(stream.taken_up) for stream in streams),
        sum(len(versions) > 1 for versions in held),
    )


def main() -> int:
    """Play and return 1 if a stream went on at another version."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--release', action='append', choices=RELEASES)
    parser.add_argument('--trouble', action='append', choices=TROUBLES)
    add_options(parser, at_once=1)
    args = parser.parse_args()
    return play_chosen(
        HEADING,
        play_release,
        args,
        args.release or RELEASES,
        args.trouble or TROUBLES,
    )


if __name__ == '__main__':
    sys.exit(main())
