"""Threads that talk to the platform and the upstreams for the instance."""

from __future__ import annotations

import queue
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

import urllib3
from prometheus_client.parser import text_string_to_metric_families
from tallyhall_client.http import new_pool
from tallyhall_core.events import Event
from tallyhall_core.messages import SharedValue
from tallyhall_membership import assignment as assignments
from tallyhall_membership.assignment import Edit
from tallyhall_membership.shared import ASSIGNMENT, INSTANCES, TABLE
from tallyhall_node import instances as lists
from tallyhall_sources.errors import PlatformError
from tallyhall_sources.instance_list import EndpointList, InstanceListClient
from tallyhall_sources.kv import KeyValue
from tallyhall_sources.stored import (
    ASSIGNMENT_KEY,
    PREFIX,
    TABLE_KEY,
    read_text,
    update_value,
)
from tallyhall_sources.weights import HttpWeightStore
from tallyhall_table.edits import parse_table
from tallyhall_table.errors import TableError

from .instance import LoadReport
from .orders import OrderSender
from .settings import Settings
from .telemetry import Telemetry

ENTRY_SERVICE = 'tallyhall'
_IDLE_S = 0.5
_WATCH_S = 2.0
_ORDERS_S = 1.0
_LOAD_TIMEOUT_S = 0.5
_POOLS = 64
_LOAD_SAMPLES = frozenset(('requests_running', 'requests_waiting'))


class Pollers:
    """All polling threads of one instance. `actor` is a pykka proxy."""

    def __init__(
        self,
        actor: Any,
        kv: KeyValue,
        lister: InstanceListClient,
        cfg: Settings,
        telemetry: Telemetry,
    ) -> None:
        """Prepare the threads."""
        self._actor = actor
        self._kv = kv
        self._lister = lister
        self._cfg = cfg
        self._telemetry = telemetry
        weights = cfg.platform.weights
        self._orders = OrderSender(
            kv,
            HttpWeightStore(weights, cfg.platform.timeout_s)
            if weights
            else None,
            telemetry,
            cfg.instance.name,
        )
        self._stop = threading.Event()
        self._http = new_pool(
            timeout=_LOAD_TIMEOUT_S,
            num_pools=_POOLS,
        )

    def start(self, proposals: queue.Queue[tuple[Edit, ...]]) -> None:
        """Start all threads."""
        self._spawn('kv', self._watch_kv)
        self._spawn('list', self._poll_list)
        self._spawn('load', self._poll_loads)
        self._spawn('orders', self._send_orders)
        self._spawn('edits', lambda: self._write_edits(proposals))

    def stop(self) -> None:
        """Let all threads end after their present call."""
        self._stop.set()

    # -- threads

    def _spawn(self, name: str, step: Callable[[], None]) -> None:
        threading.Thread(
            target=self._loop,
            args=(step,),
            name=name,
            daemon=True,
        ).start()

    def _loop(self, step: Callable[[], None]) -> None:
        while not self._stop.is_set():
            try:
                step()
            except Exception:
                self._telemetry.failure('poller')
                self._stop.wait(_IDLE_S)

    def _watch_kv(self) -> None:
        if not self._actor.poll_plan().get().platform:
            self._stop.wait(_IDLE_S)
            return
        try:
            seen = self._read_values()
        except PlatformError:
            self._actor.kv(up=False).get()
            self._stop.wait(_IDLE_S)
            return
        self._actor.kv(up=True).get()
        started = time.monotonic()
        try:
            self._kv.wait_for_change(PREFIX, seen, _WATCH_S)
        except PlatformError:
            self._telemetry.count('watch_broken')
        if time.monotonic() - started < _IDLE_S / 10:
            self._stop.wait(_IDLE_S / 10)

    def _read_values(self) -> int:
        text, table_seen = read_text(self._kv, TABLE_KEY)
        if text:
            self._offer_table(text)
        text, seen = read_text(self._kv, ASSIGNMENT_KEY)
        if text:
            self._offer_assignment(text)
        return max(table_seen, seen)

    def _poll_list(self) -> None:
        self._stop.wait(self._cfg.times.list_s)
        if not self._actor.poll_plan().get().platform:
            return
        try:
            found = self._lister.fetch()
        except PlatformError:
            self._telemetry.count('list_down')
            return
        text = lists.encode(_shared_list(found))
        offered = SharedValue(INSTANCES, found.revision, text)
        self._actor.value(offered).get()

    def _poll_loads(self) -> None:
        self._stop.wait(self._cfg.times.load_s)
        for service, name, address in self._actor.poll_plan().get().loads:
            report = self._load_of(address)
            if report is None:
                continue
            self._actor.load(service, name, report)

    def _send_orders(self) -> None:
        self._stop.wait(_ORDERS_S)
        self._orders.send_all(self._actor.due_orders().get())

    def _write_edits(
        self,
        proposals: queue.Queue[tuple[Edit, ...]],
    ) -> None:
        try:
            edits = proposals.get(timeout=_IDLE_S)
        except queue.Empty:
            return
        while not proposals.empty():
            edits = (*edits, *proposals.get_nowait())
        try:
            text = update_value(
                self._kv,
                ASSIGNMENT_KEY,
                lambda old: _edited(old, edits),
            )
        except PlatformError:
            self._telemetry.count('edits_failed')
            self._actor.edits_failed().get()
            return
        self._offer_assignment(text)

    # -- values

    def _offer_table(self, text: str) -> None:
        try:
            revision = parse_table(text).revision
        except TableError as exc:
            self._telemetry.event(Event.value_rejected, why=str(exc))
            return
        self._actor.value(SharedValue(TABLE, revision, text)).get()

    def _offer_assignment(self, text: str) -> None:
        try:
            epoch = assignments.decode(text).epoch
        except assignments.BadAssignmentError as exc:
            self._telemetry.event(Event.value_rejected, why=str(exc))
            return
        self._actor.value(SharedValue(ASSIGNMENT, epoch, text)).get()

    def _load_of(self, address: str) -> LoadReport | None:
        try:
            resp = self._http.request('GET', f'http://{address}/metrics')
        except urllib3.exceptions.HTTPError:
            self._telemetry.count('load_report_missing')
            return None
        return parse_load(resp.data.decode(errors='replace'))


def parse_load(text: str) -> LoadReport:
    """Return what Prometheus text says of an upstream's load."""
    requests: float = 0
    cache: float = 0
    model = ''
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in _LOAD_SAMPLES:
                requests += sample.value
            elif sample.name == 'cache_capacity_tokens':
                cache = sample.value
            elif sample.name == 'model_info':
                model = sample.labels.get('model', '')
    return LoadReport(requests, int(cache), model)


def _edited(old: str, edits: tuple[Edit, ...]) -> str:
    before = assignments.Assignment()
    if old:
        before = assignments.decode(old)
    after = assignments.apply_edits(before, edits, uuid.uuid4().hex)
    return old if after is before else assignments.encode(after)


def _shared_list(found: EndpointList) -> lists.InstanceList:
    upstreams = tuple(
        lists.ListedUpstream(
            endpoint.service,
            endpoint.name,
            endpoint.address,
            endpoint.leaving,
        )
        for endpoint in found.endpoints
        if endpoint.service != ENTRY_SERVICE
    )
    entries = tuple(
        endpoint.address
        for endpoint in found.endpoints
        if endpoint.service == ENTRY_SERVICE
    )
    return lists.InstanceList(upstreams, entries)
