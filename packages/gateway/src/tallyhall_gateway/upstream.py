"""Connections to upstreams.

Each dispatch opens a new connection before it sends anything. Connections
aren't reused, since a stale one is detected only after the request was sent,
when it is unknown whether the request was executed. If `connect` fails, nothing
was sent; after any later failure the request may have been executed.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from http.client import HTTPException

import urllib3
from tallyhall_client.http import CompleteHeadConnection, is_delimited

from .errors import NotSentError, StreamBrokenError

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
# Short, since a running upstream accepts connections immediately and the
# caller is waiting for its response.
_PROBE_TIMEOUT_S = 0.2
MAX_PLAIN_BYTES = 16_000_000

# urllib3 connections used without a pool also raise errors of the standard
# library.
RESPONSE_ERRORS = (
    urllib3.exceptions.HTTPError,
    HTTPException,
    OSError,
    ValueError,
)


class UpstreamConnection:
    """Connection to an upstream that another thread can abort."""

    def __init__(self, address: str, read_s: float) -> None:
        """Set the address and read timeout; `connect` opens the connection."""
        host, _, port = address.rpartition(':')
        self._conn = CompleteHeadConnection(
            host,
            int(port),
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S).connect_timeout,
        )
        self._read_s = read_s
        self._lock = threading.Lock()
        self._is_aborted = False
        self._sock: socket.socket | None = None

    def connect(self) -> None:
        """Open the connection; raise NotSentError if that fails."""
        try:
            self._conn.connect()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise NotSentError(str(exc)) from exc
        with self._lock:
            # http.client hands its socket over to a response that ends when
            # the connection closes, as every stream does. Keep a reference
            # so that the connection can still be aborted.
            self._sock = self._conn.sock
            if self._is_aborted:
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
        """Send the request and read the head of the response.

        Raises StreamBrokenError if that fails.
        """
        try:
            self._conn.request(
                method,
                path,
                body=body or None,
                headers=headers,
                preload_content=False,
            )
            return self._conn.getresponse()
        except RESPONSE_ERRORS as exc:
            raise StreamBrokenError(str(exc)) from exc

    def abort(self) -> None:
        """Abort the connection; called from another thread."""
        with self._lock:
            self._is_aborted = True
        self._shut_down_socket()

    def close(self) -> None:
        """Close the connection."""
        self._shut_down_socket()
        self._conn.close()

    def _shut_down_socket(self) -> None:
        with self._lock:
            sock = self._sock
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def cancel_stream(address: str, request_id: str) -> None:
    """Tell an engine to stop a stream; failures are ignored."""
    conn = UpstreamConnection(address, _CANCEL_TIMEOUT_S)
    with contextlib.suppress(NotSentError, StreamBrokenError):
        conn.connect()
        conn.exchange('DELETE', f'/v1/streams/{request_id}', b'', {})
    conn.close()


def refuses_connections(address: str) -> bool:
    """Return whether an address refuses connections.

    An upstream that accepts connections or does not respond may still be
    running.
    """
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), _PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def read_body(resp: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a plain response.

    Raises StreamBrokenError if it is incomplete or too large.
    """
    try:
        raw = resp.read(MAX_PLAIN_BYTES + 1)
        if len(raw) > MAX_PLAIN_BYTES:
            raise StreamBrokenError('response is too large')
        # A body of unknown length is complete only once a read reached its end.
        rest = resp.read()
    except RESPONSE_ERRORS as exc:
        raise StreamBrokenError(str(exc)) from exc
    whole = raw + rest
    if not is_delimited(resp, len(whole)):
        raise StreamBrokenError('response is incomplete or has no length')
    return whole
