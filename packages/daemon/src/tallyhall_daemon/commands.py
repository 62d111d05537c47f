"""All commands of the command line."""

from __future__ import annotations

from cleo.commands.command import Command

from .command_serve import CheckCommand, ServeCommand

COMMANDS: tuple[type[Command], ...] = (ServeCommand, CheckCommand)
