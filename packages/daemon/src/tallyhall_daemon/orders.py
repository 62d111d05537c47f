"""Sends the controller's orders to engines.

Engines that check the fencing number need nothing more. For the others the
sender must hold a lease of the service in the key-value service: a new
controller cannot create the key before the old lease has run out, so it
waits out whatever its predecessor may still believe. The lease counts from
before the call that renewed it, so that it ends here no later than there.
"""

from __future__ import annotations

import json
import time

import urllib3
from tallyhall_client.http import new_pool
from tallyhall_core.events import Event
from tallyhall_node.orders import Order
from tallyhall_sources.errors import PlatformError
from tallyhall_sources.kv import KeyValue
from tallyhall_sources.weights import WeightStore

from .telemetry import Telemetry

LEASE_S = 10
_KEY = '/tallyhall/orders/'
_TIMEOUT_S = 2.0
_OK = 200


class ServiceLease:
    """The lease of one service's orders."""

    def __init__(self, kv: KeyValue, service: str, holder: str) -> None:
        """Hold nothing yet."""
        self._kv = kv
        self._key = f'{_KEY}{service}'
        self._holder = holder
        self._lease = ''
        self._until: float = 0

    def ensure(self) -> bool:
        """Take or renew the lease; return whether it is held."""
        started = time.monotonic()
        try:
            held = self._renew() if self._lease else self._take()
        except PlatformError:
            return self.is_held
        self._until = started + LEASE_S if held else 0
        if not held:
            self._lease = ''
        return held

    @property
    def is_held(self) -> bool:
        """Return whether the lease surely still stands."""
        return time.monotonic() < self._until

    def _take(self) -> bool:
        lease = self._kv.grant_lease(LEASE_S)
        taken = self._kv.create_with_lease(
            self._key, self._holder.encode(), lease
        )
        if taken:
            self._lease = lease
        return taken

    def _renew(self) -> bool:
        return self._kv.renew_lease(self._lease)


class OrderSender:
    """Sends orders; called from one thread."""

    def __init__(
        self,
        kv: KeyValue,
        weights: WeightStore | None,
        telemetry: Telemetry,
        holder: str,
    ) -> None:
        """Send on behalf of this instance."""
        self._kv = kv
        self._weights = weights
        self._telemetry = telemetry
        self._holder = holder
        self._leases: dict[str, ServiceLease] = {}
        self._http = new_pool(timeout=_TIMEOUT_S)

    def send_all(self, orders: tuple[Order, ...]) -> None:
        """Send orders, each only if it may be sent."""
        for order in orders:
            if not self._has_weights(order.model):
                self._telemetry.count('order.no_weights')
                continue
            lease = self._lease_of(order)
            if lease is not None and not lease.ensure():
                self._telemetry.count('order.no_lease')
                continue
            self._send(order)

    def _lease_of(self, order: Order) -> ServiceLease | None:
        if order.checks_fencing:
            return None
        known = self._leases.get(order.service)
        if known is None:
            known = ServiceLease(self._kv, order.service, self._holder)
            self._leases[order.service] = known
        return known

    def _has_weights(self, model: str) -> bool:
        if self._weights is None:
            return True
        try:
            return self._weights.get_metadata(model).size > 0
        except PlatformError:
            return False

    def _send(self, order: Order) -> None:
        body = {'fencing': order.fencing, 'model': order.model}
        try:
            resp = self._http.request(
                'POST',
                f'http://{order.address}/v1/orders',
                body=json.dumps(body),
                headers={'content-type': 'application/json'},
            )
        except urllib3.exceptions.HTTPError:
            self._telemetry.count('order.unreachable')
            return
        event = Event.order_sent
        if resp.status != _OK:
            event = Event.order_refused
        self._telemetry.count(event.name)
        self._telemetry.event(
            event,
            upstream=order.upstream,
            model=order.model,
            fencing=order.fencing,
        )
