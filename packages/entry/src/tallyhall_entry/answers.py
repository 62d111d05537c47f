"""The small answers of an instance: ready, locate, metrics."""

from __future__ import annotations

import random

from tallyhall_dispatch.gate import Gate
from tallyhall_edge.exchange import Exchange
from tallyhall_platform.locate import encode_addresses

from .beliefs import Beliefs
from .locate import front_addresses
from .metrics import Metrics

# How long callers keep an answer about where to connect, seconds. Short, so
# that a stopped instance is left soon; some callers keep it three times as
# long.
LOCATE_KEEP_S = 1
_OK = (200, b'OK')
_UNAVAILABLE = (503, b'Service Unavailable')


class Answers:
    """Answers that need nothing but what the instance knows."""

    def __init__(
        self,
        front: str,
        gate: Gate,
        beliefs: Beliefs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Offer `front` while the instance takes requests."""
        self.leaving = False
        self._own = front
        self._gate = gate
        self._beliefs = beliefs
        self._metrics = metrics
        self._rng = rng

    async def ready(self, exchange: Exchange) -> None:
        """Tell whether the instance takes requests."""
        ready = self._gate.version >= 0 and not self.leaving
        exchange.answer(*(_OK if ready else _UNAVAILABLE), (), b'')

    async def locate(self, exchange: Exchange) -> None:
        """Tell where to connect, once this instance knows what is served.

        One that starts while the store is away may know for long neither the
        others nor what to serve; callers then ask another instance.
        """
        if self._gate.version < 0:
            exchange.answer(*_UNAVAILABLE, (), b'')
            return
        addresses = front_addresses(
            self._beliefs.offered,
            self._own,
            self._rng,
            leaving=self.leaving,
        )
        headers = ((b'Content-Type', b'application/json'),)
        body = encode_addresses(addresses, LOCATE_KEEP_S)
        exchange.answer(*_OK, headers, body)

    async def metrics(self, exchange: Exchange) -> None:
        """Return all metrics as text."""
        headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
        # Loaded with the first question, not by each start.
        from .exposition import exposed  # noqa: PLC0415, WPS433

        exchange.answer(*_OK, headers, exposed(self._metrics))
