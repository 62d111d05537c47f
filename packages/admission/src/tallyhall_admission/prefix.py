"""Which prompt prefixes an upstream probably has in its cache.

A prompt is a chain of block hashes; a block is cached only if all before it
are. The prediction is a least-recently-used list of the blocks sent to the
upstream, and each answer's own count of cached tokens corrects it: what the
engine says it did not have is removed, whatever the cause.
"""

from __future__ import annotations

import collections

BLOCK_TOKENS = 64


class PrefixCache:
    """Predicted cache content of one upstream, in blocks."""

    def __init__(self, capacity_tokens: int) -> None:
        """Expect the upstream to keep this many tokens."""
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)

    def resize(self, capacity_tokens: int) -> None:
        """Take the capacity that the upstream reports."""
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._evict()

    def cached_tokens(self, prefixes: tuple[str, ...]) -> int:
        """Return the tokens of the longest prefix expected in the cache."""
        blocks = 0
        for block in prefixes:
            if block not in self._blocks:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def sent(self, prefixes: tuple[str, ...]) -> None:
        """Take that a prompt with these blocks goes to the upstream."""
        for block in reversed(prefixes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._evict()

    def correct(
        self,
        prefixes: tuple[str, ...],
        expected_tokens: int,
        cached_tokens: int,
    ) -> None:
        """Take what the engine really had when the prompt arrived.

        Only a shortfall says something: blocks beyond it that this prompt
        brought in are there now, but older ones have been evicted, so the
        cache is smaller or busier than expected.
        """
        shortfall = (expected_tokens - cached_tokens) // BLOCK_TOKENS
        if shortfall <= 0:
            return
        keep = set(prefixes)
        for block in list(self._blocks)[:shortfall]:
            if block not in keep:
                self._blocks.pop(block)

    def _evict(self) -> None:
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
