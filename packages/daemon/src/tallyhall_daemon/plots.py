"""Plots of the command line's tables, written as SVG or PNG."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping, Sequence

import matplotlib as mpl
from matplotlib.figure import Figure
from tallyhall_emulator.experiment import Experiment
from tallyhall_entry.losses import Cause

from .command_base import EXIT_USAGE
from .errors import OperatorError

_WIDTH_IN = 9.0
_HEIGHT_IN = 4.5
_COLOURS = 'tab20'


def plot_losses(
    path: pathlib.Path,
    rows: Mapping[int, Mapping[Cause, float]],
) -> None:
    """Write stacked bars, one a second; raise OperatorError."""
    figure = _figure()
    axes = figure.subplots()
    seconds = sorted(rows)
    colours = mpl.colormaps[_COLOURS]
    base: list[float] = [0 for _ in seconds]
    for number, cause in enumerate(Cause):
        heights = [rows[second].get(cause, 0) for second in seconds]
        if not any(heights):
            continue
        axes.bar(
            seconds,
            heights,
            bottom=base,
            width=1,
            align='edge',
            color=colours(number),
            label=cause.value,
        )
        base = [low + high for low, high in zip(base, heights, strict=True)]
    axes.set_xlabel('second in which requests came')
    axes.set_ylabel('lost')
    axes.legend(fontsize='small')
    _save(figure, path)


def plot_gains(path: pathlib.Path, played: Sequence[Experiment]) -> None:
    """Write what each mechanism is worth in benefit, with its interval.

    Raise OperatorError.
    """
    figure = _figure()
    axes = figure.subplots()
    for number, found in enumerate(played):
        rows = found.compared[1:]
        height = 1 / (len(played) + 1)
        axes.barh(
            [place + number * height for place in range(len(rows))],
            [-row.gained['benefit'].mean for row in rows],
            height,
            xerr=[row.gained['benefit'].half for row in rows],
            label=found.scenario,
        )
    names = [row.without for row in played[0].compared[1:]] if played else []
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel('benefit that it adds, part of what is owed')
    axes.legend(fontsize='small')
    _save(figure, path)


def _figure() -> Figure:
    return Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout='constrained')


def _save(figure: Figure, path: pathlib.Path) -> None:
    """Write the plot; the file's ending says the format."""
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise OperatorError(
            f'--plot {path}: cannot be written ({exc}).',
            EXIT_USAGE,
        ) from exc
