"""The controller role: which engines are to load which model.

The owner of a service orders each of its engines that reports another model
than the table names. An order carries the epoch of the owner's tenure as its
fencing number, so that engines that check it refuse an earlier owner.
"""

from __future__ import annotations

import dataclasses

from tallyhall_table.model import ServiceRow

from .view import View


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order for one engine.

    checks_fencing: whether the engine refuses an old number itself; if not,
    the sender must hold the service's lease.
    """

    service: str
    upstream: str
    address: str
    model: str
    fencing: int
    checks_fencing: bool


class ControllerRole:
    """Orders that are due for the services owned here."""

    def __init__(self, view: View) -> None:
        """Start without any report."""
        self._view = view
        self._models: dict[str, str] = {}
        self._ordered: dict[tuple[str, str], float] = {}

    def on_model(self, upstream: str, model: str) -> None:
        """Take the model that an engine reports, with its usual lag."""
        self._models[upstream] = model

    def due(self, services: tuple[str, ...], now: float) -> tuple[Order, ...]:
        """Return the orders to send now; each is repeated only slowly."""
        orders: list[Order] = []
        for service in services:
            row = self._view.table.service(service)
            if row is not None and row.kind == 'model' and row.model:
                orders += self._due_in(row, now)
        return tuple(orders)

    def _due_in(self, row: ServiceRow, now: float) -> list[Order]:
        orders = []
        for info in self._view.instances.of(row.name):
            reported = self._models.get(info.name)
            if info.leaving or reported in {None, row.model}:
                continue
            if not self._may_order(info.name, row.model, now):
                continue
            orders.append(
                Order(
                    row.name,
                    info.name,
                    info.address,
                    row.model,
                    self._view.since(row.name),
                    row.checks_fencing,
                ),
            )
        return orders

    def _may_order(self, upstream: str, model: str, now: float) -> bool:
        last = self._ordered.get((upstream, model))
        if last is not None and now - last < self._view.cfg.order_repeat_s:
            return False
        self._ordered[(upstream, model)] = now
        return True
