"""Rendezvous hashing: every instance ranks the same nodes the same way.

A node's score depends on the key and the node alone, so a node that joins or
leaves moves only the keys that it wins or held. The hash is BLAKE2b.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def score(key: str, node: str) -> int:
    """Return the node's score for the key, 0 up to 2**64 - 1."""
    raw = f'{key}\0{node}'.encode()
    digest = hashlib.blake2b(raw, digest_size=_SCORE_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of score for the key."""
    return sorted(
        nodes, key=lambda node: (score(key, node), node), reverse=True
    )
