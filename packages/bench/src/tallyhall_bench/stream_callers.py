"""Callers of streams that take them up at other instances when they break.

Each event of the stand-ins tells which upstream made it, so that a stream with
events of two software versions shows.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import re
from collections.abc import Callable, Collection, Sequence

from tallyhall_edge.messages import Headers

from .platform_fleet import EntryProcess
from .platform_load import Caller, Resume, Tried

_EVENT = re.compile(rb'id: (\d+)\ndata: t\d+@(\S+)\n\n')
# Tries of one caller, the first included, and how long it goes on trying.
_MAX_TRIES = 6
_PATIENCE_S = 6.0
# A caller that was told no time comes back after this long.
_PAUSE_S = 0.1
# How often callers look whether an instance is up again, in seconds.
_LOOK_S = 0.05
_OK = 200
_CANNOT_GO_ON = 503


@dataclasses.dataclass(frozen=True, slots=True)
class TakeUp:
    """A stream that was taken up after it broke.

    possible: whether two upstreams of its version served all the while.
    """

    went_on: bool
    possible: bool


@dataclasses.dataclass(slots=True)
class Stream:
    """One stream over all tries of its caller."""

    request_id: str
    at: float
    # The upstream of each event, in the order of the events.
    makers: list[str] = dataclasses.field(default_factory=list)
    # The try that brought the first event.
    first_id: str = ''
    whole: bool = False
    # Whether the first try has ended.
    tried: bool = False
    taken_up: list[TakeUp] = dataclasses.field(default_factory=list)

    @property
    def began(self) -> bool:
        """Return whether the first try brought an event."""
        return self.first_id == self.request_id

    def add(self, tried: Tried) -> bool:
        """Add the events of a try; return whether there were any."""
        makers = [maker.decode() for _, maker in _EVENT.findall(tried.body)]
        if makers and not self.makers:
            self.first_id = tried.request_id
        self.makers.extend(makers)
        self.whole = tried.whole and tried.status == _OK
        return bool(makers)


# Returns the upstreams that serve now, of the version of an upstream.
Peers = Callable[[str], Collection[str]]


class StreamCallers:
    """Callers of one route; each has one stream."""

    def __init__(
        self,
        entries: Sequence[EntryProcess],
        rng: random.Random,
        route: str,
        serving_with: Peers,
    ) -> None:
        """Call instances that are up, drawn at random.

        serving_with: returns the upstreams that serve now and have the version
        of an upstream.
        """
        self.streams: list[Stream] = []
        # The instances that are down.
        self.down: set[str] = set()
        self._entries = entries
        self._rng = rng
        self._route = route
        self._serving_with = serving_with
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)

    async def call(self) -> None:
        """Ask for one stream, and take it up while it breaks."""
        stream = Stream(self._next_id(), self._loop.time())
        self.streams.append(stream)
        last = await self._try(stream, stream.request_id, None, ())
        stream.tried = True
        stream.add(last)
        ends_at = self._loop.time() + _PATIENCE_S
        for _ in range(_MAX_TRIES - 1):
            if stream.whole or not stream.makers:
                return
            if self._loop.time() > ends_at:
                return
            last = await self._take_up(stream, last)

    async def _take_up(self, stream: Stream, last: Tried) -> Tried:
        before = self._peers(stream)
        resume = Resume(stream.first_id, len(stream.makers))
        pause_s = _PAUSE_S
        if last.status == _CANNOT_GO_ON and last.retry_after_s is not None:
            pause_s = last.retry_after_s
        await asyncio.sleep(pause_s)
        tried = await self._try(stream, self._next_id(), last, resume.headers)
        possible = len(before & self._peers(stream)) > 1
        went_on = stream.add(tried) or stream.whole
        stream.taken_up.append(TakeUp(went_on, possible))
        return tried

    async def _try(
        self,
        stream: Stream,
        request_id: str,
        last: Tried | None,
        headers: Headers,
    ) -> Tried:
        """Ask an instance that is up, another one than the last time.

        Waits while all are down.
        """
        up = self._up()
        while not up:
            await asyncio.sleep(_LOOK_S)
            up = self._up()
        others = [
            one for one in up if last is None or one.name != last.instance
        ]
        entry = self._rng.choice(others or up)
        return await Caller(self._rng).ask(
            entry.name,
            entry.front,
            self._route,
            request_id,
            streams=True,
            body=stream.request_id.encode(),
            headers=headers,
        )

    def _up(self) -> list[EntryProcess]:
        return [one for one in self._entries if one.name not in self.down]

    def _peers(self, stream: Stream) -> set[str]:
        return set(self._serving_with(stream.makers[0]))

    def _next_id(self) -> str:
        return f'{next(self._numbers):016x}'
