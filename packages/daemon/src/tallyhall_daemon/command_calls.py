"""`tallyhall calls`: how often a fleet called its store."""

from __future__ import annotations

from collections.abc import Iterator

from tallyhall_entry.store_calls import StoreCalls, store_calls

from .command_base import EXIT_FAILED, OperatorCommand
from .errors import OperatorError
from .log_files import FILES, log_lines


class CallsCommand(OperatorCommand):
    """Sums up the calls of all instances, from their log lines."""

    name = 'calls'
    description = 'Tell how often the store was called, and why.'
    arguments = [FILES]  # noqa: WPS115

    def execute_command(self) -> int:
        """Print a table; fail where no line tells of a call."""
        found = store_calls(log_lines(self.argument('file')))
        if not found.counts:
            raise OperatorError('no line tells of a call', EXIT_FAILED)
        for line in calls_lines(found):
            self.line(line)
        return 0


def calls_lines(found: StoreCalls) -> Iterator[str]:
    """Yield the sum and a line for each kind, cause and outcome."""
    total = sum(found.counts.values())
    yield (
        f'{total} calls of {found.instances} instances in '
        f'{found.lasted_s:.0f} s: {found.per_second(total):.3f} a second '
        'and instance'
    )
    in_order = sorted(found.counts.items(), key=lambda row: -row[1])
    for labels, count in in_order:
        yield f'  {count:8d}  {found.per_second(count):.3f}  {labels}'
