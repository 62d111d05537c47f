"""Client that sends requests and retries them safely.

A request that could not be sent is sent to another entry instance with a new
id. A request that was sent, but whose response is incomplete, is sent to
another entry instance with the same id: the service then determines whether
it was executed, and never executes it twice.
"""

from __future__ import annotations

import dataclasses
import json
import time

import urllib3

from .errors import IncompleteResponseError, NoEntryError, NotSentError
from .http import new_pool
from .locating import Entry, Locator
from .outcome import CallOptions, CallOutcome, Verdict
from .reading import ResponseReader

_CONNECT_TIMEOUT_S = 1.0
_READ_GRACE_S = 2.0
_RETRY_DELAY_S = 0.1
_NEW_ID_REASONS = frozenset(('not_ready', 'stopping', 'bad_request_id'))
_SAME_ID_REASONS = frozenset(('fenced',))
_MS_PER_S = 1000
_MAX_POOLS = 32
_MAX_POOL_CONNECTIONS = 64
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_READ_ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError, LookupError)


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    body: bytes
    options: CallOptions
    started: float

    @property
    def remaining_s(self) -> float:
        return self.started + self.options.deadline_s - time.monotonic()


class Client:
    """Sends requests to the entry instances; thread-safe."""

    def __init__(self, seeds: tuple[str, ...], key: str = '') -> None:
        """Use `seeds` as the initial addresses of entry instances."""
        self._locator = Locator(seeds, key)
        self._pool = new_pool(
            num_pools=_MAX_POOLS,
            maxsize=_MAX_POOL_CONNECTIONS,
        )

    def complete(
        self,
        service: str,
        prompt: str,
        max_tokens: int,
        options: CallOptions,
    ) -> CallOutcome:
        """Send a streamed completion request to a model service."""
        fields = {
            'model': service,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        body = json.dumps(fields).encode()
        return self._send('POST', '/v1/completions', body, options)

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes,
        options: CallOptions,
    ) -> CallOutcome:
        """Send an HTTP request to a plain service."""
        full = f'/v1/services/{service}{path}'
        return self._send(method, full, body, options)

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        options: CallOptions,
    ) -> CallOutcome:
        request = _Request(method, path, body, options, time.monotonic())
        outcome = CallOutcome()
        avoid = ''
        while request.remaining_s > 0:
            entry = self._pick(avoid)
            if entry is None:
                time.sleep(_RETRY_DELAY_S)
                continue
            avoid = entry.http
            if self._send_once(entry, request, outcome):
                break
        outcome.total_s = time.monotonic() - request.started
        if not outcome.sends and outcome.verdict == Verdict.unknown:
            # No connection was ever established, so nothing was executed.
            outcome.verdict = Verdict.refused
        return outcome

    def _pick(self, avoid: str) -> Entry | None:
        try:
            return self._locator.pick(avoid)
        except NoEntryError:
            return None

    def _send_once(
        self,
        entry: Entry,
        request: _Request,
        outcome: CallOutcome,
    ) -> bool:
        """Send the request once and return whether the outcome is final."""
        if not outcome.sends:
            outcome.request_id = entry.new_id()
        try:
            self._exchange(entry, request, outcome)
        except NotSentError:
            self._locator.report_failure(entry)
            return False
        except IncompleteResponseError:
            outcome.sends += 1
            self._locator.report_failure(entry)
            return False
        outcome.sends += 1
        if not _should_retry(outcome):
            return True
        time.sleep(_RETRY_DELAY_S)
        return False

    def _exchange(
        self,
        entry: Entry,
        request: _Request,
        outcome: CallOutcome,
    ) -> None:
        read_s = max(request.remaining_s, 0) + _READ_GRACE_S
        try:
            resp = self._pool.request(
                request.method,
                f'http://{entry.http}{request.path}',
                body=request.body or None,
                headers=_headers(request, outcome.request_id),
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=read_s
                ),
                preload_content=False,
            )
        except _CONNECT_ERRORS as unsent:
            raise NotSentError(str(unsent)) from unsent
        except urllib3.exceptions.HTTPError as exc:
            raise IncompleteResponseError(str(exc)) from exc
        try:
            ResponseReader(outcome, request.started).read(resp)
        except _READ_ERRORS as broken:
            resp.close()
            raise IncompleteResponseError(str(broken)) from broken
        resp.drain_conn()
        resp.release_conn()


def _headers(request: _Request, request_id: str) -> dict[str, str]:
    options = request.options
    headers = {
        'content-type': 'application/json',
        'x-tallyhall-workspace': options.workspace,
        'x-tallyhall-deadline-ms': str(
            max(1, int(request.remaining_s * _MS_PER_S))
        ),
        'x-tallyhall-request-id': request_id,
    }
    if options.tier:
        headers['x-tallyhall-tier'] = options.tier
    if options.idempotent is not None:
        headers['x-tallyhall-idempotent'] = str(options.idempotent).lower()
    if options.idempotency_key:
        headers['idempotency-key'] = options.idempotency_key
    return headers


def _should_retry(outcome: CallOutcome) -> bool:
    """Return whether to retry after a refusal.

    Resets `outcome.sends` if the retry must use a new request id.
    """
    refusal = outcome.refusal
    if refusal is None:
        return False
    if refusal.reason in _SAME_ID_REASONS:
        return True
    if refusal.reason in _NEW_ID_REASONS and outcome.sends == 1:
        # Sent only once, and refused without having been executed.
        outcome.sends = 0
        return True
    return False
