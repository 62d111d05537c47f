"""The caller's side of a request.

What could not be sent is sent elsewhere under a new id. What was sent and
did not come back whole is asked for again, elsewhere, under the same id: the
system then finds out whether it ran, and never runs it twice.
"""

from __future__ import annotations

import dataclasses
import json
import time

import urllib3

from .errors import BrokenError, NoEntryError, NotSentError
from .locating import Entry, Locator
from .outcome import CallOptions, CallOutcome, Verdict
from .reading import AnswerReader

_CONNECT_S = 1.0
_GRACE_S = 2.0
_PAUSE_S = 0.1
_FRESH_REASONS = frozenset(('not_ready', 'stopping', 'bad_request_id'))
_SAME_ID_REASONS = frozenset(('fenced',))
_MILLI = 1000
_POOLS = 32
_CONNECTIONS = 64
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_BROKEN = (urllib3.exceptions.HTTPError, OSError, ValueError, LookupError)


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    body: bytes
    options: CallOptions
    started: float

    @property
    def left_s(self) -> float:
        return self.started + self.options.deadline_s - time.monotonic()


class Client:
    """Sends requests for one caller; usable from several threads."""

    def __init__(self, seeds: tuple[str, ...], key: str = '') -> None:
        """Know these addresses of entry instances."""
        self._locator = Locator(seeds, key)
        self._pool = urllib3.PoolManager(
            retries=False,
            num_pools=_POOLS,
            maxsize=_CONNECTIONS,
        )

    def complete(
        self,
        service: str,
        prompt: str,
        max_tokens: int,
        options: CallOptions,
    ) -> CallOutcome:
        """Ask a model service; the answer is streamed and checked."""
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
        """Call a plain service."""
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
        while request.left_s > 0:
            entry = self._pick(avoid)
            if entry is None:
                time.sleep(_PAUSE_S)
                continue
            avoid = entry.http
            if self._try(entry, request, outcome):
                break
        outcome.total_s = time.monotonic() - request.started
        if not outcome.sends and outcome.verdict == Verdict.unknown:
            # No connection ever came about, so nothing was run.
            outcome.verdict = Verdict.refused
        return outcome

    def _pick(self, avoid: str) -> Entry | None:
        try:
            return self._locator.pick(avoid)
        except NoEntryError:
            return None

    def _try(
        self,
        entry: Entry,
        request: _Request,
        outcome: CallOutcome,
    ) -> bool:
        """Send once; return whether the outcome is final."""
        if not outcome.sends:
            outcome.request_id = entry.new_id()
        try:
            self._exchange(entry, request, outcome)
        except NotSentError:
            self._locator.failed(entry)
            return False
        except BrokenError:
            outcome.sends += 1
            self._locator.failed(entry)
            return False
        outcome.sends += 1
        if not _ask_again(outcome):
            return True
        time.sleep(_PAUSE_S)
        return False

    def _exchange(
        self,
        entry: Entry,
        request: _Request,
        outcome: CallOutcome,
    ) -> None:
        read_s = max(request.left_s, 0) + _GRACE_S
        try:
            resp = self._pool.request(
                request.method,
                f'http://{entry.http}{request.path}',
                body=request.body or None,
                headers=_headers(request, outcome.request_id),
                timeout=urllib3.Timeout(connect=_CONNECT_S, read=read_s),
                preload_content=False,
            )
        except _NOT_SENT as unsent:
            raise NotSentError(str(unsent)) from unsent
        except urllib3.exceptions.HTTPError as exc:
            raise BrokenError(str(exc)) from exc
        try:
            AnswerReader(outcome, request.started).read(resp)
        except _BROKEN as broken:
            resp.close()
            raise BrokenError(str(broken)) from broken
        resp.drain_conn()
        resp.release_conn()


def _headers(request: _Request, request_id: str) -> dict[str, str]:
    options = request.options
    headers = {
        'content-type': 'application/json',
        'x-tallyhall-workspace': options.workspace,
        'x-tallyhall-deadline-ms': str(max(1, int(request.left_s * _MILLI))),
        'x-tallyhall-request-id': request_id,
    }
    if options.tier:
        headers['x-tallyhall-tier'] = options.tier
    if options.idempotent is not None:
        headers['x-tallyhall-idempotent'] = str(options.idempotent).lower()
    if options.key:
        headers['idempotency-key'] = options.key
    return headers


def _ask_again(outcome: CallOutcome) -> bool:
    """Return whether to go on after a refusal, and under which id."""
    refusal = outcome.refusal
    if refusal is None:
        return False
    if refusal.reason in _SAME_ID_REASONS:
        return True
    if refusal.reason in _FRESH_REASONS and outcome.sends == 1:
        # Sent only this once, and the refusal says that it was not run.
        outcome.sends = 0
        return True
    return False
