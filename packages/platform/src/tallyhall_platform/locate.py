"""The answer to callers that ask where to connect, in the platform's form."""

from __future__ import annotations

import json
from collections.abc import Sequence


def encode_addresses(addresses: Sequence[str], keep_s: float) -> bytes:
    """Return the body; callers keep it for this long."""
    return json.dumps({'addresses': addresses, 'ttl-s': keep_s}).encode()
