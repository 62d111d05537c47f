"""Heads of HTTP messages and the few rules that all of them share."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1), in
# lower case; they are never forwarded.
_ONE_CONNECTION = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    ),
)


class RequestHead(msgspec.Struct, frozen=True):
    """The head of a request, with its headers as they came."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a response."""

    status: int
    reason: bytes
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Return whether the status is one of the 2xx."""
        return 200 <= self.status < 300  # noqa: WPS432


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of this lower-case name."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


def count(headers: Headers, name: bytes) -> int:
    """Return how many headers have this lower-case name."""
    return sum(key.lower() == name for key, _ in headers)


def forwarded(headers: Headers, without: Iterable[bytes] = ()) -> Headers:
    """Return the headers that a message keeps on its next connection.

    Left out are those that concern one connection, those that any `Connection`
    names, and the lower-case names given. Some servers read an underscore as
    a dash, so a name that is left out is so in that spelling too.
    """
    left_out = _ONE_CONNECTION.union(without)
    for name, listed in headers:
        if name.lower() == b'connection':
            left_out = left_out.union(
                part.strip().lower() for part in listed.split(b',')
            )
    return tuple(
        (key, text) for key, text in headers if _dashed(key) not in left_out
    )


def _dashed(name: bytes) -> bytes:
    return name.lower().replace(b'_', b'-')


def head_bytes(first_line: bytes, headers: Headers) -> bytes:
    """Return a head as it is sent, with the empty line at its end."""
    lines = [first_line]
    lines.extend(b'%b: %b' % (key, text) for key, text in headers)
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)


def chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


LAST_CHUNK = b'0\r\n\r\n'
