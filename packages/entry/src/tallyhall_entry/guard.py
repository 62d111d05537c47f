"""Protects upstreams from requests that crash them; a fleet-wide `Guard`.

An instance broadcasts what it observes to all others at once, in a large fleet
through the hubs. It also writes it to the store, for instances that were
partitioned or have just started. Records are only ever added, so neither their
order nor duplicates matter.
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
    InterruptedRun,
    Suspects,
    SuspectStatus,
    UpstreamTermination,
    Verdict,
)
from tallyhall_dispatch.desired import Upstream
from tallyhall_edge.guard import Permit, quarantined_error
from tallyhall_edge.termination import RefusalCheck, TerminationProbe
from tallyhall_platform.end_records import EndRecorder, EndRecords
from tallyhall_platform.errors import StoreError
from tallyhall_platform.store import StoreClient
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from .logs import EventLog

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Retry delay returned to clients while another request with the same content
# runs as a trial, and the time for which a trial is not claimed again, in
# seconds.
_TRIAL_RETRY_S = 1.0
# Time for which a hub collects the reports of several instances about the same
# crash, in seconds, so that it sends one batch to each of several hundred
# peers.
_FORWARD_DELAY_S = 0.01
# Crashes from which on a later success is written to the store. With fewer,
# instances that do not know of the success run the request anyway.
_MIN_RECORDED_ENDS = 2


class SharedGuard:
    """Tracks suspect requests and shares what is known with the fleet."""

    def __init__(
        self,
        peer_streams: PeerStreams,
        recorder: EndRecorder,
        log: EventLog,
        wall_clock: Callable[[], float],
        refuses: RefusalCheck,
    ) -> None:
        """Share through `peer_streams` and `recorder`.

        wall_clock: returns the current Unix timestamp. refuses: returns whether
        nothing listens at the address of an upstream.
        """
        self._peer_streams = peer_streams
        self._recorder = recorder
        self._log = log
        self._wall_clock = wall_clock
        self._loop = asyncio.get_running_loop()
        self._suspects = Suspects()
        self._probe = TerminationProbe(self._on_end, refuses)
        # Store leases of the trials that run on this instance, by content.
        self._trials: dict[str, int] = {}
        # Time until which no trial is claimed, as one may run elsewhere.
        self._claimed_until: dict[str, float] = {}
        self._releases: set[asyncio.Task[None]] = set()
        # Records that this hub is to forward, each with its sender.
        self._to_forward: list[tuple[str, EndRecords]] = []

    async def run(self) -> None:
        """Write records to the store until cancelled."""
        await self._recorder.run()

    # -- Guard

    def check(self, content: str) -> int:
        """Return how many upstream crashes a request was involved in.

        Raises RefusedError if the request must not run now.
        """
        return self._standing(content).ends

    async def request_permit(self, content: str) -> Permit:
        """Permit one run of a request, or raise RefusedError."""
        await self._probe.wait_for_probes(content)
        standing = self._standing(content)
        if standing.verdict is Verdict.free:
            return Permit(standing.ends)
        await self._claim(content)
        return Permit(standing.ends, is_trial=True)

    def answered(self, content: str) -> None:
        """Record that a request succeeded."""
        now = self._wall_clock()
        ends = self._suspects.status(content, now).ends
        cleared = self._suspects.record_served(content, now)
        if cleared is None:
            return
        self._broadcast(EndRecords((), (cleared,)))
        if ends >= _MIN_RECORDED_ENDS:
            self._recorder.record_cleared(cleared)
        self._log.event(Event.suspected, content=content, ends=0, by='own')

    def record_connection_lost(
        self, content: str, permit: Permit, upstream: Upstream
    ) -> None:
        """Record that the connection on which a request ran was closed."""
        self._probe.record_connection_lost(
            upstream, InterruptedRun(content, permit.ends + 1)
        )

    def release(self, content: str) -> None:
        """Release the claim on a finished trial."""
        task = asyncio.create_task(self._release(content))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    # -- from peers and the store

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Process a peer's records, and forward the new ones if on a hub."""
        if not batch.ended and not batch.cleared:
            return
        records = EndRecords(
            tuple(
                UpstreamTermination(
                    ended.upstream, ended.at_s, _decode_runs(ended)
                )
                for ended in batch.ended
            ),
            tuple(Cleared(one.content, one.at_s) for one in batch.cleared),
        )
        news = self._add_records(records, peer.name)
        if not self._peer_streams.is_relay or not _has_records(news):
            return
        if not self._to_forward:
            self._loop.call_later(_FORWARD_DELAY_S, self._forward)
        self._to_forward.append((peer.name, news))

    def take_stored(self, records: EndRecords) -> None:
        """Process records read from the store."""
        self._add_records(records, 'store')

    # -- implementation

    def _standing(self, content: str) -> SuspectStatus:
        standing = self._suspects.status(content, self._wall_clock())
        if standing.verdict is Verdict.given_up:
            raise quarantined_error(content, standing.wait_s)
        if standing.verdict is Verdict.trial and self._is_claimed(content):
            raise quarantined_error(content, _TRIAL_RETRY_S)
        return standing

    def _is_claimed(self, content: str) -> bool:
        if content in self._trials:
            return True
        return self._loop.time() < self._claimed_until.get(content, 0)

    async def _claim(self, content: str) -> None:
        # Blocks concurrent claims until the store responds, and claims in
        # quick succession.
        now = self._loop.time()
        self._claimed_until = {
            one: until
            for one, until in self._claimed_until.items()
            if now < until
        }
        self._claimed_until[content] = now + _TRIAL_RETRY_S
        try:
            lease = await self._recorder.claim_trial(content)
        except (StoreError, TimeoutError) as exc:
            self._log.event(Event.store_call_failed, cause=repr(exc))
            raise quarantined_error(content, _TRIAL_RETRY_S) from exc
        if lease is None:
            raise quarantined_error(content, _TRIAL_RETRY_S)
        self._claimed_until.pop(content, None)
        self._trials[content] = lease

    async def _release(self, content: str) -> None:
        # The next trial must know the result of this one.
        await self._probe.wait_for_probes(content)
        lease = self._trials.pop(content, None)
        if lease is not None:
            await self._recorder.release_trial(lease)

    def _on_end(
        self, upstream: Upstream, runs: tuple[InterruptedRun, ...]
    ) -> None:
        end = UpstreamTermination(
            upstream.incarnation, self._wall_clock(), runs
        )
        self._log.event(
            Event.upstream_ended,
            upstream=end.upstream,
            contents=[run.content for run in runs],
        )
        records = EndRecords((end,), ())
        self._add_records(records, 'own')
        self._broadcast(records)
        self._recorder.record_termination(end)

    def _add_records(self, records: EndRecords, by: str) -> EndRecords:
        """Add records; return those that were not known yet."""
        now = self._wall_clock()
        ended = tuple(
            end
            for end in records.ended
            if self._suspects.record_termination(end, now)
        )
        cleared = tuple(
            one
            for one in records.cleared
            if self._suspects.record_cleared(one, now)
        )
        changed = {run.content for end in ended for run in end.runs}
        changed.update(one.content for one in cleared)
        for content in sorted(changed):
            ends = self._suspects.status(content, now).ends
            self._log.event(
                Event.suspected,
                content=content,
                ends=ends,
                by=by,
            )
        return EndRecords(ended, cleared)

    def _broadcast(self, records: EndRecords) -> None:
        for name in self._peer_streams.peers:
            self._send(name, records)

    def _send(self, name: str, records: EndRecords) -> None:
        batch = self._peer_streams.next_batch(name, urgent=True)
        if batch is not None:
            _fill_records(batch, records)

    def _forward(self) -> None:
        """Forward collected records to all peers except their senders."""
        forwarded = self._to_forward
        self._to_forward = []
        for name in self._peer_streams.peers:
            for source, records in forwarded:
                if source != name:
                    self._send(name, records)


def shared_guard(
    peer_streams: PeerStreams,
    client: StoreClient,
    incarnation: str,
    log: EventLog,
    rng: random.Random,
    refuses: RefusalCheck,
) -> SharedGuard:
    """Return the guard of an instance, which needs its own store client."""
    recorder = EndRecorder(client, incarnation, log.event, rng)
    return SharedGuard(peer_streams, recorder, log, time.time, refuses)


def _decode_runs(message: peers_pb2.Ended) -> tuple[InterruptedRun, ...]:
    return tuple(InterruptedRun(run.content, run.ends) for run in message.runs)


def _has_records(records: EndRecords) -> bool:
    return bool(records.ended or records.cleared)


def _fill_records(batch: peers_pb2.Batch, records: EndRecords) -> None:
    for end in records.ended:
        message = batch.ended.add(upstream=end.upstream, at_s=end.at_s)
        for run in end.runs:
            message.runs.add(content=run.content, ends=run.ends)
    for cleared in records.cleared:
        batch.cleared.add(content=cleared.content, at_s=cleared.at_s)
