"""What a request asks for, as a digest.

Each attempt of a caller may have an id of its own, so a request that comes
again is known by what it asks alone. The digest is kept and logged in its
place: bodies are large, and not ours to keep.
"""

from __future__ import annotations

import hashlib

# Two of a million requests share a digest with a chance of one in 30 million.
_DIGEST_BYTES = 8


def content_digest(*parts: bytes) -> str:
    """Return the same text for requests of which all parts are the same."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        # With its length, so that parts cannot run into each other.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
