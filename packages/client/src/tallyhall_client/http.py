"""HTTP connections that take no response whose head is incomplete.

The standard library takes the end of a connection inside the head of a response
for the end of the head. The headers that are missing then may be those that
state the length of the body.
"""

from __future__ import annotations

import io
from http.client import HTTPException, HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


_BODILESS_STATUSES = frozenset((204, 304))


class IncompleteHeadError(HTTPException):
    """The connection ended inside the head of a response."""


class _HeadReader:
    """Reads the lines of a head; each must be complete."""

    def __init__(self, source: io.BufferedIOBase) -> None:
        self.source = source

    def readline(self, limit: int) -> bytes:
        line = self.source.readline(limit)
        if not line.endswith(b'\n') and len(line) < limit:
            raise IncompleteHeadError(f'connection ended after {line!r}')
        return line

    def close(self) -> None:
        self.source.close()


class _CompleteHeadResponse(HTTPResponse):
    def begin(self) -> None:
        """Read the head; raise IncompleteHeadError if it has no end."""
        source = self.fp
        reader: Any = _HeadReader(source)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = source


class CompleteHeadConnection(HTTPConnection):
    """A connection whose responses have complete heads."""

    response_class = _CompleteHeadResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = CompleteHeadConnection


def new_pool(**options: Any) -> urllib3.PoolManager:
    """Return a connection pool without retries of its own.

    options: further ones of `urllib3.PoolManager`.
    """
    pool = urllib3.PoolManager(retries=False, **options)
    pool.pool_classes_by_scheme = {
        **pool.pool_classes_by_scheme,
        'http': _Pool,
    }
    return pool


def is_delimited(resp: urllib3.BaseHTTPResponse, length: int) -> bool:
    """Return whether a response states where its body of this length ends.

    Without a length or chunks, an aborted connection looks like the end of the
    body. If it was aborted within the headers, the length is empty or too
    small.
    """
    if resp.status in _BODILESS_STATUSES:
        return True
    headers = resp.headers
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        return True
    return headers.get('content-length', '') == str(length)
