"""JSON calls over urllib3 that raise the errors of `errors`."""

from __future__ import annotations

import json
from typing import Any

import urllib3
from tallyhall_client.http import new_pool

from .errors import InvalidResponseError, RateLimitedError, UnavailableError

_OK = 200
_TOO_MANY = 429
_FIRST_SERVER_ERROR = 500


class JsonClient:
    """Sends JSON requests to one base URL with a timeout."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Create a connection pool for this base URL."""
        self._base = base.rstrip('/')
        self._pool = new_pool(
            timeout=urllib3.Timeout(total=timeout_s),
            maxsize=4,
        )

    def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Return the JSON object of the response; raise PlatformError."""
        try:
            resp = self._pool.request(
                method,
                f'{self._base}{path}',
                body=None if body is None else json.dumps(body),
                headers={'content-type': 'application/json'},
            )
        except urllib3.exceptions.HTTPError as exc:
            raise UnavailableError(f'{self._base}: {exc}') from exc
        _check_status(resp.status)
        try:
            answer = json.loads(resp.data)
        except ValueError as exc:
            raise InvalidResponseError(
                f'{self._base}{path}: response is not JSON'
            ) from exc
        if not isinstance(answer, dict):
            raise InvalidResponseError(
                f'{self._base}{path}: response is not a JSON object'
            )
        return answer

    def stream(
        self,
        path: str,
        body: dict[str, Any],
        read_s: float,
    ) -> urllib3.BaseHTTPResponse:
        """Return a streamed response with this read timeout."""
        try:
            resp = self._pool.request(
                'POST',
                f'{self._base}{path}',
                body=json.dumps(body),
                timeout=urllib3.Timeout(connect=read_s, read=read_s),
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise UnavailableError(f'{self._base}: {exc}') from exc
        if resp.status != _OK:
            resp.close()
            _check_status(resp.status)
        return resp


def _check_status(status: int) -> None:
    if status == _TOO_MANY:
        raise RateLimitedError('status 429: too many requests')
    if status >= _FIRST_SERVER_ERROR:
        raise UnavailableError(f'status {status}')
    if status != _OK:
        raise InvalidResponseError(f'status {status}')
