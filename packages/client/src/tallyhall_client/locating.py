"""The locate answer, kept for as long as it says."""

from __future__ import annotations

import json
import random
import threading
import time
import uuid

import pydantic
import urllib3

from .errors import NoEntryError

_TIMEOUT_S = 2.0
_OK = 200
_SPREAD = 3
_POOLS = 32


class Entry(pydantic.BaseModel):
    """One entry instance; an id built from `prefix` names it as home."""

    instance: str
    http: str
    zone: str = ''
    prefix: str

    def new_id(self) -> str:
        """Return a new request id whose home is this entry."""
        return f'{self.prefix}.{uuid.uuid4().hex}'


class LocateAnswer(pydantic.BaseModel):
    """The entries to use and how long to keep the answer, in seconds."""

    entries: tuple[Entry, ...]
    keep_s: float


class Locator:
    """Knows which entries to use; usable from several threads."""

    def __init__(self, seeds: tuple[str, ...], key: str) -> None:
        """Ask these addresses first; the key tells callers apart."""
        self._seeds = seeds
        self._key = key
        self._lock = threading.Lock()
        self._answer: LocateAnswer | None = None
        self._until: float = 0
        self._failed: dict[str, float] = {}
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=_TIMEOUT_S,
            num_pools=_POOLS,
        )

    def pick(self, avoid: str = '') -> Entry:
        """Return an entry to use now; raise NoEntryError."""
        answer = self._current()
        now = time.monotonic()
        usable = [
            entry
            for entry in answer.entries
            if entry.http != avoid
            and now - self._failed.get(entry.http, 0) > answer.keep_s
        ]
        if usable:
            return random.choice(usable[:_SPREAD])
        others = [entry for entry in answer.entries if entry.http != avoid]
        if not others and not answer.entries:
            raise NoEntryError('no entry instance is live')
        return random.choice(others or list(answer.entries))

    def failed(self, entry: Entry) -> None:
        """Take that an entry could not be reached; ask anew soon."""
        with self._lock:
            self._failed[entry.http] = time.monotonic()
            self._until = 0

    def _current(self) -> LocateAnswer:
        with self._lock:
            if self._answer is None or time.monotonic() >= self._until:
                self._answer = self._ask()
                self._until = time.monotonic() + self._answer.keep_s
            return self._answer

    def _ask(self) -> LocateAnswer:
        known = self._answer.entries if self._answer else ()
        addresses = [entry.http for entry in known]
        random.shuffle(addresses)
        for address in (*addresses, *self._seeds):
            answer = self._ask_one(address)
            if answer is not None and answer.entries:
                return answer
        raise NoEntryError('no entry instance answers a locate call')

    def _ask_one(self, address: str) -> LocateAnswer | None:
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
