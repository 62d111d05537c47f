"""Errors that an operator sees; each says what to do."""

from __future__ import annotations


class OperatorError(Exception):
    """A one-line message for an operator, with the exit code."""

    def __init__(self, message: str, exit_code: int = 1) -> None:
        """Keep message and exit code."""
        super().__init__(message)
        self.exit_code = exit_code


class SettingsError(OperatorError):
    """The settings file is missing or wrong."""
