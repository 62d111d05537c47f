"""Keeps the fleet's upstreams from requests that end them; a `Guard`.

What an instance sees it tells all others at once, in a large fleet through the
hubs, and writes to the store, so that also those know that were cut off or
have just started. Nothing depends on how it arrives: what is known only grows.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_core.events import Event
from tallyhall_core.suspects import (
    Cleared,
    EndedRun,
    Standing,
    Suspects,
    UpstreamEnd,
    Verdict,
)
from tallyhall_dispatch.desired import Upstream
from tallyhall_edge.ends import EndProbe
from tallyhall_edge.guard import Permit, given_up_error
from tallyhall_platform.ends import EndRecorder, EndRecords
from tallyhall_platform.errors import StoreError
from tallyhall_platform.store import StoreClient
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

from .logs import EventLog

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Told to callers while another request of the same content is tried, and how
# long its trial is not claimed again, in seconds.
_TRIED_ELSEWHERE_S = 1.0
# A hub gathers for this long what several instances tell of one end, so that it
# sends each of some hundred others one batch, in seconds.
_PASS_ON_S = 0.01
# Ends from which on it is written that a request was served: with fewer, who
# does not know of it serves it all the same.
_WRITTEN_ENDS = 2


class SharedGuard:
    """What this instance knows of suspects, and tells of them."""

    def __init__(
        self,
        links: PeerLinks,
        recorder: EndRecorder,
        log: EventLog,
        day_clock: Callable[[], float],
    ) -> None:
        """Share through these; `day_clock` gives seconds since 1970."""
        self._links = links
        self._recorder = recorder
        self._log = log
        self._day_clock = day_clock
        self._loop = asyncio.get_running_loop()
        self._suspects = Suspects()
        self._probe = EndProbe(self._on_end)
        # The leases of the trials that run here.
        self._trials: dict[str, int] = {}
        # Until when trials are not claimed, as one runs elsewhere.
        self._claimed: dict[str, float] = {}
        self._releases: set[asyncio.Task[None]] = set()
        # What is told on from here, and who told it.
        self._passed_on: list[tuple[str, EndRecords]] = []

    async def run(self) -> None:
        """Write what must last until cancelled."""
        await self._recorder.run()

    # -- Guard

    def check(self, content: str) -> int:
        """Return at how many ends a request was; raise RefusedError."""
        return self._standing(content).ends

    async def permit(self, content: str) -> Permit:
        """Let a request run once; raise RefusedError."""
        await self._probe.settle(content)
        standing = self._standing(content)
        if standing.verdict is Verdict.free:
            return Permit(standing.ends)
        await self._claim(content)
        return Permit(standing.ends, is_trial=True)

    def answered(self, content: str) -> None:
        """Take that a request was answered with success."""
        now = self._day_clock()
        ends = self._suspects.standing(content, now).ends
        cleared = self._suspects.served(content, now)
        if cleared is None:
            return
        self._tell(EndRecords((), (cleared,)))
        if ends >= _WRITTEN_ENDS:
            self._recorder.cleared(cleared)
        self._log.event(Event.suspected, content=content, ends=0, by='own')

    def lost(self, content: str, permit: Permit, upstream: Upstream) -> None:
        """Take that the connection ended on which a request ran."""
        self._probe.lost(upstream, EndedRun(content, permit.ends + 1))

    def release(self, content: str) -> None:
        """Take that a trial is over."""
        task = asyncio.create_task(self._release(content))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    # -- from others

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Take what another instance tells, and tell it on from a hub."""
        if not batch.ended and not batch.cleared:
            return
        records = EndRecords(
            tuple(
                UpstreamEnd(told.upstream, told.at_s, _runs(told))
                for told in batch.ended
            ),
            tuple(Cleared(told.content, told.at_s) for told in batch.cleared),
        )
        news = self._learn(records, peer.name)
        if not self._links.tells_on or not _holds_any(news):
            return
        if not self._passed_on:
            self._loop.call_later(_PASS_ON_S, self._pass_on)
        self._passed_on.append((peer.name, news))

    def take_stored(self, records: EndRecords) -> None:
        """Take what an instance wrote."""
        self._learn(records, 'store')

    # -- inner steps

    def _standing(self, content: str) -> Standing:
        standing = self._suspects.standing(content, self._day_clock())
        if standing.verdict is Verdict.given_up:
            raise given_up_error(content, standing.wait_s)
        if standing.verdict is Verdict.trial and self._is_claimed(content):
            raise given_up_error(content, _TRIED_ELSEWHERE_S)
        return standing

    def _is_claimed(self, content: str) -> bool:
        if content in self._trials:
            return True
        return self._loop.time() < self._claimed.get(content, 0)

    async def _claim(self, content: str) -> None:
        # Until the store has answered, and against claims one after another.
        now = self._loop.time()
        self._claimed = {
            one: until for one, until in self._claimed.items() if now < until
        }
        self._claimed[content] = now + _TRIED_ELSEWHERE_S
        try:
            lease = await self._recorder.claim(content)
        except (StoreError, TimeoutError) as exc:
            self._log.event(Event.store_call_failed, cause=repr(exc))
            raise given_up_error(content, _TRIED_ELSEWHERE_S) from exc
        if lease is None:
            raise given_up_error(content, _TRIED_ELSEWHERE_S)
        self._claimed.pop(content, None)
        self._trials[content] = lease

    async def _release(self, content: str) -> None:
        # The next trial must know what came of this one.
        await self._probe.settle(content)
        lease = self._trials.pop(content, None)
        if lease is not None:
            await self._recorder.release(lease)

    def _on_end(self, upstream: Upstream, runs: tuple[EndedRun, ...]) -> None:
        end = UpstreamEnd(upstream.incarnation, self._day_clock(), runs)
        self._log.event(
            Event.upstream_ended,
            upstream=end.upstream,
            contents=[run.content for run in runs],
        )
        records = EndRecords((end,), ())
        self._learn(records, 'own')
        self._tell(records)
        self._recorder.ended(end)

    def _learn(self, records: EndRecords, by: str) -> EndRecords:
        """Take records; return what of them is news."""
        now = self._day_clock()
        ended = tuple(
            end for end in records.ended if self._suspects.take_end(end, now)
        )
        cleared = tuple(
            one
            for one in records.cleared
            if self._suspects.take_cleared(one, now)
        )
        changed = {run.content for end in ended for run in end.runs}
        changed.update(one.content for one in cleared)
        for content in sorted(changed):
            ends = self._suspects.standing(content, now).ends
            self._log.event(
                Event.suspected,
                content=content,
                ends=ends,
                by=by,
            )
        return EndRecords(ended, cleared)

    def _tell(self, records: EndRecords) -> None:
        for name in self._links.peers:
            self._tell_one(name, records)

    def _tell_one(self, name: str, records: EndRecords) -> None:
        batch = self._links.outgoing(name, urgent=True)
        if batch is not None:
            _fill(batch, records)

    def _pass_on(self) -> None:
        """Tell each what the others told, all of it in one batch."""
        told = self._passed_on
        self._passed_on = []
        for name in self._links.peers:
            for source, records in told:
                if source != name:
                    self._tell_one(name, records)


def shared_guard(
    links: PeerLinks,
    client: StoreClient,
    incarnation: str,
    log: EventLog,
    rng: random.Random,
) -> SharedGuard:
    """Return the guard of an instance, with a store client of its own."""
    recorder = EndRecorder(client, incarnation, log.event, rng)
    return SharedGuard(links, recorder, log, time.time)


def _runs(told: peers_pb2.Ended) -> tuple[EndedRun, ...]:
    return tuple(EndedRun(run.content, run.ends) for run in told.runs)


def _holds_any(records: EndRecords) -> bool:
    return bool(records.ended or records.cleared)


def _fill(batch: peers_pb2.Batch, records: EndRecords) -> None:
    for end in records.ended:
        told = batch.ended.add(upstream=end.upstream, at_s=end.at_s)
        for run in end.runs:
            told.runs.add(content=run.content, ends=run.ends)
    for cleared in records.cleared:
        batch.cleared.add(content=cleared.content, at_s=cleared.at_s)
