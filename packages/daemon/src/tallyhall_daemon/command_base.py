"""What all commands share: errors become one line and an exit code."""

from __future__ import annotations

import json
import pathlib

from cleo.commands.command import Command
from tallyhall_sources.errors import PlatformError
from tallyhall_table.errors import TableError

from .errors import OperatorError
from .settings import Settings, load_settings

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_PLATFORM = 3
EXIT_CONFLICT = 4
EXIT_REFUSED = 5


class OperatorCommand(Command):
    """A command whose failures reach operators without a traceback."""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return self.execute_command()
        except OperatorError as exc:
            self.line_error(str(exc), style='error')
            return exc.exit_code
        except PlatformError as exc:
            self.line_error(
                f'The platform does not answer ({exc}). '
                'Check the address; a change may or may not stand, '
                'see `tallyhall table history`.',
                style='error',
            )
            return EXIT_PLATFORM
        except TableError as exc:
            self.line_error(f'Not a valid table: {exc}', style='error')
            return EXIT_USAGE

    def execute_command(self) -> int:
        """Do the command's own work; may raise the layers' errors."""
        raise NotImplementedError

    def read_settings(self, path: str) -> Settings:
        """Return the checked settings file."""
        return load_settings(pathlib.Path(path))

    def number(self, name: str, default: float) -> float:
        """Return a numeric option; raise OperatorError on anything else."""
        text = self.option(name)
        if not text:
            return default
        try:
            return float(text)
        except ValueError as exc:
            raise OperatorError(
                f'--{name} {text!r}: use a number.',
                EXIT_USAGE,
            ) from exc

    def print_json(self, content: object) -> None:
        """Write one JSON document."""
        self.line(json.dumps(content, indent=2, default=str))
