"""Plays of a scenario with and without mechanisms, over seeds."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec
from tallyhall_dispatch.switches import ALL_ON, Switches

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
    return msgspec.structs.replace(ALL_ON, **{mechanism: False})


def run_experiment(
    scenario: Scenario,
    seeds: int,
    without: Sequence[str] = (),
    workers: int = 1,
) -> Experiment:
    """Play each seed with all on and with each mechanism off."""
    names = ('', *without)
    tasks = [(name, seed) for name in names for seed in range(1, seeds + 1)]
    # A process that is forked off one with threads may join a thread that it
    # does not have.
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(workers, context) as executor:
        bounds = list(
            executor.map(
                _bound,
                (scenario for _ in range(seeds)),
                range(1, seeds + 1),
            ),
        )
        played = list(
            executor.map(
                _figures,
                (scenario for _ in tasks),
                (name for name, _ in tasks),
                (seed for _, seed in tasks),
            ),
        )
    by_name = {
        name: [
            one
            for (other, _), one in zip(tasks, played, strict=True)
            if other == name
        ]
        for name in names
    }
    compared = tuple(
        Compared(
            name,
            dict(_intervals(by_name[name])),
            dict(_gains(by_name[name], by_name[''])),
        )
        for name in names
    )
    return Experiment(
        scenario.name,
        seeds,
        compared,
        interval([one.benefit for one in bounds]),
        interval([one.windows for one in bounds]),
    )


def _figures(scenario: Scenario, without: str, seed: int) -> Figures:
    switches = switched_off(without) if without else ALL_ON
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
