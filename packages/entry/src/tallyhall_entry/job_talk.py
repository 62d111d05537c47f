"""What one instance tells others about jobs."""

from __future__ import annotations

import asyncio

from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Job, RunReport
from tallyhall_dispatch.pool import Granted
from tallyhall_dispatch.refusing import GivenUp
from tallyhall_transport.peer_codec import fill_done, fill_give_up, fill_job
from tallyhall_transport.peers import PeerLinks

_MILLI = 1000


class PeerOrigin:
    """Hears decisions on behalf of another instance; an `Origin`."""

    def __init__(self, links: PeerLinks, peer: str) -> None:
        """Pass them on to this peer."""
        self._links = links
        self._peer = peer

    def granted(self, granted: Granted) -> None:
        """Tell that a job may be sent."""
        batch = self._links.outgoing(self._peer, urgent=True)
        if batch is not None:
            batch.grants.add(
                key=granted.key,
                upstream=granted.upstream.incarnation,
                forecast_ms=int(granted.forecast_s * _MILLI),
            )

    def given_up(self, given_up: GivenUp) -> None:
        """Tell that a job cannot be answered in time."""
        batch = self._links.outgoing(self._peer, urgent=True)
        if batch is not None:
            fill_give_up(batch.give_ups.add(), given_up)


class JobTalk:
    """Tells peers; what is told to an unknown one goes nowhere."""

    def __init__(self, links: PeerLinks) -> None:
        """Tell through these."""
        self._links = links
        self._loop = asyncio.get_running_loop()

    def ask(self, owner: str, job: Job) -> bool:
        """Ask an owner for an upstream; return whether it is known."""
        batch = self._links.outgoing(owner, urgent=True)
        if batch is None:
            return False
        fill_job(batch.asks.add(), job, self._loop.time())
        return True

    def queued(self, peer: str, key: str) -> None:
        """Tell that a job waits here."""
        batch = self._links.outgoing(peer, urgent=True)
        if batch is not None:
            batch.queued.append(key)

    def withdrawn(self, owner: str, key: str) -> None:
        """Tell an owner that a job waits there no more."""
        batch = self._links.outgoing(owner, urgent=False)
        if batch is None:
            return
        batch.withdrawn.append(key)
        # Withdrawals are read before asks, so an ask that has not left yet
        # must not leave after all.
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
        """Tell an owner what runs without its grant; return if it is known."""
        batch = self._links.outgoing(owner, urgent=False)
        if batch is None:
            return False
        running = batch.running.add(
            upstream=upstream.incarnation,
            begun=begun,
        )
        fill_job(running.job, job, self._loop.time())
        return True

    def begun(self, peer: str, key: str) -> None:
        """Tell that the answer of a job has begun."""
        batch = self._links.outgoing(peer, urgent=False)
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
        """Tell how a send has ended."""
        batch = self._links.outgoing(peer, urgent=True)
        if batch is not None:
            fill_done(batch.done.add(), key, service, incarnation, report)
