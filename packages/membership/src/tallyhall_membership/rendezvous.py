"""Rendezvous hashing: all instances rank the same nodes in the same order.

The score of a node depends only on the key and the node. When a node joins or
leaves, only the keys that it gains or held move. The hash is BLAKE2b.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def score(key: str, node: str) -> int:
    """Return the score of the node for the key, from 0 to 2**64 - 1."""
    raw = f'{key}\0{node}'.encode()
    digest = hashlib.blake2b(raw, digest_size=_SCORE_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of score for the key."""
    return sorted(
        nodes, key=lambda node: (score(key, node), node), reverse=True
    )
