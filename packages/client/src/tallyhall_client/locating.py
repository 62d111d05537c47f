"""Discovery of entry instances, with a cached locate response."""

from __future__ import annotations

import json
import random
import threading
import time
import uuid

import pydantic
import urllib3

from .errors import NoEntryError
from .http import new_pool

_TIMEOUT_S = 2.0
_OK = 200
_MAX_CANDIDATES = 3
_MAX_POOLS = 32


class Entry(pydantic.BaseModel):
    """An entry instance; request ids with its `prefix` name it as home."""

    instance: str
    http: str
    zone: str = ''
    prefix: str

    def new_id(self) -> str:
        """Return a new request id whose home is this entry."""
        return f'{self.prefix}.{uuid.uuid4().hex}'


class LocateAnswer(pydantic.BaseModel):
    """The entries to use and how many seconds to cache them."""

    entries: tuple[Entry, ...]
    keep_s: float


class Locator:
    """Chooses the entry instance for each request; thread-safe."""

    def __init__(self, seeds: tuple[str, ...], key: str) -> None:
        """Query `seeds` if no known entry responds.

        `key` identifies the caller.
        """
        self._seeds = seeds
        self._key = key
        self._lock = threading.Lock()
        self._answer: LocateAnswer | None = None
        self._expires_at: float = 0
        self._failed_at: dict[str, float] = {}
        self._http = new_pool(
            timeout=_TIMEOUT_S,
            num_pools=_MAX_POOLS,
        )

    def pick(self, avoid: str = '') -> Entry:
        """Return an entry to send to; raise NoEntryError if there is none."""
        answer = self._current_answer()
        now = time.monotonic()
        usable = [
            entry
            for entry in answer.entries
            if entry.http != avoid
            and now - self._failed_at.get(entry.http, 0) > answer.keep_s
        ]
        if usable:
            return random.choice(usable[:_MAX_CANDIDATES])
        others = [entry for entry in answer.entries if entry.http != avoid]
        if not others and not answer.entries:
            raise NoEntryError('no entry instance is available')
        return random.choice(others or list(answer.entries))

    def report_failure(self, entry: Entry) -> None:
        """Record that an entry is unreachable and expire the cached entries."""
        with self._lock:
            self._failed_at[entry.http] = time.monotonic()
            self._expires_at = 0

    def _current_answer(self) -> LocateAnswer:
        with self._lock:
            if self._answer is None or time.monotonic() >= self._expires_at:
                self._answer = self._fetch()
                self._expires_at = time.monotonic() + self._answer.keep_s
            return self._answer

    def _fetch(self) -> LocateAnswer:
        known = self._answer.entries if self._answer else ()
        addresses = [entry.http for entry in known]
        random.shuffle(addresses)
        for address in (*addresses, *self._seeds):
            answer = self._fetch_from(address)
            if answer is not None and answer.entries:
                return answer
        raise NoEntryError('no entry instance responded to a locate request')

    def _fetch_from(self, address: str) -> LocateAnswer | None:
        try:
            resp = self._http.request(
                'GET',
                f'http://{address}/v1/locate',
                fields={'key': self._key},
            )
            if resp.status != _OK:
                return None
            return LocateAnswer.model_validate(json.loads(resp.data))
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
