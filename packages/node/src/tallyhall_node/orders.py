"""The controller role: orders engines to load the configured model.

The owner of a service sends an order to each engine of it that reports a model
other than the one in the table. The fencing number of an order is the epoch in
which the owner was assigned, so that engines that check it reject orders of
earlier owners.
"""

from __future__ import annotations

import dataclasses

from tallyhall_table.model import ServiceRow

from .view import View


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine to load a model.

    checks_fencing: whether the engine rejects outdated fencing numbers; if
    not, the sender must hold the lease of the service.
    """

    service: str
    upstream: str
    address: str
    model: str
    fencing: int
    checks_fencing: bool


class ControllerRole:
    """Determines the orders for the services that this incarnation owns."""

    def __init__(self, view: View) -> None:
        """Initialize without reports of engines."""
        self._view = view
        self._models: dict[str, str] = {}
        self._ordered_at: dict[tuple[str, str], float] = {}

    def on_model_report(self, upstream: str, model: str) -> None:
        """Record the model that an engine reports; reports may lag behind."""
        self._models[upstream] = model

    def due_orders(
        self, services: tuple[str, ...], now: float
    ) -> tuple[Order, ...]:
        """Return the orders to send now, each once per retry interval."""
        orders: list[Order] = []
        for service in services:
            row = self._view.table.service(service)
            if row is not None and row.kind == 'model' and row.model:
                orders += self._due_for(row, now)
        return tuple(orders)

    def _due_for(self, row: ServiceRow, now: float) -> list[Order]:
        orders = []
        for info in self._view.instances.upstreams_of(row.name):
            reported = self._models.get(info.name)
            if info.leaving or reported in {None, row.model}:
                continue
            if not self._record_if_due(info.name, row.model, now):
                continue
            orders.append(
                Order(
                    row.name,
                    info.name,
                    info.address,
                    row.model,
                    self._view.owner_since(row.name),
                    row.checks_fencing,
                ),
            )
        return orders

    def _record_if_due(self, upstream: str, model: str, now: float) -> bool:
        last = self._ordered_at.get((upstream, model))
        if last is not None and now - last < self._view.cfg.order_retry_s:
            return False
        self._ordered_at[(upstream, model)] = now
        return True
