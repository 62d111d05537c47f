"""One instance as a process: wires the libraries, runs, stops gracefully."""

from __future__ import annotations

import signal
import sys
import threading
import time
from typing import Any

import pykka
from tallyhall_core.events import Event
from tallyhall_core.refusals import Reason
from tallyhall_gateway.app import Application, AppSettings
from tallyhall_gateway.calls import Call
from tallyhall_gateway.meter import StreamMeter
from tallyhall_gateway.ticket import Ticket
from tallyhall_gateway.tickets import Tickets
from tallyhall_node.node import LocatedEntry
from tallyhall_sources.instance_list import EndpointSliceClient
from tallyhall_sources.kv import EtcdKeyValue
from tallyhall_table.model import Table
from tallyhall_transport.errors import TransportError
from tallyhall_transport.sender import Sender
from tallyhall_transport.server import MessageReceiver, start_server
from waitress.server import create_server

from .effects import DaemonEffects
from .errors import OperatorError
from .instance import InstanceActor
from .pollers import Pollers
from .settings import Settings
from .telemetry import Telemetry, setup_logging

_TICK_S = 0.1
_REPORT_S = 0.5
_LINGER_EXTRA_S = 1.0
_CHECK_S = 0.05
_SOCKET_BACKLOG = 1024
_LAST_WORD_S = 0.3
_CLEAN_S = 1.0
# The longest a leaving instance waits for callers that read too slowly.
_READ_OUT_S = 60.0
_OUTBUF_BYTES = 64_000_000
# Maximum bytes of one read. All requests that it holds are parsed at once, and
# each takes a hundred times its bytes.
_RECEIVE_BYTES = 2048
# Seconds after which a connection without a request is closed, and between two
# looks for such connections.
_IDLE_TIMEOUT_S = 15
_CLEANUP_INTERVAL_S = 5
# Most threads wait for I/O and have little to do when they wake up; with the
# interpreter's usual 5 ms each would wait that long for a busy one.
_SWITCH_S = 0.0005


class LocalScheduler:
    """The gateway's view of the actor; called from server threads."""

    def __init__(
        self,
        actor: Any,
        tickets: Tickets,
        telemetry: Telemetry,
    ) -> None:
        """Talk to this actor proxy."""
        self._actor = actor
        self._tickets = tickets
        self._telemetry = telemetry
        self._key_lock = threading.Lock()

    def table(self) -> Table:
        """Return the table in force."""
        table: Table = self._actor.table().get()
        return table

    def submit(self, call: Call) -> Ticket:
        """Take a request; a caller's own key names it once and for all."""
        if not call.idempotency_key or call.request_id is not None:
            return self._submit(call)
        workspace = call.spec.workspace
        with self._key_lock:
            bound = self._tickets.aliased(workspace, call.idempotency_key)
            known = self._tickets.get(bound)
            if known is not None and not known.may_run_again:
                return known
            ticket = self._submit(call)
            self._tickets.alias(workspace, call.idempotency_key, ticket.id)
            return ticket

    def relay_failed(self, call: Call, ticket: Ticket) -> None:
        """Take that the instance named in the ticket cannot be reached."""
        target = ticket.relay
        if target is None:
            return
        ticket.send_to(None)
        self._actor.relay_failed(call, ticket.id, target.instance).get()

    def locate(self, key: str) -> list[LocatedEntry]:
        """Return the entries that a caller may use, best first."""
        found: list[LocatedEntry] = self._actor.locate(key).get()
        return found

    def count_refusal(self, reason: Reason) -> None:
        """Count a refusal made before the request was submitted."""
        self._telemetry.count(f'refused.{reason}')

    def status(self) -> dict[str, Any]:
        """Return the instance's state for operators."""
        state: dict[str, Any] = self._actor.status().get()
        return {**state, 'counters': self._telemetry.totals()}

    def _submit(self, call: Call) -> Ticket:
        ticket: Ticket = self._actor.submit(call).get()
        return ticket


class InstanceProcess:
    """Everything that runs in one instance."""

    def __init__(self, cfg: Settings) -> None:
        """Wire all parts; raise OperatorError if a port is taken."""
        setup_logging(cfg.log.level, cfg.instance.name)
        self._cfg = cfg
        self._telemetry = Telemetry(cfg.metrics)
        self._tickets = Tickets(cfg.http.answers_kept_s, cfg.http.abandon_s)
        self._meter = StreamMeter()
        self._stopping = threading.Event()
        self._cleaned: float = 0
        sender = Sender(cfg.instance.rpc, self._peer_down)
        effects = DaemonEffects(
            sender,
            self._tickets,
            self._telemetry,
            self._meter,
        )
        self._ref = InstanceActor.start(cfg, effects)
        self._actor = self._ref.proxy()
        effects.connect(lambda run: self._tell('result', run))
        self._effects = effects
        try:
            self._rpc = start_server(
                cfg.instance.rpc,
                MessageReceiver(self._message, self._bad_message),
            )
            self._http = self._http_server()
        except (TransportError, OSError) as exc:
            self._ref.stop()
            raise OperatorError(
                f'cannot listen: {exc}; check instance.http and instance.rpc',
            ) from exc
        self._pollers = Pollers(
            self._actor,
            EtcdKeyValue(cfg.platform.kv, cfg.platform.timeout_s),
            EndpointSliceClient(
                cfg.platform.instances,
                cfg.platform.timeout_s,
            ),
            cfg,
            self._telemetry,
        )

    def run(self) -> None:
        """Serve until a signal, then stop without cutting anything off."""
        sys.setswitchinterval(_SWITCH_S)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        self._pollers.start(self._effects.proposals)
        threading.Thread(
            target=self._http.run,
            name='http',
            daemon=True,
        ).start()
        self._telemetry.event(Event.started, http=self._cfg.instance.http)
        while not self._stopping.wait(_TICK_S):
            self._step()
        self._drain()

    # -- internals

    def _http_server(self) -> Any:
        app = Application(
            LocalScheduler(self._actor, self._tickets, self._telemetry),
            AppSettings(
                self._cfg.http.max_body_bytes,
                self._cfg.times.locate_s,
            ),
        )
        return create_server(
            app,
            listen=self._cfg.instance.http,
            threads=self._cfg.http.threads,
            connection_limit=self._cfg.http.threads * 4,
            backlog=_SOCKET_BACKLOG,
            channel_timeout=_IDLE_TIMEOUT_S,
            cleanup_interval=_CLEANUP_INTERVAL_S,
            recv_bytes=_RECEIVE_BYTES,
            # Instances have no disks: nothing is ever spooled to a file.
            max_request_body_size=2 * self._cfg.http.max_body_bytes,
            inbuf_overflow=4 * self._cfg.http.max_body_bytes,
            outbuf_overflow=_OUTBUF_BYTES,
            outbuf_high_watermark=_OUTBUF_BYTES // 2,
            ident='tallyhall',
            clear_untrusted_proxy_headers=True,
            asyncore_use_poll=True,
        )

    def _on_signal(self, *_: object) -> None:
        self._stopping.set()

    def _step(self) -> None:
        now = time.monotonic()
        self._actor.tick().get()
        reports = self._meter.report(now, _REPORT_S)
        if reports:
            self._tell('progress', reports)
        if now - self._cleaned < _CLEAN_S:
            return
        self._cleaned = now
        for request_id in self._tickets.abandoned(now):
            self._tell('cancel', request_id)
        self._tickets.forget(now)

    def _drain(self) -> None:
        self._telemetry.event(Event.stopping)
        self._actor.leave().get()
        # Callers keep a locate answer that names us for this long.
        linger = self._cfg.times.locate_s + _LINGER_EXTRA_S
        until = time.monotonic() + linger
        while time.monotonic() < until or not self._actor.is_drained().get():
            self._step()
            time.sleep(_CHECK_S)
        self._let_callers_read()
        self._http.close()
        self._http.task_dispatcher.shutdown()
        self._actor.announce_exit().get()
        time.sleep(_LAST_WORD_S)
        self._pollers.stop()
        self._rpc.stop(grace=None)
        self._telemetry.event(Event.stopped)
        pykka.ActorRegistry.stop_all()

    def _let_callers_read(self) -> None:
        # A request has ended here once its answer is complete, but a slow
        # caller may still be reading it, and a late one may still come.
        until = time.monotonic() + _READ_OUT_S
        while self._is_sending() or not self._actor.is_drained().get():
            if time.monotonic() >= until:
                self._telemetry.count('drain.reading_cut_off')
                return
            self._step()
            time.sleep(_CHECK_S)

    def _is_sending(self) -> bool:
        return any(
            channel.requests or channel.total_outbufs_len
            for channel in tuple(self._http.active_channels.values())
        )

    def _message(self, *received: object) -> None:
        self._tell('message', *received)

    def _bad_message(self) -> None:
        self._telemetry.count('bad_message')

    def _peer_down(self, address: str) -> None:
        self._tell('peer_down', address)

    def _tell(self, method: str, *told: object) -> None:
        getattr(self._actor, method).defer(*told)


def serve(cfg: Settings) -> None:
    """Run one instance until it is told to stop."""
    InstanceProcess(cfg).run()
