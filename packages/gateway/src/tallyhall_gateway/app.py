"""WSGI application that serves callers and operators."""

from __future__ import annotations

import dataclasses
import re
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol
from urllib.parse import parse_qs

from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_node.node import LocatedEntry
from tallyhall_table.model import Table

from .calls import Call, CallerHeaders, model_call, plain_call
from .errors import NotSentError
from .relay import MAX_HOPS, relay
from .replies import (
    Reply,
    completion_reply,
    json_reply,
    plain_reply,
    refusal_reply,
    stream_reply,
)
from .ticket import Relay, Ticket

_MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
_SERVICE_PATH = re.compile('/v1/services/(?P<service>[^/]+)(?P<path>/.*)?')
_MAX_RELAY_ATTEMPTS = 3
_RESPONSE_GRACE_S = 10.0
_NOT_FOUND = 404
_OK = 200
_UNAVAILABLE = 503

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Scheduler(Protocol):
    """Interface to the instance that schedules the requests."""

    def table(self) -> Table:
        """Return the table that currently applies."""

    def submit(self, call: Call) -> Ticket:
        """Submit a request and return the ticket that receives its response."""

    def relay_failed(self, call: Call, ticket: Ticket) -> None:
        """Handle that the relay target of the ticket cannot be reached."""

    def locate(self, key: str) -> list[LocatedEntry]:
        """Return the entries that a caller may use, in order of preference."""

    def count_refusal(self, reason: Reason) -> None:
        """Count a refusal made before the request was submitted."""

    def status(self) -> dict[str, Any]:
        """Return the instance's state for operators."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppSettings:
    """Settings of the HTTP interface."""

    max_body_bytes: int
    locate_s: float


class Application:
    """Routes HTTP requests and creates their responses."""

    def __init__(self, scheduler: Scheduler, cfg: AppSettings) -> None:
        """Pass requests to `scheduler`."""
        self._scheduler = scheduler
        self._cfg = cfg

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one request, as specified by WSGI."""
        try:
            reply = self._route(environ)
        except RefusedError as exc:
            self._scheduler.count_refusal(exc.refusal.reason)
            reply = refusal_reply(exc.refusal, '')
        start_response(reply.status_line, list(reply.headers))
        return reply.body

    # -- routes

    def _route(self, environ: Environ) -> Reply:
        path = environ['PATH_INFO']
        if path == '/v1/locate':
            return self._handle_locate(environ)
        if path == '/status':
            return json_reply(_OK, self._scheduler.status())
        if path == '/ready':
            return self._handle_ready()
        if path in _MODEL_PATHS and environ['REQUEST_METHOD'] == 'POST':
            return self._handle_model(environ, path)
        match = _SERVICE_PATH.fullmatch(path)
        if match is None:
            return json_reply(_NOT_FOUND, {'error': 'no such path'})
        return self._handle_plain(
            environ, match['service'], match['path'] or '/'
        )

    def _handle_locate(self, environ: Environ) -> Reply:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        key = query.get('key', [''])[0]
        entries = [
            dataclasses.asdict(entry) for entry in self._scheduler.locate(key)
        ]
        answer = {'entries': entries, 'keep_s': self._cfg.locate_s}
        return json_reply(_OK, answer)

    def _handle_ready(self) -> Reply:
        ready = bool(self._scheduler.status().get('ready'))
        status = _OK if ready else _UNAVAILABLE
        return json_reply(status, {'ready': ready})

    def _handle_model(self, environ: Environ, path: str) -> Reply:
        raw = self._read_body(environ)
        headers = CallerHeaders.read(environ)
        call = model_call(path, raw, headers, self._table())
        return self._respond(call)

    def _handle_plain(self, environ: Environ, service: str, path: str) -> Reply:
        raw = self._read_body(environ)
        headers = CallerHeaders.read(environ)
        call = plain_call(
            environ,
            service,
            path,
            raw,
            headers,
            self._table(),
        )
        return self._respond(call)

    # -- requests to services

    def _respond(self, call: Call) -> Reply:
        if call.hops > MAX_HOPS:
            request_id = str(call.request_id or '')
            refusal = Refusal.of(Reason.takeover_unknown)
            return refusal_reply(refusal, request_id)
        deadline = time.monotonic() + call.spec.left_s + _RESPONSE_GRACE_S
        ticket = self._scheduler.submit(call)
        ticket.add_reader(time.monotonic())
        try:
            for _ in range(_MAX_RELAY_ATTEMPTS):
                ticket.wait_for_update(deadline - time.monotonic())
                target = ticket.relay
                if target is None:
                    break
                relayed = self._relay(call, ticket, target)
                if relayed is not None:
                    return relayed
            reply = self._buffered_reply(call, ticket)
        except BaseException:
            ticket.remove_reader(time.monotonic())
            raise
        return dataclasses.replace(
            reply, body=_ReaderTrackingBody(reply.body, ticket)
        )

    def _relay(
        self,
        call: Call,
        ticket: Ticket,
        target: Relay,
    ) -> Reply | None:
        try:
            return relay(call, ticket.id, target.http)
        except NotSentError:
            self._scheduler.relay_failed(call, ticket)
        return None

    def _buffered_reply(self, call: Call, ticket: Ticket) -> Reply:
        if ticket.refusal is not None and not ticket.has_output:
            return refusal_reply(ticket.refusal, ticket.id)
        if call.kind == 'plain':
            return plain_reply(ticket)
        if call.stream:
            return stream_reply(ticket)
        return completion_reply(ticket)

    def _table(self) -> Table:
        table = self._scheduler.table()
        if not table.revision:
            raise RefusedError(Refusal.of(Reason.not_ready, retry_after=1))
        return table

    def _read_body(self, environ: Environ) -> bytes:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > self._cfg.max_body_bytes:
            detail = f'at most {self._cfg.max_body_bytes} bytes'
            raise RefusedError(
                Refusal.of(Reason.body_too_large, detail=detail),
            )
        raw: bytes = environ['wsgi.input'].read(length)
        if len(raw) < length:
            detail = 'the body is shorter than announced'
            raise RefusedError(Refusal.of(Reason.bad_request, detail=detail))
        return raw


class _ReaderTrackingBody:
    """Response body whose caller counts as a reader until it is closed."""

    def __init__(self, body: Iterable[bytes], ticket: Ticket) -> None:
        self._body = body
        self._ticket = ticket
        self._parts = iter(body)

    def __iter__(self) -> _ReaderTrackingBody:
        return self

    def __next__(self) -> bytes:
        return next(self._parts)

    def close(self) -> None:
        self._ticket.remove_reader(time.monotonic())
