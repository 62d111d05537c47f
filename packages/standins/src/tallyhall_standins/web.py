"""The little web layer that all stand-ins share."""

from __future__ import annotations

import dataclasses
import json
import logging
from collections.abc import Callable, Iterable
from typing import Any

import waitress

_LOOPBACK = '127.0.0.1'
_THREADS = 300
_OK = 200
_NOT_FOUND = 404


StartResponse = Callable[[str, list[tuple[str, str]]], object]


WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class CutError(Exception):
    """Raised to end an answer in the middle."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as the stand-ins see it."""

    method: str
    path: str
    query: str
    body: bytes
    headers: dict[str, str]

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if there is none."""
        if not self.body:
            return {}
        fields: dict[str, Any] = json.loads(self.body)
        return fields


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One answer; a body of several parts is sent chunked."""

    status: int = _OK
    body: Iterable[bytes] = ()
    headers: tuple[tuple[str, str], ...] = ()


RequestHandler = Callable[[Request], Response]


def json_response(content: object, status: int = _OK) -> Response:
    """Return a JSON answer."""
    raw = json.dumps(content).encode()
    headers = (
        ('content-type', 'application/json'),
        ('content-length', str(len(raw))),
    )
    return Response(status, [raw], headers)


def not_found() -> Response:
    """Return a 404."""
    return json_response({'error': 'not found'}, _NOT_FOUND)


def wsgi(answer: RequestHandler) -> WsgiApp:
    """Return a handler as a WSGI application."""
    return _Wsgi(answer)


def serve(answer: RequestHandler, port: int) -> None:
    """Serve on the loopback address until the process is ended."""
    logging.getLogger('waitress').setLevel(logging.CRITICAL)
    waitress.serve(
        _Wsgi(answer),
        host=_LOOPBACK,
        port=port,
        threads=_THREADS,
        connection_limit=_THREADS * 2,
        backlog=_THREADS,
        asyncore_use_poll=True,
    )


class _Wsgi:
    def __init__(self, answer: RequestHandler) -> None:
        self._answer = answer

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        resp = self._answer(_read(environ))
        start_response(f'{resp.status} Stand-in', list(resp.headers))
        return resp.body


def _read(environ: dict[str, Any]) -> Request:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    headers = {
        key[len('HTTP_') :].replace('_', '-').lower(): text
        for key, text in environ.items()
        if key.startswith('HTTP_')
    }
    return Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        environ.get('QUERY_STRING', ''),
        environ['wsgi.input'].read(length),
        headers,
    )
