"""`tallyhall experiment`: what mechanisms are worth, on a virtual clock."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

from cleo.helpers import argument, option
from tallyhall_emulator.experiment import (
    MECHANISMS,
    Compared,
    Experiment,
    run_experiment,
)
from tallyhall_emulator.figures import Figures, Interval
from tallyhall_emulator.scenario import ScenarioError, load_scenario

from .command_base import EXIT_USAGE, OperatorCommand
from .errors import OperatorError
from .plots import plot_gains

_SEEDS = 10
_WORKERS = 2
# The figures that decide; the others explain them.
_GAINED = ('benefit', 'windows', 'worst_kind', 'refused_again')


class ExperimentCommand(OperatorCommand):
    """Plays scenarios with and without mechanisms of the decision code."""

    name = 'experiment'
    description = 'Compare decisions with and without a mechanism, by seeds.'
    arguments = [  # noqa: WPS115
        argument('scenario', 'TOML files, see scenarios/', multiple=True),
    ]
    options = [  # noqa: WPS115
        option('seeds', None, f'how many, {_SEEDS} if left out', flag=False),
        option('jobs', None, f'processes, {_WORKERS} if left out', flag=False),
        option(
            'without',
            None,
            f'{", ".join(MECHANISMS)} or all, each alone; may be repeated',
            flag=False,
            multiple=True,
        ),
        option('plot', None, 'write a plot to this .svg or .png', flag=False),
    ]

    def execute_command(self) -> int:
        """Play all seeds of all files and print a table of each."""
        without = _mechanisms(self.option('without') or [])
        seeds = int(self.number('seeds', _SEEDS))
        workers = int(self.number('jobs', _WORKERS))
        if seeds < 1 or workers < 1:
            raise OperatorError('--seeds and --jobs: at least 1.', EXIT_USAGE)
        played: list[Experiment] = []
        for name in self.argument('scenario'):
            try:
                scenario = load_scenario(pathlib.Path(name))
                found = run_experiment(scenario, seeds, without, workers)
            except ScenarioError as exc:
                raise OperatorError(str(exc), EXIT_USAGE) from exc
            played.append(found)
            for line in table_lines(found):
                self.line(line)
        if self.option('plot'):
            plot_gains(pathlib.Path(self.option('plot')), played)
        return 0


def table_lines(found: Experiment) -> Iterator[str]:
    """Yield the figures with all on, then what each mechanism gains."""
    yield f'{found.scenario}, {found.seeds} seeds, mean and 95% interval'
    yield (
        f'  bound of any policy: benefit {_shown(found.benefit_bound)}, '
        f'windows {_shown(found.windows_bound)}'
    )
    for name in Figures.__struct_fields__:
        yield f'  {name:14} {_shown(found.compared[0].figures[name])}'
    for one in found.compared[1:]:
        yield f'  without {one.without}: {_gains(one)}'


def _gains(one: Compared) -> str:
    return ', '.join(
        f'{name} {one.gained[name].mean:+.4f} ±{one.gained[name].half:.4f}'
        for name in _GAINED
    )


def _shown(found: Interval) -> str:
    return f'{found.mean:.4f} ±{found.half:.4f}'


def _mechanisms(names: list[str]) -> tuple[str, ...]:
    if names == ['all']:
        return MECHANISMS
    unknown = set(names) - set(MECHANISMS)
    if unknown:
        raise OperatorError(
            f'--without {", ".join(sorted(unknown))}: '
            f'use one of {", ".join(MECHANISMS)}, or all.',
            EXIT_USAGE,
        )
    return tuple(names)
