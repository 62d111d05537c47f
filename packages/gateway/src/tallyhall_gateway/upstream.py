"""Connections to upstreams.

Each dispatch has a connection of its own, made before anything is written:
a reused one can be found dead only after the request went out, and then
nobody knows whether it ran. What fails up to `connect` was not sent;
whatever fails later may have run.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection

from .errors import NotSentError, StreamBrokenError

_CONNECT_S = 1.0
_CONTROL_S = 1.0
# An upstream that runs accepts at once; the caller waits for the answer.
_LOOK_S = 0.2
_NO_BODY = frozenset((204, 304))
MAX_PLAIN_BYTES = 16_000_000

# A connection outside a pool lets the standard library's errors through.
BROKEN_ERRORS = (
    urllib3.exceptions.HTTPError,
    HTTPException,
    OSError,
    ValueError,
)


class UpstreamCall:
    """One connection to one upstream, which another thread may cut."""

    def __init__(self, address: str, read_s: float) -> None:
        """Prepare; nothing is opened yet. Reads wait at most `read_s`."""
        host, _, port = address.rpartition(':')
        self._conn = HTTPConnection(
            host,
            int(port),
            timeout=urllib3.Timeout(connect=_CONNECT_S).connect_timeout,
        )
        self._read_s = read_s
        self._lock = threading.Lock()
        self._cut = False
        self._sock: socket.socket | None = None

    def connect(self) -> None:
        """Open the connection; raise NotSentError."""
        try:
            self._conn.connect()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise NotSentError(str(exc)) from exc
        with self._lock:
            # The standard library's connection gives its socket away to an
            # answer that ends with the connection, as every stream does; a
            # cut must still reach it.
            self._sock = self._conn.sock
            if self._cut:
                raise NotSentError('cancelled')
        self._conn.timeout = self._read_s
        if self._sock is not None:
            self._sock.settimeout(self._read_s)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        """Write the request and read the head; raise StreamBrokenError."""
        try:
            self._conn.request(
                method,
                path,
                body=body or None,
                headers=headers,
                preload_content=False,
            )
            return self._conn.getresponse()
        except BROKEN_ERRORS as exc:
            raise StreamBrokenError(str(exc)) from exc

    def cut(self) -> None:
        """End the connection from another thread."""
        with self._lock:
            self._cut = True
        self._shut()

    def close(self) -> None:
        """Close the connection; nothing is kept for reuse."""
        self._shut()
        self._conn.close()

    def _shut(self) -> None:
        with self._lock:
            sock = self._sock
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def cancel_stream(address: str, request_id: str) -> None:
    """Tell an engine to stop a stream; it does not matter if it fails."""
    call = UpstreamCall(address, _CONTROL_S)
    with contextlib.suppress(NotSentError, StreamBrokenError):
        call.connect()
        call.exchange('DELETE', f'/v1/streams/{request_id}', b'', {})
    call.close()


def refuses(address: str) -> bool:
    """Return whether nothing listens at an address.

    One that accepts, or is silent, may still be at work.
    """
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), _LOOK_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def read_whole(resp: urllib3.BaseHTTPResponse) -> bytes:
    """Return a whole plain answer; raise StreamBrokenError if it is short."""
    try:
        raw = resp.read(MAX_PLAIN_BYTES + 1)
        if len(raw) > MAX_PLAIN_BYTES:
            raise StreamBrokenError('answer too large')
        # A body of unknown length is whole only if the read reached its end.
        rest = resp.read()
    except BROKEN_ERRORS as exc:
        raise StreamBrokenError(str(exc)) from exc
    whole = raw + rest
    if not _is_delimited(resp, len(whole)):
        raise StreamBrokenError('an answer without length or end marker')
    return whole


def _is_delimited(resp: urllib3.BaseHTTPResponse, length: int) -> bool:
    # Without a length and without chunks, a cut looks like the end; and a cut
    # within the headers leaves a length that is empty or too small.
    if resp.status in _NO_BODY:
        return True
    headers = resp.headers
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        return True
    return headers.get('content-length', '') == str(length)
