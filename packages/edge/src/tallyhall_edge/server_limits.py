"""Limits of a server, and how requests that exceed them are answered."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from .messages import Headers

# Retry-After in seconds of a request for which there is no memory.
_RETRY_AFTER_S = b'1'


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of one connection, in bytes and seconds.

    body_timeout_s: maximum time from the head of a request to its last byte.
    unread_timeout_s: maximum time in which a caller reads nothing of an answer.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    body_timeout_s: float = 10
    idle_timeout_s: float = 15
    unread_timeout_s: float = 15


class Rejection(msgspec.Struct, frozen=True):
    """The answer to a request that cannot be read."""

    status: int
    reason: bytes
    headers: Headers = ()


BAD_REQUEST = Rejection(HTTPStatus.BAD_REQUEST, b'Bad Request')
TIMED_OUT = Rejection(HTTPStatus.REQUEST_TIMEOUT, b'Request Timeout')
TOO_LARGE = Rejection(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, b'Content Too Large')
HEAD_TOO_LARGE = Rejection(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    b'Request Header Fields Too Large',
)
NO_MEMORY = Rejection(
    HTTPStatus.SERVICE_UNAVAILABLE,
    b'Service Unavailable',
    ((b'Retry-After', _RETRY_AFTER_S),),
)
