"""`tallyhall explain` and `tallyhall logs`: what log lines say."""

from __future__ import annotations

from cleo.helpers import argument
from tallyhall_entry.explain import check_line, explain, format_line

from .command_base import EXIT_FAILED, OperatorCommand
from .errors import OperatorError
from .log_files import FILES, log_lines


class ExplainCommand(OperatorCommand):
    """Prints one request's way over all instances and its cause."""

    name = 'explain'
    description = 'Tell from log lines what happened to a request.'
    arguments = [  # noqa: WPS115
        argument('request', 'the id of the request'),
        FILES,
    ]

    def execute_command(self) -> int:
        """Print lines and cause; fail where no line has the id."""
        request_id = self.argument('request')
        found = explain(request_id, log_lines(self.argument('file')))
        if found is None:
            raise OperatorError(
                f'no line about request {request_id!r}; it reached none of '
                'these instances, or its lines were dropped',
                EXIT_FAILED,
            )
        for line in found.lines:
            self.line(format_line(line))
        self.line(found.cause)
        return 0


class LogsCommand(OperatorCommand):
    """Checks log lines against the catalogue of events."""

    name = 'logs'
    description = 'Check log lines against the catalogue of events.'
    arguments = [FILES]  # noqa: WPS115

    def execute_command(self) -> int:
        """Print each line that the catalogue does not know."""
        wrong = 0
        count = 0
        for text in log_lines(self.argument('file')):
            count += 1
            fault = check_line(text)
            if fault is not None:
                wrong += 1
                self.line(f'line {count}: {fault}')
        self.line(f'{count} lines, {wrong} wrong')
        return EXIT_FAILED if wrong else 0
