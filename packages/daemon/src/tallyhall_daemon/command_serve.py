"""`tallyhall serve` and `tallyhall check`."""

from __future__ import annotations

from cleo.helpers import argument

from .command_base import OperatorCommand
from .serve import serve

_SETTINGS_HELP = 'The settings file (TOML); see docs/SETTINGS.md'


class ServeCommand(OperatorCommand):
    """Runs one instance until SIGTERM, then stops gracefully."""

    name = 'serve'
    description = 'Run one entry instance until SIGTERM.'
    arguments = [argument('settings', _SETTINGS_HELP)]

    def execute_command(self) -> int:
        """Serve."""
        serve(self.read_settings(self.argument('settings')))
        return 0


class CheckCommand(OperatorCommand):
    """Checks a settings file without starting anything."""

    name = 'check'
    description = 'Check a settings file.'
    arguments = [argument('settings', _SETTINGS_HELP)]

    def execute_command(self) -> int:
        """Check and say so."""
        path = self.argument('settings')
        cfg = self.read_settings(path)
        self.line(f'{path}: good, instance {cfg.instance.name}')
        return 0
