"""Predicts which prompt prefixes an upstream has cached.

A prompt is a chain of block hashes; a block is cached only if all preceding
blocks are. The prediction is an LRU list of the blocks sent to the upstream.
Each response reports the number of cached tokens; if it is lower than
predicted, blocks are removed from the prediction, whatever the cause.
"""

from __future__ import annotations

import collections

BLOCK_TOKENS = 64


class PrefixCache:
    """Predicted cache contents of one upstream, in blocks."""

    def __init__(self, capacity_tokens: int) -> None:
        """Assume that the upstream caches this many tokens."""
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)

    def resize(self, capacity_tokens: int) -> None:
        """Set the capacity that the upstream reports."""
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._evict()

    def cached_tokens(self, prefixes: tuple[str, ...]) -> int:
        """Return the length of the longest prefix predicted as cached."""
        blocks = 0
        for block in prefixes:
            if block not in self._blocks:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def record_prompt(self, prefixes: tuple[str, ...]) -> None:
        """Record that a prompt with these blocks is sent to the upstream."""
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
        """Correct the prediction by the reported number of cached tokens.

        Only a shortfall is used. The blocks of this prompt are cached by now,
        but as many of the oldest other blocks are assumed to be evicted: the
        cache is smaller or used more than expected.
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
