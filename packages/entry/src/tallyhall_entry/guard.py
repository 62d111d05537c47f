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
from collections.abc import Callable, Collection, Iterator
from typing import TYPE_CHECKING

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.part_verdicts import PartEnds, PartStatus, PartVerdict
from tallyhall_core.suspects import (
    Cleared,
    InterruptedRun,
    Suspects,
    SuspectStatus,
    UpstreamTermination,
    Verdict,
)
from tallyhall_dispatch.desired import Upstream
from tallyhall_edge.guard import Fingerprint, Permit, quarantined_error
from tallyhall_edge.termination import RefusalCheck, TerminationProbe
from tallyhall_platform.end_records import (
    EndRecorder,
    EndRecords,
    merge_end_records,
)
from tallyhall_platform.store import StoreClient
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from .end_messages import decode_end_batch, fill_end_records
from .logs import EventLog
from .part_quarantine import PartQuarantine
from .trial_claims import TRIAL_RETRY_S, TrialClaims

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# Time for which a hub collects the reports of several instances about the same
# crash, in seconds, so that it sends one batch to each of several hundred
# peers.
_FORWARD_DELAY_S = 0.01
# Crashes from which on a later success is written to the store. With fewer,
# instances that do not know of the success run the request anyway.
_MIN_RECORDED_ENDS = 2
# Longest time in seconds for which a request waits until a held part is cleared
# or quarantined, and the pause between two checks.
_MAX_HOLD_S = 1.5
_HOLD_POLL_S = 0.02


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
        self._parts = PartQuarantine(
            recorder,
            log,
            wall_clock,
            self._broadcast,
            lambda: self._peer_streams.is_relay,
        )
        self._claims = TrialClaims(recorder, log)
        self._probe = TerminationProbe(self._on_end, refuses)
        self._releases: set[asyncio.Task[None]] = set()
        # Records that this hub is to forward, each with its sender.
        self._to_forward: list[tuple[str, EndRecords]] = []

    async def run(self) -> None:
        """Write records to the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._recorder.run())
            group.create_task(self._parts.run())

    # -- Guard

    async def admit(self, fingerprint: Fingerprint) -> str:
        """Return for what a request may crash upstreams, empty if for nothing.

        Raises RefusedError if it must not run now.
        """
        give_up_at = self._loop.time() + _MAX_HOLD_S
        parts = await self._trial_parts(fingerprint.parts, (), give_up_at)
        standing = self._standing(fingerprint.content)
        if parts:
            return parts[0]
        return fingerprint.content if standing.ends else ''

    async def request_permit(self, fingerprint: Fingerprint) -> Permit:
        """Permit one run of a request, or raise RefusedError."""
        await self._probe.wait_for_probes(fingerprint.content)
        claimed: list[str] = []
        try:
            permit = await self._claim_trials(fingerprint, claimed)
        finally:
            if claimed:
                self._release_later(claimed, fingerprint.content)
        return permit

    def answered(self, permit: Permit) -> None:
        """Record that a request succeeded."""
        self.established(permit)
        content = permit.fingerprint.content
        now = self._wall_clock()
        ends = self._suspects.status(content, now).ends
        cleared = self._suspects.record_served(content, now)
        if cleared is None:
            return
        records = EndRecords((), (cleared,))
        self._broadcast(records)
        if ends >= _MIN_RECORDED_ENDS:
            self._recorder.record(records)
        self._log.event(Event.suspected, content=content, ends=0, by='own')

    def established(self, permit: Permit) -> None:
        """Record that an answer has gone on for long enough."""
        answer_s = self._loop.time() - permit.sent_at
        records = self._parts.record_answered(permit.parts, answer_s)
        if not records.is_empty:
            self._broadcast(records)

    def record_connection_lost(
        self, permit: Permit, upstream: Upstream, *, is_established: bool
    ) -> None:
        """Record that the connection on which a request ran was closed."""
        parts = () if is_established else permit.parts
        run = InterruptedRun(
            permit.fingerprint.content,
            permit.ends + 1,
            tuple(PartEnds(one.part, one.ends + 1) for one in parts),
        )
        self._probe.record_connection_lost(upstream, run)

    def release(self, permit: Permit) -> None:
        """Release the claims on finished trials."""
        self._release_later(permit.trials, permit.fingerprint.content)

    # -- from peers and the store

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Process a peer's records, and forward the new ones if on a hub."""
        records = decode_end_batch(batch)
        if records.is_empty:
            return
        news = self._add_records(records, peer.name)
        if not self._peer_streams.is_relay or news.is_empty:
            return
        if not self._to_forward:
            self._loop.call_later(_FORWARD_DELAY_S, self._forward)
        self._to_forward.append((peer.name, news))

    def take_stored(self, records: EndRecords) -> None:
        """Process records read from the store."""
        self._add_records(records, 'store')

    # -- trials

    async def _claim_trials(
        self, fingerprint: Fingerprint, claimed: list[str]
    ) -> Permit:
        """Claim the trials that a request needs, and permit it to run.

        claimed: filled with those that are to be released.
        """
        give_up_at = self._loop.time() + _MAX_HOLD_S
        while True:
            suspects = await self._trial_parts(
                fingerprint.parts, claimed, give_up_at
            )
            standing = self._standing(fingerprint.content, claimed)
            if standing.verdict is Verdict.trial:
                suspects.append(fingerprint.content)
            missing = [one for one in suspects if one not in claimed]
            if not missing:
                trials = tuple(claimed)
                claimed.clear()
                return Permit(
                    fingerprint,
                    self._loop.time(),
                    standing.ends,
                    self._parts.known_ends(fingerprint.parts),
                    trials,
                )
            if await self._claims.claim(missing[0]):
                claimed.append(missing[0])

    async def _trial_parts(
        self,
        parts: Collection[str],
        claimed: Collection[str],
        give_up_at: float,
    ) -> list[str]:
        """Return the parts for which a request would run as a trial.

        Waits until this time, of the event loop, while the outcome of other
        requests with them is unknown; then raises RefusedError, or if any of
        the parts is quarantined.
        """
        while True:
            trials, waiting = self._check_parts(parts, claimed)
            if not waiting:
                return trials
            if self._loop.time() >= give_up_at:
                raise quarantined_error(waiting[0], TRIAL_RETRY_S)
            await asyncio.sleep(_HOLD_POLL_S)
            self._parts.judge()

    def _check_parts(
        self, parts: Collection[str], claimed: Collection[str]
    ) -> tuple[list[str], list[str]]:
        """Return the parts that need a trial, and those to wait for."""
        trials = []
        waiting = []
        for part in parts:
            status = self._parts.status(part)
            if status.verdict is PartVerdict.free:
                continue
            if status.verdict is PartVerdict.quarantined:
                raise quarantined_error(part, status.wait_s)
            if part in claimed:
                trials.append(part)
            elif self._is_undecided(status, part):
                waiting.append(part)
            else:
                trials.append(part)
        if not claimed and len(trials) > 1:
            waiting.extend(self._waiting_alone(trials))
        return trials, waiting

    def _is_undecided(self, status: PartStatus, part: str) -> bool:
        """Return whether the outcome of other requests is waited for."""
        is_held = status.verdict is PartVerdict.held
        return is_held or self._claims.is_claimed(part)

    def _waiting_alone(self, trials: Collection[str]) -> Iterator[str]:
        """Yield the parts that have no trial beside another suspect."""
        for part in trials:
            status = self._parts.status(part)
            if status.alone and status.wait_s:
                raise quarantined_error(part, status.wait_s)
            if status.alone:
                yield part

    def _standing(
        self, content: str, claimed: Collection[str] = ()
    ) -> SuspectStatus:
        standing = self._suspects.status(content, self._wall_clock())
        if standing.verdict is Verdict.given_up:
            raise quarantined_error(content, standing.wait_s)
        if standing.verdict is Verdict.trial and content not in claimed:
            if self._claims.is_claimed(content):
                raise quarantined_error(content, TRIAL_RETRY_S)
        return standing

    def _release_later(self, suspects: Collection[str], content: str) -> None:
        task = asyncio.create_task(self._release(tuple(suspects), content))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _release(self, suspects: Collection[str], content: str) -> None:
        # The next trial must know the result of this one.
        await self._probe.wait_for_probes(content)
        await self._claims.release(suspects)

    # -- records

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
            parts=sorted({part.part for run in runs for part in run.parts}),
        )
        records = EndRecords((end,), ())
        self._add_records(records, 'own')
        self._broadcast(records)
        self._recorder.record(EndRecords((_without_parts(end),), ()))

    def _add_records(self, records: EndRecords, by: str) -> EndRecords:
        """Add records; return those that were not known yet."""
        now = self._wall_clock()
        ended = tuple(self._new_ends(records.ended, now, by))
        cleared = tuple(
            one
            for one in records.cleared
            if self._suspects.record_cleared(one, now)
        )
        self._log_suspected(ended, cleared, by)
        news = self._parts.record_told(records, by)
        return merge_end_records((EndRecords(ended, cleared), news))

    def _new_ends(
        self, ended: Collection[UpstreamTermination], now: float, by: str
    ) -> Iterator[UpstreamTermination]:
        for end in ended:
            is_new = self._suspects.record_termination(end, now)
            has_charged = bool(self._parts.record_termination(end, by))
            if is_new or has_charged:
                yield end

    def _log_suspected(
        self,
        ended: Collection[UpstreamTermination],
        cleared: Collection[Cleared],
        by: str,
    ) -> None:
        now = self._wall_clock()
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

    def _broadcast(self, records: EndRecords) -> None:
        for name in self._peer_streams.peers:
            self._send(name, records)

    def _send(self, name: str, records: EndRecords) -> None:
        batch = self._peer_streams.next_batch(name, urgent=True)
        if batch is not None:
            fill_end_records(batch, records)

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


def _without_parts(end: UpstreamTermination) -> UpstreamTermination:
    """Return a termination as it is stored.

    An instance that starts does not hear which answers cleared parts, so
    it takes the verdicts on them instead.
    """
    runs = tuple(msgspec.structs.replace(run, parts=()) for run in end.runs)
    return msgspec.structs.replace(end, runs=runs)
