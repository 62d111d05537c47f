"""Client of the weight store, an HTTP server with a rate limit.

Reads only metadata (HEAD): whether the weights of a model exist and their
size, before an engine is ordered to load them.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

import urllib3
from tallyhall_client.http import new_pool

from .errors import RateLimitedError, UnavailableError

_OK = 200
_NOT_FOUND = 404
_TOO_MANY = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Size of a model's weights in bytes; 0 if they do not exist."""

    model: str
    size: int


class WeightStore(Protocol):
    """Interface of a weight store."""

    def get_metadata(self, model: str) -> Weights:
        """Return the metadata of a model's weights."""


class HttpWeightStore:
    """WeightStore for a plain HTTP server."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Use the store at this base URL."""
        self._base = base.rstrip('/')
        self._pool = new_pool(timeout=timeout_s)

    def get_metadata(self, model: str) -> Weights:
        """Return the metadata of a model's weights."""
        try:
            resp = self._pool.request('HEAD', f'{self._base}/{model}')
        except urllib3.exceptions.HTTPError as exc:
            raise UnavailableError(f'{self._base}: {exc}') from exc
        if resp.status == _TOO_MANY:
            wait = resp.headers.get('retry-after', '1')
            raise RateLimitedError(f'retry after {wait} s')
        if resp.status == _NOT_FOUND:
            return Weights(model, 0)
        if resp.status != _OK:
            raise UnavailableError(f'status {resp.status}')
        return Weights(model, int(resp.headers.get('content-length', 0)))
