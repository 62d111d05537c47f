"""The WSGI application that callers and operators talk to."""

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
    json_reply,
    plain_reply,
    refusal_reply,
    stream_reply,
    whole_reply,
)
from .ticket import Relay, Ticket

_MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
_SERVICE_PATH = re.compile('/v1/services/(?P<service>[^/]+)(?P<path>/.*)?')
_RELAY_TRIES = 3
_GRACE_S = 10.0
_NOT_FOUND = 404
_OK = 200
_UNAVAILABLE = 503

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Scheduler(Protocol):
    """What the application needs of the instance behind it."""

    def table(self) -> Table:
        """Return the table in force."""

    def submit(self, call: Call) -> Ticket:
        """Take a request; its answer grows in the ticket."""

    def relay_failed(self, call: Call, ticket: Ticket) -> None:
        """Take that the instance named in the ticket cannot be reached."""

    def locate(self, key: str) -> list[LocatedEntry]:
        """Return the entries that a caller may use, best first."""

    def count_refusal(self, reason: Reason) -> None:
        """Count a refusal made before the request was submitted."""

    def status(self) -> dict[str, Any]:
        """Return the instance's state for operators."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppSettings:
    """Bounds of the HTTP interface."""

    max_body_bytes: int
    locate_s: float


class Application:
    """Routes and answers HTTP requests."""

    def __init__(self, scheduler: Scheduler, cfg: AppSettings) -> None:
        """Serve on behalf of this scheduler."""
        self._scheduler = scheduler
        self._cfg = cfg

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI."""
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
            return self._locate(environ)
        if path == '/status':
            return json_reply(_OK, self._scheduler.status())
        if path == '/ready':
            return self._ready()
        if path in _MODEL_PATHS and environ['REQUEST_METHOD'] == 'POST':
            return self._model(environ, path)
        match = _SERVICE_PATH.fullmatch(path)
        if match is None:
            return json_reply(_NOT_FOUND, {'error': 'no such path'})
        return self._plain(environ, match['service'], match['path'] or '/')

    def _locate(self, environ: Environ) -> Reply:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        key = query.get('key', [''])[0]
        entries = [
            dataclasses.asdict(entry) for entry in self._scheduler.locate(key)
        ]
        answer = {'entries': entries, 'keep_s': self._cfg.locate_s}
        return json_reply(_OK, answer)

    def _ready(self) -> Reply:
        ready = bool(self._scheduler.status().get('ready'))
        status = _OK if ready else _UNAVAILABLE
        return json_reply(status, {'ready': ready})

    def _model(self, environ: Environ, path: str) -> Reply:
        raw = self._body(environ)
        headers = CallerHeaders.read(environ)
        call = model_call(path, raw, headers, self._table())
        return self._answer(call)

    def _plain(self, environ: Environ, service: str, path: str) -> Reply:
        raw = self._body(environ)
        headers = CallerHeaders.read(environ)
        call = plain_call(
            environ,
            service,
            path,
            raw,
            headers,
            self._table(),
        )
        return self._answer(call)

    # -- one call

    def _answer(self, call: Call) -> Reply:
        if call.hops > MAX_HOPS:
            request_id = str(call.request_id or '')
            refusal = Refusal.of(Reason.takeover_unknown)
            return refusal_reply(refusal, request_id)
        give_up = time.monotonic() + call.spec.left_s + _GRACE_S
        ticket = self._scheduler.submit(call)
        ticket.attach(time.monotonic())
        try:
            for _ in range(_RELAY_TRIES):
                ticket.wait_first(give_up - time.monotonic())
                target = ticket.relay
                if target is None:
                    break
                relayed = self._relay(call, ticket, target)
                if relayed is not None:
                    return relayed
            reply = self._local(call, ticket)
        except BaseException:
            ticket.detach(time.monotonic())
            raise
        return dataclasses.replace(reply, body=_Attached(reply.body, ticket))

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

    def _local(self, call: Call, ticket: Ticket) -> Reply:
        if ticket.refusal is not None and not ticket.is_shown:
            return refusal_reply(ticket.refusal, ticket.id)
        if call.kind == 'plain':
            return plain_reply(ticket)
        if call.stream:
            return stream_reply(ticket)
        return whole_reply(ticket)

    def _table(self) -> Table:
        table = self._scheduler.table()
        if not table.revision:
            raise RefusedError(Refusal.of(Reason.not_ready, retry_after=1))
        return table

    def _body(self, environ: Environ) -> bytes:
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


class _Attached:
    """A body that counts its caller as a reader until it is closed."""

    def __init__(self, body: Iterable[bytes], ticket: Ticket) -> None:
        self._body = body
        self._ticket = ticket
        self._parts = iter(body)

    def __iter__(self) -> _Attached:
        return self

    def __next__(self) -> bytes:
        return next(self._parts)

    def close(self) -> None:
        self._ticket.detach(time.monotonic())
