"""HTTP handlers for the readiness, locate and metrics endpoints."""

from __future__ import annotations

import random

from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_edge.exchange import Exchange
from tallyhall_platform.locate import encode_locate_answer

from .cluster_state import ClusterState
from .locate import front_addresses
from .metrics import Metrics

# Time for which clients may cache a locate response, in seconds. It is short
# so that clients soon stop using an instance that has stopped; some clients
# cache the response three times as long.
LOCATE_CACHE_S = 1
_OK = (200, b'OK')
_UNAVAILABLE = (503, b'Service Unavailable')


class Endpoints:
    """Serves the endpoints that are answered from local state alone."""

    def __init__(
        self,
        front: str,
        gate: AdmissionGate,
        cluster_state: ClusterState,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Advertise the address `front` until the instance is leaving."""
        self.leaving = False
        self._own_front = front
        self._gate = gate
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._rng = rng

    async def ready(self, exchange: Exchange) -> None:
        """Respond with 200 if the instance accepts requests, else 503."""
        ready = self._gate.version >= 0 and not self.leaving
        exchange.answer(*(_OK if ready else _UNAVAILABLE), (), b'')

    async def locate(self, exchange: Exchange) -> None:
        """Respond with the addresses that clients may connect to.

        Responds with 503 until a desired state has been read: an instance
        that starts while the store is unreachable may lack both the instance
        list and the routes for a long time, so clients must ask another one.
        """
        if self._gate.version < 0:
            exchange.answer(*_UNAVAILABLE, (), b'')
            return
        addresses = front_addresses(
            self._cluster_state.advertised,
            self._own_front,
            self._rng,
            leaving=self.leaving,
        )
        headers = ((b'Content-Type', b'application/json'),)
        body = encode_locate_answer(addresses, LOCATE_CACHE_S)
        exchange.answer(*_OK, headers, body)

    async def metrics(self, exchange: Exchange) -> None:
        """Respond with all metrics in the Prometheus text format."""
        headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
        # Imported on the first scrape to keep startup fast.
        from .exposition import exposed  # noqa: PLC0415, WPS433

        exchange.answer(*_OK, headers, exposed(self._metrics))
