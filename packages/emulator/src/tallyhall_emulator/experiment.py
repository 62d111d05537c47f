"""Plays of a scenario with and without mechanisms, over seeds."""

from __future__ import annotations

import itertools
import multiprocessing
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec
from tallyhall_dispatch.switches import ALL_ENABLED, Switches

from .arrivals import arrivals
from .bound import Bound, bound
from .figures import Figures, Interval, figures, interval
from .play import play
from .scenario import Scenario

MECHANISMS = Switches.__struct_fields__


class Compared(msgspec.Struct, frozen=True):
    """One set of switches: its figures, and what it gained over all on.

    Differences are taken seed by seed, as each seed has its own load.
    """

    without: str
    figures: dict[str, Interval]
    gained: dict[str, Interval]


class Experiment(msgspec.Struct, frozen=True):
    """All comparisons of a scenario, and the bound of any policy."""

    scenario: str
    seeds: int
    compared: tuple[Compared, ...]
    benefit_bound: Interval
    windows_bound: Interval


def switched_off(mechanism: str) -> Switches:
    """Return all on but this; raise KeyError for one that is unknown."""
    if mechanism not in MECHANISMS:
        raise KeyError(mechanism)
    return msgspec.structs.replace(ALL_ENABLED, **{mechanism: False})


def run_experiment(
    scenario: Scenario,
    seeds: int,
    without: Sequence[str] = (),
    workers: int = 1,
) -> Experiment:
    """Play each seed with all on and with each mechanism off."""
    numbers = range(1, seeds + 1)
    # A process that is forked off one with threads may join a thread that it
    # does not have.
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(workers, context) as executor:
        bounds = executor.map(_bound, itertools.repeat(scenario), numbers)
        under_way = {
            name: executor.map(
                _figures,
                itertools.repeat(scenario),
                itertools.repeat(name),
                numbers,
            )
            for name in ('', *without)
        }
        played = {name: list(found) for name, found in under_way.items()}
        most = list(bounds)
    compared = tuple(
        Compared(
            name,
            dict(_intervals(found)),
            dict(_gains(found, played[''])),
        )
        for name, found in played.items()
    )
    return Experiment(
        scenario.name,
        seeds,
        compared,
        interval([one.benefit for one in most]),
        interval([one.windows for one in most]),
    )


def _figures(scenario: Scenario, without: str, seed: int) -> Figures:
    switches = switched_off(without) if without else ALL_ENABLED
    return figures(scenario, play(scenario, seed, switches))


def _bound(scenario: Scenario, seed: int) -> Bound:
    return bound(scenario, arrivals(scenario, seed))


def _intervals(played: Sequence[Figures]) -> Iterator[tuple[str, Interval]]:
    for name in Figures.__struct_fields__:
        yield name, interval([getattr(one, name) for one in played])


def _gains(
    played: Sequence[Figures],
    base: Sequence[Figures],
) -> Iterator[tuple[str, Interval]]:
    for name in Figures.__struct_fields__:
        differences = [
            getattr(one, name) - getattr(other, name)
            for one, other in zip(played, base, strict=True)
        ]
        yield name, interval(differences)
