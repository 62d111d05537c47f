"""Plays with real processes, a few at a time: a row of a table each."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol


class Played(Protocol):
    """What a play came to; as text, a row of its table."""

    @property
    def broken(self) -> bool:
        """Return whether a rule was broken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """How many of a number."""

    count: int
    total: int

    @property
    def fraction(self) -> float:
        """Return the fraction, 1 of none."""
        return self.count / self.total if self.total else 1

    def __str__(self) -> str:
        """Return COUNT/TOTAL."""
        return f'{self.count}/{self.total}'


Start = Callable[[], Awaitable[Played]]


def add_options(parser: argparse.ArgumentParser, at_once: int) -> None:
    """Add which seeds are played, and how many plays at a time."""
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--at-once', type=int, default=at_once)


async def play_all(
    heading: str,
    starts: Iterable[Start],
    at_once: int,
) -> int:
    """Print a row as each play ends; return how many broke a rule."""
    turn = asyncio.Semaphore(at_once)
    sys.stdout.write(f'{heading}\n')
    broken = await asyncio.gather(*(_play(turn, start) for start in starts))
    return sum(broken)


async def _play(turn: asyncio.Semaphore, start: Start) -> bool:
    async with turn:
        played = await start()
    sys.stdout.write(f'{played}\n')
    sys.stdout.flush()
    return played.broken
