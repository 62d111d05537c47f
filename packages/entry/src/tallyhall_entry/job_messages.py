"""Sends job messages to peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Job, RunReport
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_transport.peer_codec import (
    encode_done,
    encode_give_up,
    encode_job,
    encode_slowdown,
    whole_millis,
)
from tallyhall_transport.peer_streams import PeerStreams

from .load_sharing import LoadSharing


class PeerOrigin:
    """Forwards scheduling decisions to the peer that asked; a `JobListener`."""

    def __init__(
        self, peer_streams: PeerStreams, peer: str, loads: LoadSharing
    ) -> None:
        """Forward decisions to this peer."""
        self._loads = loads
        self._peer_streams = peer_streams
        self._peer = peer

    def on_granted(self, granted: GrantDecision) -> None:
        """Tell the peer that a job may be sent to an upstream."""
        batch = self._peer_streams.next_batch(self._peer, urgent=True)
        if batch is None:
            return
        incarnation = granted.upstream.incarnation
        grant = batch.grants.add(
            key=granted.key,
            upstream=incarnation,
            forecast_ms=whole_millis(granted.forecast_s),
        )
        slowdown = self._loads.slowdown(incarnation)
        if slowdown > 1:
            grant.slowdown_percent = encode_slowdown(slowdown)

    def on_rejected(self, given_up: RejectDecision) -> None:
        """Tell the peer that a job cannot meet its deadline."""
        batch = self._peer_streams.next_batch(self._peer, urgent=True)
        if batch is not None:
            encode_give_up(batch.give_ups.add(), given_up)


class JobMessages:
    """Queues job messages for peers; those to an unknown peer are dropped."""

    def __init__(self, peer_streams: PeerStreams) -> None:
        """Send through these streams."""
        self._peer_streams = peer_streams
        self._loop = asyncio.get_running_loop()

    def ask(self, owner: str, job: Job) -> bool:
        """Ask an owner for an upstream; return False if it is unknown."""
        batch = self._peer_streams.next_batch(owner, urgent=True)
        if batch is None:
            return False
        encode_job(batch.asks.add(), job, self._loop.time())
        return True

    def queued(self, peer: str, key: str) -> None:
        """Tell a peer that its job is queued here."""
        batch = self._peer_streams.next_batch(peer, urgent=True)
        if batch is not None:
            batch.queued.append(key)

    def withdrawn(self, owner: str, key: str) -> None:
        """Tell an owner to remove a job from its queue."""
        batch = self._peer_streams.next_batch(owner, urgent=False)
        if batch is None:
            return
        batch.withdrawn.append(key)
        # The receiver processes withdrawals before asks, so an ask that has
        # not been sent yet must be removed from the batch.
        for number, ask in enumerate(batch.asks):
            if ask.key == key:
                batch.asks.pop(number)
                break

    def running(
        self,
        owner: str,
        job: Job,
        upstream: Upstream,
        *,
        begun: bool,
    ) -> bool:
        """Report a job that runs without the owner's grant.

        Returns False if the owner is unknown.
        """
        batch = self._peer_streams.next_batch(owner, urgent=False)
        if batch is None:
            return False
        running = batch.running.add(
            upstream=upstream.incarnation,
            begun=begun,
        )
        encode_job(running.job, job, self._loop.time())
        return True

    def held(self, peer: str, pools: Iterable[ServicePool]) -> None:
        """Tell a peer which of its jobs these pools count as running."""
        batch = self._peer_streams.next_batch(peer, urgent=False)
        if batch is None:
            return
        for pool in pools:
            for key, incarnation in pool.granted_jobs(f'{peer}/').items():
                batch.held.add(key=key, upstream=incarnation)

    def begun(self, peer: str, key: str) -> None:
        """Tell a peer that the response to a job has begun."""
        batch = self._peer_streams.next_batch(peer, urgent=False)
        if batch is not None:
            batch.begun.append(key)

    def done(
        self,
        peer: str,
        key: str,
        service: str,
        incarnation: str,
        report: RunReport,
    ) -> None:
        """Tell a peer the result of a send."""
        batch = self._peer_streams.next_batch(peer, urgent=True)
        if batch is not None:
            encode_done(batch.done.add(), key, service, incarnation, report)
