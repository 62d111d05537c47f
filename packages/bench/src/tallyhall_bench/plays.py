"""Plays with real processes, a few at a time: a row of a table each."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import functools
import itertools
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


def play_chosen(
    heading: str,
    play: Callable[..., Awaitable[Played]],
    args: argparse.Namespace,
    *choices: Iterable[object],
) -> int:
    """Play each combination of choices with each seed; return the exit code.

    play: takes one of each of the choices and a seed. args: has the options of
    `add_options`. The code is 1 if a rule was broken.
    """
    seeds = range(args.seed, args.seed + args.seeds)
    starts = [
        functools.partial(play, *one)
        for one in itertools.product(*choices, seeds)
    ]
    broken = asyncio.run(play_all(heading, starts, args.at_once))
    return 1 if broken else 0


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
