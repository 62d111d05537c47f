"""Carries the node's actions out: threads, sockets and files stay here."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from concurrent import futures
from typing import Any

from tallyhall_core.events import Event
from tallyhall_core.refusals import Reason, Refusal
from tallyhall_gateway.calls import Call
from tallyhall_gateway.meter import StreamMeter
from tallyhall_gateway.runner import Run
from tallyhall_gateway.ticket import Relay, Ticket
from tallyhall_gateway.tickets import Tickets
from tallyhall_membership.assignment import Edit
from tallyhall_node.actions import (
    Outcome,
    RelayTo,
    RunResult,
    Send,
    StartRun,
)
from tallyhall_transport.sender import Sender

from .telemetry import Telemetry

_RUN_THREADS = 512


class DaemonEffects:
    """The Effects of a real instance."""

    def __init__(
        self,
        sender: Sender,
        tickets: Tickets,
        telemetry: Telemetry,
        meter: StreamMeter,
    ) -> None:
        """Prepare; `connect` names who takes results."""
        self.proposals: queue.Queue[tuple[Edit, ...]] = queue.Queue()
        self._sender = sender
        self._tickets = tickets
        self._telemetry = telemetry
        self._meter = meter
        self._on_result: Callable[[RunResult], None] = _ignore
        self._lock = threading.Lock()
        self._calls: dict[str, tuple[Call, float]] = {}
        self._runs: dict[str, Run] = {}
        self._threads = futures.ThreadPoolExecutor(_RUN_THREADS, 'run')

    def connect(self, on_result: Callable[[RunResult], None]) -> None:
        """Name who takes the results of runs."""
        self._on_result = on_result

    def send(self, sender: str, action: Send) -> None:
        """Send a message to a peer."""
        self._sender.send(action.address, sender, action.to, action.message)

    def open(
        self, request_id: str, call: Call, *, is_duplicate: bool
    ) -> Ticket:
        """Return the ticket of a submitted request."""
        now = time.monotonic()
        known = self._tickets.get(request_id)
        if is_duplicate:
            if known is None:
                known = self._tickets.open(request_id, now)
                known.refuse(Refusal.of(Reason.already_answered), now)
            return known
        with self._lock:
            self._calls[request_id] = (call, now + call.spec.left_s)
        if known is not None and (known.is_final or known.relay):
            return self._tickets.reopen(request_id, now)
        return self._tickets.open(request_id, now)

    def start_run(self, action: StartRun) -> None:
        """Dispatch in a thread of its own."""
        with self._lock:
            call, deadline = self._calls[action.id]
        ticket = self._tickets.open(action.id, time.monotonic())
        ticket.send_to(None)
        run = Run(action, call, ticket, self._meter, deadline)
        with self._lock:
            self._runs[action.id] = run
        self._threads.submit(self._execute, run)

    def cancel_run(self, request_id: str, refusal: Refusal) -> None:
        """Answer the caller and stop the run."""
        ticket = self._tickets.get(request_id)
        if ticket is not None:
            ticket.refuse(refusal, time.monotonic())
        with self._lock:
            run = self._runs.get(request_id)
        if run is not None:
            run.cancel()

    def finish(self, request_id: str, refusal: Refusal) -> None:
        """Answer the caller."""
        now = time.monotonic()
        self._tickets.open(request_id, now).refuse(refusal, now)
        with self._lock:
            self._calls.pop(request_id, None)

    def relay(self, action: RelayTo) -> None:
        """Tell the caller's thread to relay."""
        ticket = self._tickets.open(action.id, time.monotonic())
        ticket.send_to(Relay(action.instance, action.http))

    def propose(self, edits: tuple[Edit, ...]) -> None:
        """Change the assignment in the KV."""
        self.proposals.put(edits)

    def count(self, name: str, amount: int) -> None:
        """Add to a counter."""
        self._telemetry.count(name, amount)

    def event(self, event: Event, fields: dict[str, Any]) -> None:
        """Write a numbered event."""
        self._telemetry.event(event, **fields)

    def failure(self, where: str) -> None:
        """Log the exception being handled, and count it."""
        self._telemetry.failure(where)

    def _execute(self, run: Run) -> None:
        try:
            outcome = run.execute(self._sent)
        except Exception:
            # Whatever went wrong, the request may have reached the upstream.
            self._telemetry.failure('run')
            start = run.start
            outcome = RunResult(start.id, start.upstream, Outcome.broken)
        with self._lock:
            self._runs.pop(run.start.id, None)
            if run.ticket.is_final:
                self._calls.pop(run.start.id, None)
        self._on_result(outcome)

    def _sent(self, start: StartRun) -> None:
        self._telemetry.event(
            Event.dispatched,
            id=start.id,
            upstream=start.upstream,
        )


def _ignore(_: RunResult) -> None:
    """Take no result; replaced by `connect`."""
