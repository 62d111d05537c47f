"""Forwards load reports of upstreams to the owners of their services.

A response arrives at the instance that sent the request, and an instance of a
large fleet sees a given upstream only rarely. The owner of the service selects
the upstreams and needs the reports of all instances. Reports are added to
batches that are sent anyway, the newest one of each upstream. They are not
repeated or relayed: if one is lost, the next response brings another.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import TYPE_CHECKING

from tallyhall_core.events import Event
from tallyhall_dispatch.load_reports import LoadReport
from tallyhall_dispatch.unsent_loads import UnsentLoad, UnsentLoads
from tallyhall_edge.dispatcher import Dispatcher
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_codec import decode_load, encode_load
from tallyhall_transport.peer_streams import PeerStreams

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

# A service is logged again if it reported no slowdown for this long, in
# seconds. Services with few requests pause for less than a minute.
_LOG_AGAIN_S = 60.0
_OWN_SOURCE = 'own'


class LoadSharing:
    """Records load reports and forwards them to owners."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        peer_streams: PeerStreams,
        owner_of: Callable[[str], str | None],
        log: Callable[..., None],
    ) -> None:
        """Record reports for this dispatcher.

        owner_of: returns the instance that is asked for upstreams of a service,
        None if this instance decides itself.
        """
        # Number of reports by step: received from an upstream, sent to an
        # owner, discarded unsent, told by a peer.
        self.counts: collections.Counter[str] = collections.Counter()
        self._dispatcher = dispatcher
        self._peer_streams = peer_streams
        self._owner_of = owner_of
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._unsent = UnsentLoads(self._loop.time())
        # When each service last reported a slowdown.
        self._reported_at: dict[str, float] = {}

    def slowdown(self, incarnation: str) -> float:
        """Return the slowdown of an upstream that decisions use now."""
        return self._dispatcher.upstream_loads.slowdown(
            incarnation, self._loop.time()
        )

    def on_load_reported(self, incarnation: str, report: LoadReport) -> None:
        """Record the load that an upstream stated in a response."""
        now = self._loop.time()
        self._dispatcher.upstream_loads.record(incarnation, report, now)
        service = self._dispatcher.service_of(incarnation)
        if report.slowdown is None or not service:
            return
        self.counts['received'] += 1
        self._log_first(service, incarnation, report, _OWN_SOURCE)
        owner = self._owner_of(service)
        if owner is None:
            self._unsent.discard(incarnation)
            return
        self._unsent.add(UnsentLoad(incarnation, owner, report, now))

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add reports to a batch that is about to be sent to a peer."""
        now = self._loop.time()
        loads = self._unsent.take(peer.name, self._peer_streams.instances, now)
        for load in loads:
            encode_load(
                batch.loads.add(),
                load.incarnation,
                load.report,
                now - load.received_at,
            )
        self.counts['sent'] += len(loads)
        self.counts['discarded'] = self._unsent.discarded

    def take(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Record the reports that a peer forwarded."""
        now = self._loop.time()
        for load in batch.loads:
            service = self._dispatcher.service_of(load.upstream)
            decoded = decode_load(load)
            if decoded is None or not service:
                continue
            report, age_s = decoded
            self._dispatcher.upstream_loads.record(
                load.upstream, report, now - age_s
            )
            self.counts['told'] += 1
            self._log_first(service, load.upstream, report, peer.name)

    def _log_first(
        self, service: str, incarnation: str, report: LoadReport, by: str
    ) -> None:
        now = self._loop.time()
        last_at = self._reported_at.get(service)
        self._reported_at[service] = now
        if last_at is None or now - last_at > _LOG_AGAIN_S:
            self._log(
                Event.slowdowns_reported,
                service=service,
                upstream=incarnation,
                slowdown=report.slowdown,
                by=by,
            )
