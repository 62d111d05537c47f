"""Reading an answer, with its wholeness checked.

An answer counts as whole only with its end marker, every event in order and
under the caller's own id; everything else is `BrokenError`.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from typing import Any

import pydantic
import urllib3

from .errors import BrokenError
from .outcome import CallOutcome, RefusalBody, Verdict

_READ_BYTES = 65_536
_DATA_LINE = b'data: '
_DONE = b'[DONE]'
_STREAM_TYPE = 'text/event-stream'
_NO_REFUSAL = (ValueError, LookupError, TypeError, pydantic.ValidationError)


class AnswerReader:
    """Reads one response into the outcome."""

    def __init__(self, outcome: CallOutcome, started: float) -> None:
        """Fill in this outcome; times count from `started`."""
        self._outcome = outcome
        self._started = started
        self._texts: list[str] = []
        self._expected = 0
        self._tokens = 0
        self._first: float = 0

    def read(self, resp: urllib3.BaseHTTPResponse) -> None:
        """Read to the end; raise BrokenError or urllib3's errors."""
        self._outcome.status = resp.status
        if resp.headers.get('content-type') == _STREAM_TYPE:
            self._read_stream(resp)
            return
        raw = resp.data
        refusal = _refusal_in(raw)
        if refusal is not None:
            self._refuse(refusal)
            return
        self._outcome.text = raw.decode(errors='replace')
        self._outcome.first_s = time.monotonic() - self._started
        self._outcome.verdict = Verdict.answered

    def _read_stream(self, resp: urllib3.BaseHTTPResponse) -> None:
        for line in _lines(resp):
            if not line.startswith(_DATA_LINE):
                continue
            payload = line[len(_DATA_LINE) :]
            if payload == _DONE:
                self._finish()
                return
            event = json.loads(payload)
            if 'code' in event:
                self._refuse(RefusalBody.model_validate(event))
                return
            self._take(event)
        raise BrokenError('ended without an end marker')

    def _take(self, event: dict[str, Any]) -> None:
        own = event['id'] == self._outcome.request_id
        if not own or event['seq'] != self._expected:
            raise BrokenError('an event that is not the next of this answer')
        self._expected += 1
        self._tokens += event['tokens']
        self._first = self._first or time.monotonic() - self._started
        self._texts.append(event['choices'][0]['text'])
        usage = event['usage']
        if usage:
            details = usage['prompt_tokens_details']
            self._outcome.prompt_tokens = usage['prompt_tokens']
            self._outcome.cached_tokens = details['cached_tokens']

    def _finish(self) -> None:
        outcome = self._outcome
        outcome.text = ''.join(self._texts)
        outcome.verdict = Verdict.answered
        outcome.refusal = None
        outcome.tokens = self._tokens
        outcome.first_s = self._first
        if self._tokens > 1:
            spent = time.monotonic() - self._started - self._first
            outcome.gap_s = spent / (self._tokens - 1)

    def _refuse(self, refusal: RefusalBody) -> None:
        outcome = self._outcome
        outcome.refusal = refusal
        outcome.request_id = refusal.request_id or outcome.request_id
        outcome.verdict = Verdict.refused
        if refusal.executed == 'unknown':
            outcome.verdict = Verdict.unknown


def _lines(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b''
    part = resp.read1(_READ_BYTES)
    while part:
        pending += part
        *lines, pending = pending.split(b'\n')
        yield from lines
        part = resp.read1(_READ_BYTES)


def _refusal_in(raw: bytes) -> RefusalBody | None:
    try:
        return RefusalBody.model_validate(json.loads(raw)['error'])
    except _NO_REFUSAL:
        return None
