"""Errors of the caller library."""

from __future__ import annotations


class ClientError(Exception):
    """The library could not do its work."""


class NoEntryError(ClientError):
    """No entry instance answers."""


class NotSentError(ClientError):
    """No connection came about; nothing was sent."""


class BrokenError(ClientError):
    """The answer broke off; the request may have run."""
