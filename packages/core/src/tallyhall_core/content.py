"""A digest of the content of a request.

Each attempt of a caller may have its own id, so a repeated request can only be
recognised by its content. The digest is stored and logged instead of the body,
because bodies are large and belong to the caller.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# With 8 bytes, the probability that any two of a million requests have the same
# digest is one in 30 million.
_DIGEST_BYTES = 8


def content_digest(
    *parts: bytes, body: Sequence[bytes | bytearray] | None = None
) -> str:
    """Return a hex digest that is equal for requests with equal parts.

    body: blocks of a further part, None if there is none. Their boundaries do
    not matter.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    fields: list[Sequence[bytes | bytearray]] = [(part,) for part in parts]
    if body is not None:
        fields.append(body)
    for blocks in fields:
        # The length prefix keeps the boundaries between parts unambiguous.
        digest.update(b'%d:' % sum(map(len, blocks)))
        for block in blocks:
            digest.update(block)
    return digest.hexdigest()
