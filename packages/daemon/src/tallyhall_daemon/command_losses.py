"""`tallyhall losses`: what was late or not served, by route, second, cause."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator, Mapping

from cleo.helpers import option
from tallyhall_entry.losses import Cause, Losses, losses

from .command_base import EXIT_FAILED, EXIT_USAGE, OperatorCommand
from .errors import OperatorError
from .log_files import FILES, log_lines
from .plots import plot_losses

_NO_ROUTE = '(no route)'


class LossesCommand(OperatorCommand):
    """Sums up what callers did not get in time, from log lines."""

    name = 'losses'
    description = 'Tell which requests were late or not served, and why.'
    arguments = [FILES]  # noqa: WPS115
    options = [  # noqa: WPS115
        option(
            'weight',
            None,
            'ROUTE=NUMBER: what a request of a route counts; may be repeated',
            flag=False,
            multiple=True,
        ),
        option(
            'callers',
            None,
            'a file with the ids of all requests, one a line',
            flag=False,
        ),
        option('plot', None, 'write a plot to this .svg or .png', flag=False),
        option('list', None, 'print each lost request as well'),
    ]

    def execute_command(self) -> int:
        """Print tables; fail where no line tells of a request."""
        weights = _weights(self.option('weight') or [])
        callers: tuple[str, ...] = ()
        if self.option('callers'):
            callers = tuple(
                text.strip() for text in log_lines([self.option('callers')])
            )
        found = losses(log_lines(self.argument('file')), callers)
        if not found.seen:
            raise OperatorError('no line tells of a request', EXIT_FAILED)
        for line in table_lines(found, weights):
            self.line(line)
        if self.option('list'):
            for loss in found.lost:
                self.line(
                    f'{loss.at_s:8.3f} {loss.request} {loss.route}: '
                    f'{loss.cause.value} ({loss.reason})',
                )
        if self.option('plot'):
            path = pathlib.Path(self.option('plot'))
            plot_losses(path, found.by_second(weights))
        return 0


def table_lines(
    found: Losses,
    weights: Mapping[str, float],
) -> Iterator[str]:
    """Yield the table by route and the one by second."""
    yield (
        f'{found.seen} requests, {len(found.lost)} late or not served, '
        f'{found.open} under way at the end, {found.dropped} lines dropped'
    )
    for route, row in sorted(found.table(weights).items()):
        yield f'{route or _NO_ROUTE}: {sum(row.values()):g}'
        for reason, lost in _in_order(row):
            yield f'  {lost:10g}  {reason.value}'
    yield 'by second:'
    for second, causes in sorted(found.by_second(weights).items()):
        told = ', '.join(
            f'{count:g} {cause.name}' for cause, count in _in_order(causes)
        )
        yield f'  {second:4d}  {sum(causes.values()):8g}  {told}'


def _in_order(row: Mapping[Cause, float]) -> list[tuple[Cause, float]]:
    return [(cause, row[cause]) for cause in Cause if cause in row]


def _weights(texts: list[str]) -> dict[str, float]:
    weights = {}
    for text in texts:
        route, _, number = text.rpartition('=')
        try:
            weights[route] = float(number)
        except ValueError as exc:
            raise OperatorError(
                f'--weight {text!r}: use ROUTE=NUMBER, such as chat=2.5.',
                EXIT_USAGE,
            ) from exc
    return weights
