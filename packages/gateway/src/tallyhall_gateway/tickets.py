"""All tickets of an instance, by request id and by idempotency key."""

from __future__ import annotations

import threading

from .ticket import Ticket


class Tickets:
    """Thread-safe store; finished tickets are kept for a while."""

    def __init__(self, keep_s: float, abandon_s: float) -> None:
        """Keep finished answers `keep_s`; a running one without any reader
        for `abandon_s` counts as abandoned.
        """
        self._keep_s = keep_s
        self._abandon_s = abandon_s
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}
        self._aliases: dict[tuple[str, str], str] = {}

    def get(self, request_id: str) -> Ticket | None:
        """Return the ticket of an id."""
        return self._tickets.get(request_id)

    def open(self, request_id: str, now: float) -> Ticket:
        """Return the ticket of an id, a new one if there is none."""
        with self._lock:
            ticket = self._tickets.get(request_id)
            if ticket is None:
                ticket = Ticket(request_id, now)
                self._tickets[request_id] = ticket
            return ticket

    def reopen(self, request_id: str, now: float) -> Ticket:
        """Return a new ticket in place of a final one."""
        with self._lock:
            ticket = Ticket(request_id, now)
            self._tickets[request_id] = ticket
            return ticket

    def alias(self, workspace: str, key: str, request_id: str) -> None:
        """Bind a caller's own key to an id."""
        with self._lock:
            self._aliases[(workspace, key)] = request_id

    def aliased(self, workspace: str, key: str) -> str:
        """Return the id that a caller's own key is bound to, or nothing."""
        return self._aliases.get((workspace, key), '')

    def abandoned(self, now: float) -> list[str]:
        """Return ids that run with nobody reading for too long."""
        return [
            ticket.id
            for ticket in list(self._tickets.values())
            if not ticket.is_final
            and ticket.readers == 0
            and now - ticket.changed > self._abandon_s
        ]

    def forget(self, now: float) -> None:
        """Drop final answers that are old enough."""
        with self._lock:
            for request_id, ticket in list(self._tickets.items()):
                old = now - ticket.changed > self._keep_s
                if ticket.is_final and not ticket.readers and old:
                    self._tickets.pop(request_id)
            kept = self._tickets.keys()
            for alias, request_id in list(self._aliases.items()):
                if request_id not in kept:
                    self._aliases.pop(alias)
