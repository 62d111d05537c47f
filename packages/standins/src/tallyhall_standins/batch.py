"""The engine's batch: who decodes, who waits, how long a step takes.

Time passes in steps. In each step every decoding stream gets one token and
the oldest waiting prompts get their share of prefill; the step's length
grows with both. Requests are taken in the order of arrival, without tiers.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import time
from typing import NamedTuple

BLOCK_CHARS = 256
BLOCK_TOKENS = 64
CHARS_A_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Seconds for one step, per decoding stream and per prompt token."""

    step_s: float = 0.012
    stream_s: float = 0.0012
    prompt_s: float = 0.00012
    prompt_tokens_a_step: int = 512
    max_batch: int = 32


@dataclasses.dataclass(slots=True)
class Stream:
    """One request in the engine."""

    id: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[str, ...]
    tag: str
    cached: int = 0
    computed: int = 0
    produced: int = 0
    started: bool = False
    cancelled: bool = False

    @property
    def prompt_left(self) -> int:
        """Return the prompt tokens still to compute."""
        return self.prompt_tokens - self.cached - self.computed

    @property
    def is_finished(self) -> bool:
        """Return whether all tokens are produced."""
        return self.produced >= self.output_tokens

    def text(self, number: int) -> str:
        """Return token `number`; it tells whose answer it is and its place."""
        return f' {self.tag}-{number}'


def block_hashes(text: str) -> tuple[str, ...]:
    """Return a hash for each whole block, chained over those before it."""
    chain = hashlib.sha256()
    hashes = []
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        chain.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(chain.hexdigest()[:16])
    return tuple(hashes)


def answer_tag(text: str) -> str:
    """Return what marks every token of the answer to this prompt."""
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def answer_tokens(text: str, max_tokens: int) -> int:
    """Return the length of the answer to this prompt: it varies by half."""
    seed = int(hashlib.sha256(text.encode()).hexdigest()[8:16], 16)
    share = random.Random(seed).uniform(0.5, 1)
    return max(1, int(max_tokens * share))


class CacheEvent(NamedTuple):
    """A block kept or dropped; `at` is this machine's monotonic clock."""

    at: float
    kind: str
    block: str


class BlockCache:
    """Prompt blocks kept, least recently used first out."""

    def __init__(self, capacity_tokens: int) -> None:
        """Keep this many tokens."""
        self.capacity = capacity_tokens // BLOCK_TOKENS
        self.events: list[CacheEvent] = []
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def match(self, blocks: tuple[str, ...]) -> int:
        """Return the tokens of the longest kept prefix, and refresh it."""
        kept = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            kept += 1
        return kept * BLOCK_TOKENS

    def add(self, blocks: tuple[str, ...]) -> None:
        """Keep the blocks of a computed prompt."""
        for block in reversed(blocks):
            if block not in self._blocks:
                self.events.append(CacheEvent(time.monotonic(), 'add', block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self.events.append(
                CacheEvent(time.monotonic(), 'drop', dropped),
            )


class Batch:
    """All streams of one engine."""

    def __init__(self, speed: EngineSpeed, cache: BlockCache) -> None:
        """Start idle."""
        self.speed = speed
        self.cache = cache
        self.prefill_computed = 0
        self.prefill_wasted = 0
        # Blocks whose prompt work was thrown away with a cancelled request.
        self.wasted_blocks: list[str] = []
        self._waiting: collections.deque[Stream] = collections.deque()
        self._running: list[Stream] = []

    @property
    def counts(self) -> tuple[int, int]:
        """Return the numbers of running and waiting streams."""
        return (len(self._running), len(self._waiting))

    def add(self, stream: Stream) -> None:
        """Take a request; it waits until the batch has room."""
        self._waiting.append(stream)

    def cancel(self, stream: Stream) -> None:
        """Stop a request; its prompt work is wasted."""
        if stream.is_finished or stream.cancelled:
            return
        stream.cancelled = True
        self.prefill_wasted += stream.computed
        if stream.prompt_left <= 0:
            kept = stream.cached // BLOCK_TOKENS
            self.wasted_blocks.extend(stream.blocks[kept:])
        if stream in self._waiting:
            self._waiting.remove(stream)
        if stream in self._running:
            self._running.remove(stream)

    def step(self) -> tuple[float, list[Stream]]:
        """Do one step; return its length in seconds and who got a token."""
        while self._waiting and len(self._running) < self.speed.max_batch:
            stream = self._waiting.popleft()
            stream.cached = min(
                self.cache.match(stream.blocks),
                stream.prompt_tokens - 1,
            )
            self._running.append(stream)
        if not self._running:
            return (0, [])
        prefilled = self._prefill()
        decoded = []
        for stream in list(self._running):
            if stream.prompt_left > 0:
                continue
            stream.produced += 1
            decoded.append(stream)
            if stream.is_finished:
                self._running.remove(stream)
        seconds = (
            self.speed.step_s
            + self.speed.stream_s * len(decoded)
            + self.speed.prompt_s * prefilled
        )
        return (seconds, decoded)

    def _prefill(self) -> int:
        budget = self.speed.prompt_tokens_a_step
        done = 0
        for stream in self._running:
            if stream.prompt_left <= 0 or not budget:
                continue
            share = min(budget, stream.prompt_left)
            stream.computed += share
            budget -= share
            done += share
            if stream.prompt_left <= 0:
                self.cache.add(stream.blocks)
        self.prefill_computed += done
        return done
