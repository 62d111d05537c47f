"""Values in the KV that are updated by compare-and-swap.

An update is a function from the current text to the new text. After a
conflict or a lost response, the value is read and the function applied again.
The functions must therefore be idempotent: applied to a text that contains the
update already, they return it unchanged.
"""

from __future__ import annotations

import gzip
from collections.abc import Callable

from .errors import InvalidResponseError, PlatformError, UnavailableError
from .kv import KeyValue

TABLE_KEY = '/tallyhall/table'
ASSIGNMENT_KEY = '/tallyhall/assignment'
PREFIX = '/tallyhall/'
MAX_BYTES = 1_000_000
_MAX_ATTEMPTS = 6


class ValueTooLargeError(PlatformError):
    """The value exceeds the size limit of the key-value service."""


def read_text(kv: KeyValue, key: str) -> tuple[str, int]:
    """Return the text of a key and its KV revision."""
    found = kv.get(key)
    if not found.mod_revision:
        return ('', 0)
    return (_decompress(found.content), found.mod_revision)


def update_value(
    kv: KeyValue,
    key: str,
    change: Callable[[str], str],
) -> str:
    """Update the text of a key by a function; return the new text.

    Raises UnavailableError if it is still unknown after several attempts
    whether the update was written.
    """
    last_error: UnavailableError | None = None
    for _ in range(_MAX_ATTEMPTS):
        try:
            text, seen = read_text(kv, key)
        except UnavailableError as exc:
            last_error = exc
            break
        updated = change(text)
        if updated == text:
            return text
        compressed = _compress(updated)
        try:
            written = kv.compare_and_swap(key, seen, compressed)
        except UnavailableError as exc:
            # The write may have succeeded: the next read shows it.
            last_error = exc
            continue
        if written:
            return updated
    raise UnavailableError(f'{key}: update not confirmed') from last_error


def _compress(text: str) -> bytes:
    compressed = gzip.compress(text.encode(), mtime=0)
    if len(compressed) > MAX_BYTES:
        raise ValueTooLargeError(
            f'value of {len(compressed)} bytes exceeds {MAX_BYTES}'
        )
    return compressed


def _decompress(compressed: bytes) -> str:
    try:
        return gzip.decompress(compressed).decode()
    except (OSError, EOFError, UnicodeDecodeError) as exc:
        raise InvalidResponseError(
            'value is not gzip-compressed UTF-8 text'
        ) from exc
