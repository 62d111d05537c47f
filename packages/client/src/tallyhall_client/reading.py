"""Reads responses and checks that they are complete.

A streamed response is complete only if it has its end marker and if all its
events are in sequence and carry the id of the request; any other one only if it
states its length or comes in chunks. Anything else raises
`IncompleteResponseError`.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from typing import Any

import pydantic
import urllib3

from .errors import IncompleteResponseError
from .http import is_delimited
from .outcome import CallOutcome, RefusalBody, Verdict

_READ_BYTES = 65_536
_DATA_PREFIX = b'data: '
_DONE = b'[DONE]'
_STREAM_TYPE = 'text/event-stream'
_PARSE_ERRORS = (ValueError, LookupError, TypeError, pydantic.ValidationError)


class ResponseReader:
    """Reads one response into a `CallOutcome`."""

    def __init__(self, outcome: CallOutcome, started: float) -> None:
        """Fill in `outcome`, with times measured from `started`."""
        self._outcome = outcome
        self._started = started
        self._texts: list[str] = []
        self._expected = 0
        self._tokens = 0
        self._first_token_s: float = 0

    def read(self, resp: urllib3.BaseHTTPResponse) -> None:
        """Read the response.

        Raises IncompleteResponseError or an error of urllib3.
        """
        self._outcome.status = resp.status
        if resp.headers.get('content-type') == _STREAM_TYPE:
            self._read_stream(resp)
            return
        raw = resp.data
        if not is_delimited(resp, len(raw)):
            raise IncompleteResponseError('response has no length')
        refusal = _parse_refusal(raw)
        if refusal is not None:
            self._record_refusal(refusal)
            return
        self._outcome.text = raw.decode(errors='replace')
        self._outcome.first_s = time.monotonic() - self._started
        self._outcome.verdict = Verdict.answered

    def _read_stream(self, resp: urllib3.BaseHTTPResponse) -> None:
        for line in _lines(resp):
            if not line.startswith(_DATA_PREFIX):
                continue
            payload = line[len(_DATA_PREFIX) :]
            if payload == _DONE:
                self._record_success()
                return
            event = json.loads(payload)
            if 'code' in event:
                self._record_refusal(RefusalBody.model_validate(event))
                return
            self._accept_event(event)
        raise IncompleteResponseError('stream ended without an end marker')

    def _accept_event(self, event: dict[str, Any]) -> None:
        own = event['id'] == self._outcome.request_id
        if not own or event['seq'] != self._expected:
            raise IncompleteResponseError(
                'event out of sequence or of another request',
            )
        self._expected += 1
        self._tokens += event['tokens']
        self._first_token_s = (
            self._first_token_s or time.monotonic() - self._started
        )
        self._texts.append(event['choices'][0]['text'])
        usage = event['usage']
        if usage:
            details = usage['prompt_tokens_details']
            self._outcome.prompt_tokens = usage['prompt_tokens']
            self._outcome.cached_tokens = details['cached_tokens']

    def _record_success(self) -> None:
        outcome = self._outcome
        outcome.text = ''.join(self._texts)
        outcome.verdict = Verdict.answered
        outcome.refusal = None
        outcome.tokens = self._tokens
        outcome.first_s = self._first_token_s
        if self._tokens > 1:
            spent = time.monotonic() - self._started - self._first_token_s
            outcome.gap_s = spent / (self._tokens - 1)

    def _record_refusal(self, refusal: RefusalBody) -> None:
        outcome = self._outcome
        outcome.refusal = refusal
        outcome.request_id = refusal.request_id or outcome.request_id
        outcome.verdict = Verdict.refused
        if refusal.executed == 'unknown':
            outcome.verdict = Verdict.unknown


def _lines(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b''
    chunk = resp.read1(_READ_BYTES)
    while chunk:
        pending += chunk
        *lines, pending = pending.split(b'\n')
        yield from lines
        chunk = resp.read1(_READ_BYTES)


def _parse_refusal(raw: bytes) -> RefusalBody | None:
    try:
        return RefusalBody.model_validate(json.loads(raw)['error'])
    except _PARSE_ERRORS:
        return None
