"""What a request asks for, as a digest.

Callers give each attempt an id of its own, so a request that comes again is
known by what it asks alone. The digest is kept and logged in its place:
bodies are large, and not ours to keep.
"""

from __future__ import annotations

import hashlib

from .messages import RequestHead

# Two of a million requests share a digest with a chance of one in 30 million.
_DIGEST_BYTES = 8


def content_digest(
    host: str,
    head: RequestHead,
    caller: str,
    body: bytes,
) -> str:
    """Return the same text for requests of a caller that ask the same.

    caller: the workspace, or the key where there is none.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (host.encode(), head.method, head.target, caller.encode()):
        # With its length, so that parts cannot run into each other.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
