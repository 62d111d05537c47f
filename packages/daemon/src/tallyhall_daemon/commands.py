"""All commands of the command line."""

from __future__ import annotations

from cleo.commands.command import Command

from .command_bench import BenchCommand
from .command_calls import CallsCommand
from .command_experiment import ExperimentCommand
from .command_explain import ExplainCommand, LogsCommand
from .command_losses import LossesCommand
from .command_request import RequestCommand, StatusCommand
from .command_serve import CheckCommand, ServeCommand
from .command_table import (
    ApplyCommand,
    EditCommand,
    HistoryCommand,
    SetCommand,
    ShowCommand,
    TableStatusCommand,
)

COMMANDS: tuple[type[Command], ...] = (
    ServeCommand,
    CheckCommand,
    ShowCommand,
    SetCommand,
    ApplyCommand,
    EditCommand,
    HistoryCommand,
    TableStatusCommand,
    RequestCommand,
    StatusCommand,
    BenchCommand,
    ExplainCommand,
    LogsCommand,
    LossesCommand,
    CallsCommand,
    ExperimentCommand,
)
