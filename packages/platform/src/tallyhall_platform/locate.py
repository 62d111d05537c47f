"""Encodes the answer to callers that ask which address to connect to."""

from __future__ import annotations

import json
from collections.abc import Sequence


def encode_locate_answer(addresses: Sequence[str], keep_s: float) -> bytes:
    """Return the JSON body; callers may cache it for `keep_s` seconds."""
    return json.dumps({'addresses': addresses, 'ttl-s': keep_s}).encode()
