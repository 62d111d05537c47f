"""Heads of HTTP messages, and rules that clients and servers share."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers (RFC 9110, section 7.6.1) and framing headers in lower
# case; they are never forwarded.
_HOP_BY_HOP = frozenset(
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
    """The head of a request, with its headers as received."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """Return the request target without its query."""
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


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with this lower-case name."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


def count_headers(headers: Headers, name: bytes) -> int:
    """Return how many headers have this lower-case name."""
    return sum(key.lower() == name for key, _ in headers)


def forwardable_headers(
    headers: Headers, without: Iterable[bytes] = ()
) -> Headers:
    """Return the headers of a message that may be forwarded.

    Excluded are hop-by-hop headers, those named by any `Connection` header and
    the given lower-case names. Some servers read an underscore as a dash, so
    excluded names are matched in that spelling too.
    """
    excluded = _HOP_BY_HOP.union(without)
    for name, listed in headers:
        if name.lower() == b'connection':
            excluded = excluded.union(
                part.strip().lower() for part in listed.split(b',')
            )
    return tuple(
        (key, text)
        for key, text in headers
        if _normalized_name(key) not in excluded
    )


def _normalized_name(name: bytes) -> bytes:
    return name.lower().replace(b'_', b'-')


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode a head, including the empty line at its end."""
    lines = [first_line]
    lines.extend(b'%b: %b' % (key, text) for key, text in headers)
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)


def encode_chunk(payload: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


LAST_CHUNK = b'0\r\n\r\n'


def is_framed(head: ResponseHead) -> bool:
    """Return whether an answer states its length or comes in chunks."""
    if find_header(head.headers, b'content-length') is not None:
        return True
    coding = find_header(head.headers, b'transfer-encoding')
    return coding is not None and b'chunked' in coding.lower()
