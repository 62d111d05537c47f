"""Values kept in the KV that are changed by compare-and-swap.

A change is a function from the newest text to the next one. A lost race, or
an answer lost on the way, is settled by reading again and applying the
change again: every change used here does nothing where it already stands.
"""

from __future__ import annotations

import gzip
from collections.abc import Callable

from .errors import BadAnswerError, PlatformError, UnavailableError
from .kv import KeyValue

TABLE_KEY = '/tallyhall/table'
ASSIGNMENT_KEY = '/tallyhall/assignment'
PREFIX = '/tallyhall/'
MAX_BYTES = 1_000_000
_TRIES = 6


class TooLargeError(PlatformError):
    """The value would not fit the key-value service."""


def read_text(kv: KeyValue, key: str) -> tuple[str, int]:
    """Return the text kept under a key and its KV revision."""
    found = kv.get(key)
    if not found.mod_revision:
        return ('', 0)
    return (_unpack(found.content), found.mod_revision)


def change_text(
    kv: KeyValue,
    key: str,
    change: Callable[[str], str],
) -> str:
    """Apply a change to the newest text until it stands; return the text.

    Raises UnavailableError when it is not known to stand after some tries.
    """
    lost: UnavailableError | None = None
    for _ in range(_TRIES):
        try:
            text, seen = read_text(kv, key)
        except UnavailableError as exc:
            lost = exc
            break
        wanted = change(text)
        if wanted == text:
            return text
        packed = _pack(wanted)
        try:
            written = kv.swap(key, seen, packed)
        except UnavailableError as exc:
            # The write may stand: the next read tells.
            lost = exc
            continue
        if written:
            return wanted
    raise UnavailableError(f'{key}: not settled') from lost


def _pack(text: str) -> bytes:
    packed = gzip.compress(text.encode(), mtime=0)
    if len(packed) > MAX_BYTES:
        raise TooLargeError(f'{len(packed)} bytes, at most {MAX_BYTES}')
    return packed


def _unpack(packed: bytes) -> str:
    try:
        return gzip.decompress(packed).decode()
    except (OSError, EOFError, UnicodeDecodeError) as exc:
        raise BadAnswerError('a value of a wrong form') from exc
