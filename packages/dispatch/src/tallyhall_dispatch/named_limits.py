"""Limits that upstreams name in their answers: requests a second from all.

The newest word of an upstream counts, whoever heard it. An answer that names
no limit takes the one before back, if it answers a request that was sent after
that one was heard: answers that crossed it say nothing of it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

# Upstreams whose words are remembered; see `Leavers`.
_MOST_KEPT = 2000


class NamedLimit(msgspec.Struct, frozen=True):
    """What an upstream said last, heard at a time of this instance's clock.

    per_s: requests a second that it takes from all instances together, None
    if it names no limit any more.
    """

    per_s: float | None
    heard_at: float


class NamedLimits:
    """The newest words of all upstreams, by incarnation."""

    def __init__(self) -> None:
        """Start with none."""
        self._words: dict[str, NamedLimit] = {}
        self._current: dict[str, float] = {}

    @property
    def current(self) -> Mapping[str, float]:
        """Return the limits that stand."""
        return self._current

    def word(self, incarnation: str) -> NamedLimit | None:
        """Return what an upstream said last, None if it never named one."""
        return self._words.get(incarnation)

    def words(self) -> Iterator[tuple[str, NamedLimit]]:
        """Yield what each upstream said last, also that it names none now."""
        yield from self._words.items()

    def take(self, incarnation: str, word: NamedLimit) -> bool:
        """Take a word; return whether the limit is another one now."""
        known = self._words.get(incarnation)
        if known is not None and word.heard_at < known.heard_at:
            return False
        if known is None and word.per_s is None:
            return False
        # Behind all others, as it was heard last.
        self._words.pop(incarnation, None)
        self._words[incarnation] = word
        self._forget_oldest()
        if word.per_s is None:
            return self._current.pop(incarnation, None) is not None
        is_news = self._current.get(incarnation) != word.per_s
        self._current[incarnation] = word.per_s
        return is_news

    def contradicted(self, incarnation: str, word: NamedLimit) -> bool:
        """Return whether something else was heard after a word."""
        known = self._words.get(incarnation)
        if known is None or known.heard_at <= word.heard_at:
            return False
        return known.per_s != word.per_s

    def is_taken_back(self, incarnation: str, asked_at: float) -> bool:
        """Return whether an answer without a limit takes one back.

        asked_at: when the request was sent that it answers.
        """
        if incarnation not in self._current:
            return False
        return asked_at > self._words[incarnation].heard_at

    def _forget_oldest(self) -> None:
        if len(self._words) > _MOST_KEPT:
            oldest = next(iter(self._words))
            self._words.pop(oldest)
            self._current.pop(oldest, None)
