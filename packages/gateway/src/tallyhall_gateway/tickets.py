"""Tickets of an instance, by request id and by idempotency key."""

from __future__ import annotations

import threading

from .ticket import Ticket


class Tickets:
    """Thread-safe store of tickets; final ones expire after a time."""

    def __init__(self, keep_s: float, abandon_s: float) -> None:
        """Create an empty store.

        Final tickets are kept for `keep_s`. A running request that has had no
        reader for `abandon_s` counts as abandoned.
        """
        self._keep_s = keep_s
        self._abandon_s = abandon_s
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}
        self._aliases: dict[tuple[str, str], str] = {}

    def get(self, request_id: str) -> Ticket | None:
        """Return the ticket of a request id, or None."""
        return self._tickets.get(request_id)

    def open(self, request_id: str, now: float) -> Ticket:
        """Return the ticket of a request id; create it if necessary."""
        with self._lock:
            ticket = self._tickets.get(request_id)
            if ticket is None:
                ticket = Ticket(request_id, now)
                self._tickets[request_id] = ticket
            return ticket

    def reopen(self, request_id: str, now: float) -> Ticket:
        """Replace the ticket of a request id by a new one."""
        with self._lock:
            ticket = Ticket(request_id, now)
            self._tickets[request_id] = ticket
            return ticket

    def alias(self, workspace: str, key: str, request_id: str) -> None:
        """Map an idempotency key of a workspace to a request id."""
        with self._lock:
            self._aliases[(workspace, key)] = request_id

    def aliased(self, workspace: str, key: str) -> str:
        """Return the request id of an idempotency key, or an empty string."""
        return self._aliases.get((workspace, key), '')

    def abandoned(self, now: float) -> list[str]:
        """Return the ids of running requests whose callers have left."""
        return [
            ticket.id
            for ticket in list(self._tickets.values())
            if not ticket.is_final
            and ticket.readers == 0
            and now - ticket.changed_at > self._abandon_s
        ]

    def forget(self, now: float) -> None:
        """Remove expired tickets and their idempotency keys."""
        with self._lock:
            for request_id, ticket in list(self._tickets.items()):
                old = now - ticket.changed_at > self._keep_s
                if ticket.is_final and not ticket.readers and old:
                    self._tickets.pop(request_id)
            kept = self._tickets.keys()
            for alias, request_id in list(self._aliases.items()):
                if request_id not in kept:
                    self._aliases.pop(alias)
