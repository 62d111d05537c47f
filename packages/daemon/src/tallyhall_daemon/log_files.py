"""Lines of log files, or of standard input."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.helpers import argument

from .command_base import EXIT_USAGE
from .errors import OperatorError

FILES = argument(
    'file',
    'log files; standard input where none is given',
    optional=True,
    multiple=True,
)


def log_lines(paths: list[str]) -> Iterator[str]:
    """Yield the lines of files, of standard input where none is named.

    Raise OperatorError for one that cannot be read.
    """
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        try:
            with Path(path).open(encoding='utf-8', errors='replace') as lines:
                yield from lines
        except OSError as exc:
            raise OperatorError(
                f'{path}: cannot be read ({exc.strerror})',
                EXIT_USAGE,
            ) from exc
